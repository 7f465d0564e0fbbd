"""Membership and leader election among the balancers, carried in datagrams between peers."""
