"""Lives of one balancer in which chosen calls of the C library fail: every call, one after the other."""
