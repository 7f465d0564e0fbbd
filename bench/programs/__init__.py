"""Programs to hold the balancer against: its own sockets, and textbook decisions in place of its module."""
