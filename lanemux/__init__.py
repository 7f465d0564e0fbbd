"""lanemux: the decisions of an HTTP load balancer run as a bank of proxies."""

from lanemux.policy import Balancer

__all__ = ["Balancer"]
