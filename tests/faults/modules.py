"""Scripted policies that the fault injection tests use instead of the real one."""

from __future__ import annotations

from collections.abc import Iterable

from lanemux import interface as api
from tests.sockets import Script


def sends_once(timeout_ns: int = 0) -> Script:
    """Sends each request to the first upstream once and refuses it if that attempt fails."""
    script = Script()

    def react(event: api.Event) -> Iterable[api.Action]:
        if isinstance(event, api.Arrival):
            yield api.Send(event.request, script.ids()[0], timeout_ns)
        elif isinstance(event, api.Outcome) and event.result is not api.Result.OK:
            yield api.Refuse(event.request)

    script.react = react
    return script
