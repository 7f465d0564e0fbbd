"""lanemux: the decisions of an HTTP load balancer run as a bank of proxies."""

from __future__ import annotations

TYPE_CHECKING = False  # `typing` takes a third of what a start does before it can be paced (`takeover/pace.py`)
if TYPE_CHECKING:
    from lanemux.policy import Balancer

__all__ = ["Balancer"]


def __getattr__(name: str) -> object:
    """`Balancer` is imported when it is asked for: a paced start begins before it."""
    if name == "Balancer":
        from lanemux.policy import Balancer

        return Balancer
    raise AttributeError(name)
