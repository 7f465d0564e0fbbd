"""Fault injection into the C library: runs of one balancer, from start to exit, in which chosen calls fail in turn."""
