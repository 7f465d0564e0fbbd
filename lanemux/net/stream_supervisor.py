"""Begins streamed responses, and ends those on which nothing moves any more."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from lanemux import interface as api
from lanemux.core.clock import now_ns
from lanemux.net.active_request import ActiveRequest
from lanemux.net.http import Message
from lanemux.net.streamed_response import HANG_TIMEOUT_NS, SECOND, StreamedResponse
from lanemux.net.upstream import Exchange

log = logging.getLogger(__name__)


class StreamSupervisor:
    """The requests whose responses are being streamed."""

    def __init__(self, abort: Callable[[ActiveRequest], None]) -> None:
        """`abort` ends a request whose response is not whole."""
        self.active: dict[str, ActiveRequest] = {}  # by id
        self._abort = abort
        self._loop = asyncio.get_running_loop()

    def begin(self, active: ActiveRequest, exchange: Exchange, head: Message, has_deadline: bool) -> StreamedResponse:
        """Begin to stream a response. `has_deadline`: streams of the request's class end with the client's deadline."""
        stream = StreamedResponse(active.client, exchange, active.deadline_ns if has_deadline else None)
        active.stream = stream
        self.active[active.id] = active
        stream.begin(head)
        if active.timer is not None:
            active.timer.cancel()  # its deadline is now the streamed response's
        self._watch_deadline(active, stream)
        return stream

    def forget(self, active: ActiveRequest) -> None:
        """The request has ended."""
        self.active.pop(active.id, None)

    def end_stalled(self) -> None:
        """End the responses on which nothing moves any more; called once a second."""
        for active in list(self.active.values()):
            if active.stream is not None:
                self._end_if_stalled(active, active.stream)

    def _watch_deadline(self, active: ActiveRequest, stream: StreamedResponse) -> None:
        """Check soon after the deadline whether a response has stalled, and again while the deadline applies.

        Once a second would be too late: the final answer is due within half a second of the deadline."""
        if stream.deadline_applies:
            check_ns = min(stream.stalled_from_ns(), max(active.deadline_ns, now_ns()) + HANG_TIMEOUT_NS)
            active.timer = self._loop.call_at(check_ns / SECOND, self._check_deadline, active, stream)

    def _check_deadline(self, active: ActiveRequest, stream: StreamedResponse) -> None:
        self._end_if_stalled(active, stream)
        if not active.finished:
            self._watch_deadline(active, stream)

    def _end_if_stalled(self, active: ActiveRequest, stream: StreamedResponse) -> None:
        now = now_ns()
        if active.finished or now < stream.stalled_from_ns():
            return
        silent_s = (now - stream.last_progress_ns) / SECOND
        if stream.waits_for_upstream and active.exchange is not None:
            log.info("response aborted: its upstream sent nothing for %.1f s", silent_s)
            active.exchange.finish(api.Result.TIMEOUT)  # this ends the request, too
        else:
            log.info("response aborted: its client took nothing for %.1f s", silent_s)
        self._abort(active)
