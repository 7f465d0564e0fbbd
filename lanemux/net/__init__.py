"""The real balancer round the decision module: sockets, clock and timers."""
