"""lanemux: the decisions of an HTTP load balancer run as a bank of proxies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lanemux.policy import Balancer

__all__ = ["Balancer"]


def __getattr__(name: str) -> object:
    """`Balancer` is imported when it is asked for: a paced start (`takeover/pace.py`) begins before it."""
    if name == "Balancer":
        from lanemux.policy import Balancer

        return Balancer
    raise AttributeError(name)
