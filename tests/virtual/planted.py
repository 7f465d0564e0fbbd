"""Bugs to be planted one at a time in a copy of the program, to test whether simulated runs find them."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
NODE, UPSTREAM, DISCOVERY = "net/node.py", "net/upstream.py", "net/discovery.py"
UPSTREAM_SET, FRONTEND = "net/upstream_set.py", "net/frontend.py"
FOLLOWER, CHANGE_QUEUE = "etcd/follower.py", "etcd/change_queue.py"


@dataclass(frozen=True)
class Planted:
    """One bug: its name, the behaviour that it breaks or causes, and its edits (file, old text, new text)."""

    name: str
    what: str
    changes: tuple[tuple[str, str, str], ...]
    storm: bool = False  # found in storm runs


def _one(name: str, what: str, file: str, old: str, new: str) -> Planted:
    return Planted(name, what, ((file, old, new),))


PLANTED = (
    _one(
        "no-call-off",
        "regression: a request that waits for a connection is withdrawn when its box drains or moves",
        UPSTREAM_SET,
        "            pool.close_idle()\n        self._on_targets_changed()\n",
        "            pool.close_idle()\n",
    ),
    Planted(
        "late-answer",
        "regression: a request gets one final answer; a late one is dropped",
        (
            (
                NODE,
                "        if not active.finished:\n            self._drop(active)\n",
                "        if True:\n            self._drop(active)\n",
            ),
            (
                NODE,
                "        del self._active_requests[active.id]\n",
                "        self._active_requests.pop(active.id, None)\n",
            ),
            (
                NODE,
                "        del self._by_client[active.client]\n",
                "        self._by_client.pop(active.client, None)\n",
            ),
            (
                NODE,
                "        if active.exchange is not None:\n            active.exchange.finish(api.Result.CANCELLED)\n        if self._stopping",
                "        if self._stopping",
            ),
        ),
    ),
    _one(
        "id-twice",
        "regression: reusing the id of an open request is refused",
        NODE,
        "elif ids[0] in self._active_request_ids:",
        "elif False:",
    ),
    _one(
        "id-again",
        "regression: the id of a request that may have run is refused when it comes again",
        NODE,
        "elif request_class.effect is not api.Effect.SAFE and not self.claimed_ids.claim(ids[0]):",
        "elif False:",
    ),
    _one(
        "timeout-from-send",
        "regression: the timeout counts from the decision",
        NODE,
        "end = min(deadline, self._module_runner.decided_ns + action.timeout_ns)",
        "end = now + action.timeout_ns",
    ),
    _one(
        "hangs-past-deadline",
        "regression: a short response whose upstream hangs ends soon after its deadline",
        "net/streamed_response.py",
        "        if self._deadline_ns is None or self.is_long:\n",
        "        if True:\n",
    ),
    _one(
        "late-body-cut",
        "regression: a response whose head has come is not cut off by the time limit of its attempt",
        UPSTREAM,
        "        if self.stream_if_begun():\n            return\n        now_s",
        "        now_s",
    ),
    Planted(
        "unread-not-asked",
        "regression: what lies unread on a connection is not taken for the answer to the next request",
        (
            (UPSTREAM, "            if not connection.has_unread:\n", "            if True:\n"),
            (UPSTREAM, "        if self._is_reused and self.has_unread:\n", "        if False:\n"),
            (
                UPSTREAM,
                "        if self._is_reused and self.has_unread and self._pool",
                "        if False and self._pool",
            ),
        ),
    ),
    _one(
        "window-at-decision",
        "regression: a keyed request is not written after its window",
        "policy.py",
        "server.id, timeout, request.write_within_ns(now)))",
        "server.id, timeout))",
    ),
    _one(
        "paused-in-pool",
        "regression: a connection whose last response ended while its client took no more is read again",
        UPSTREAM,
        "        connection.set_paused(False)  # a streamed response may have ended while its client took no more\n",
        "",
    ),
    _one(
        "reset-at-drain",
        "regression: connections that wait to be accepted when a drain ends are answered",
        FRONTEND,
        "        await self._accept_last(end_s - FORCED_CLOSE_MARGIN_S)",
        "        pass",
    ),
    _one(
        "timers-left",
        "regression: the module's timers end with the node",
        NODE,
        "for timer in (*self._module_timers.values(), self._sweep_timer, ",
        "for timer in (self._sweep_timer, ",
    ),
    _one(
        "moot-untold",
        "regression: a Send that can't be carried out gets its Outcome",
        NODE,
        "            self.feed(\n"
        "                api.Outcome(action.request, attempt_number, action.upstream, api.Result.NOT_SENT, 0, active is None)\n"
        "            )\n",
        "",
    ),
    _one(
        "written-unseen",
        "regression: a reset after the last byte does not prove that the request never ran",
        UPSTREAM,
        "        elif not self._transport.is_closing() and not self._transport.get_write_buffer_size():",
        "        elif False:",
    ),
    _one(
        "end-late",
        "regression: writing to an upstream ends at once, before its request is retried",
        UPSTREAM,
        "                self._transport.write_eof()\n",
        "                pass\n",
    ),
    _one(
        "moved-astray",
        "regression: a request that waits for a connection to an old address is withdrawn",
        UPSTREAM,
        "self._connecting is not None and self._connecting.address != self.pool.address",
        "False",
    ),
    _one(
        "kept-after-move",
        "a connection to an old address is kept after its answer has come",
        UPSTREAM,
        "not self.ready or connection.address != self.address:",
        "not self.ready:",
    ),
    _one(
        "idle-after-move",
        "idle connections to an upstream's old address are used after it moved",
        UPSTREAM,
        "            self.address = address\n            self.close_idle()",
        "            self.address = address",
    ),
    _one(
        "connection-leak",
        "regression: a connection that is abandoned while it is being established is closed",
        UPSTREAM,
        "        if self._connecting is not None:\n            self._connecting.close()\n",
        "",
    ),
    _one(
        "reset-never-ran",
        "a reset attempt is repeated whatever it may have done",
        "interface.py",
        "Result.CONNECT_FAILED, Result.NOT_SENT})",
        "Result.CONNECT_FAILED, Result.NOT_SENT, Result.RESET})",
    ),
    _one(
        "silent-discovery",
        "regression: a watch that is silent for too long is abandoned",
        DISCOVERY,
        "wait_s + RESPONSE_MARGIN_S,",
        "wait_s + 3600,",
    ),
    _one(
        "no-watch-again",
        "discovery is not called again after a failed call",
        DISCOVERY,
        "elif self._pushed and self._next_client is None:",
        "elif False:",
    ),
    _one(
        "change-lost",
        "discovery's next version counts as seen when the watch starts",
        DISCOVERY,
        "        self._watch_call = self._client.get(query, wait_ms / 1000, self._answered)",
        "        self._watch_call = self._client.get(query, wait_ms / 1000, self._answered)\n"
        "        self._version = (self._version or 0) + 1",
    ),
    _one(
        "etcd-compacted",
        "a watch whose history was compacted resumes at the same revision",
        FOLLOWER,
        "        if event.compact_revision > 0:",
        "        if False:",
    ),
    _one(
        "etcd-resume-far",
        "a watch resumes one revision too late",
        FOLLOWER,
        "last_revision if event.more else last_revision + 1",
        "last_revision if event.more else last_revision + 2",
    ),
    _one(
        "etcd-progress",
        "regression: progress notifications do not move the revision at which a watch resumes",
        FOLLOWER,
        "        self._on_response(now)\n        if event.cluster != self.cluster:\n            return self._other_cluster(now)\n"
        "        return self._check_lag(now, event.revision)\n\n    def _on_response",
        "        self._on_response(now)\n        self.resume_revision = max(self.resume_revision, event.revision + 1)\n"
        "        return self._check_lag(now, event.revision)\n\n    def _on_response",
    ),
    _one(
        "etcd-silent",
        "regression: an open but silent watch is abandoned",
        FOLLOWER,
        '                return self._fail(now, "a watch that is open and silent")',
        "                pass",
    ),
    _one(
        "etcd-unnamed",
        "hosts that a new list does not name are kept",
        CHANGE_QUEUE,
        "            else:\n                self._remove(host)\n        if self._removal_times",
        "        if self._removal_times",
    ),
    _one(
        "etcd-overwritten",
        "regression: a removal that is still to be reported is not overwritten",
        CHANGE_QUEUE,
        "if self._urgent.get(host, item) is not None:",
        "if True:",
    ),
)


STORMS = (
    Planted(
        "equal-retry-after",
        "all refused clients get the same Retry-After",
        (("storm/module.py", "self._retry_schedule.wait_ns(priority, now))", "500_000_000)"),),
        True,
    ),
    Planted(
        "storm-forgets-nothing",
        "requests whose client disconnected stay in the storm module's table",
        (
            (
                "storm/module.py",
                "            elif type(event) is api.ClientGone:\n                self._count_unserved(event.request)\n",
                "",
            ),
        ),
        True,
    ),
    Planted(
        "calendar-of-nobody",
        "the retry schedule counts no retries: all clients get its first slot",
        (("storm/retry_schedule.py", "        self._scheduled[(self._current_slot + offset) % SLOTS] += 1\n", ""),),
        True,
    ),
    Planted(
        "start-for-answer",
        "a detected restart replaces the outcome that revealed it",
        (
            (
                "storm/module.py",
                "                    forwarded.append(api.ListUpdate(api.ListKind.DELTA, [entry]))\n",
                "                    event = api.ListUpdate(api.ListKind.DELTA, [entry])\n",
            ),
        ),
        True,
    ),
    Planted(
        "turn-for-decisions",
        "actions decided at the start or end of a storm are lost",
        (("storm/module.py", "return actions + notes if notes else actions", "return notes or actions"),),
        True,
    ),
    Planted(
        "pending-open",
        "the descriptor of a silent connection that is evicted stays open",
        (("net/server.py", "            waiting.close()\n", ""),),
        True,
    ),
)


def plant(planted: Planted, folder: Path) -> Path:
    """Copy the program with the bug in it; each old text must occur exactly once."""
    copy = folder / planted.name
    shutil.copytree(ROOT / "lanemux", copy / "lanemux", ignore=shutil.ignore_patterns("__pycache__"))
    for file, old, new in planted.changes:
        path = copy / "lanemux" / file
        text = path.read_text()
        assert text.count(old) == 1, f"{planted.name}: {file} has {text.count(old)} times: {old}"
        path.write_text(text.replace(old, new))
    return copy
