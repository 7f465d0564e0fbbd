"""Faults to be planted one at a time in a copy of the program: does the virtual world find them?"""

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
    """One fault: what it is, and the lines that make it (file, as they are, as they become)."""

    name: str
    what: str
    changes: tuple[tuple[str, str, str], ...]
    storm: bool = False  # it is looked for in storms


def _one(name: str, what: str, file: str, old: str, new: str) -> Planted:
    return Planted(name, what, ((file, old, new),))


PLANTED = (
    _one(
        "no-call-off",
        "past mend: a request that waits for a connection is called off when its box drains or moves",
        UPSTREAM_SET,
        "            pool.close_idle()\n        self._on_targets_changed()\n",
        "            pool.close_idle()\n",
    ),
    Planted(
        "late-answer",
        "past mend: one final answer; what comes late finds nobody",
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
        "past mend: a second use of an open request's id is refused",
        NODE,
        "elif ids[0] in self._active_request_ids:",
        "elif False:",
    ),
    _one(
        "timeout-from-send",
        "past mend: the time-out counts from the decision",
        NODE,
        "end = min(end, self._module_runner.decided_ns + action.timeout_ns)",
        "end = now + action.timeout_ns",
    ),
    _one(
        "reset-at-drain",
        "this issue's mend: who waits to be accepted when a drain ends is answered",
        FRONTEND,
        "        await self._accept_last(end_s - FORCED_CLOSE_MARGIN_S)",
        "        pass",
    ),
    _one(
        "timers-left",
        "this issue's mend: the module's timers end with the node",
        NODE,
        "for timer in (*self._module_timers.values(), self._sweep_timer, ",
        "for timer in (self._sweep_timer, ",
    ),
    _one(
        "moot-untold",
        "past mend: a Send that can't be carried out has its Outcome",
        NODE,
        "            self.feed(\n"
        "                api.Outcome(action.request, attempt_number, action.upstream, api.Result.NOT_SENT, 0, active is None)\n"
        "            )\n",
        "",
    ),
    _one(
        "written-unseen",
        "past mend: a reset behind the last byte is no proof that nothing ran",
        UPSTREAM,
        "        elif not self._transport.is_closing() and not self._transport.get_write_buffer_size():",
        "        elif False:",
    ),
    _one(
        "end-late",
        "past mend: what is written to an upstream ends at once, before its request goes out again",
        UPSTREAM,
        "                self._transport.write_eof()\n",
        "                pass\n",
    ),
    _one(
        "moved-astray",
        "past mend: a request that waits for a connection to an old address is called off",
        UPSTREAM,
        "self._connecting is not None and self._connecting.address != self.pool.address",
        "False",
    ),
    _one(
        "kept-after-move",
        "this issue's mend: a connection to an old address is kept once its answer has come",
        UPSTREAM,
        "not self.ready or connection.address != self.address:",
        "not self.ready:",
    ),
    _one(
        "idle-after-move",
        "an upstream that moved is reached on connections to where it was",
        UPSTREAM,
        "            self.address = address\n            self.close_idle()",
        "            self.address = address",
    ),
    _one(
        "connection-leak",
        "past mend: a connection that was given up while it came up is closed",
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
        "past mend: a watch that is silent for too long is given up",
        DISCOVERY,
        "wait_s + RESPONSE_MARGIN_S,",
        "wait_s + 3600,",
    ),
    _one(
        "no-watch-again",
        "discovery is not asked again after a call that failed",
        DISCOVERY,
        "elif self._pushed and self._next_client is None:",
        "elif False:",
    ),
    _one(
        "change-lost",
        "discovery's version is taken for seen when the watch begins",
        DISCOVERY,
        "        self._watch_call = self._client.get(query, wait_ms / 1000, self._answered)",
        "        self._watch_call = self._client.get(query, wait_ms / 1000, self._answered)\n"
        "        self._version = (self._version or 0) + 1",
    ),
    _one(
        "etcd-compacted",
        "a watch whose history is gone is begun again where it was",
        FOLLOWER,
        "        if event.compact_revision > 0:",
        "        if False:",
    ),
    _one(
        "etcd-resume-far",
        "a watch goes on one revision too far",
        FOLLOWER,
        "last_revision if event.more else last_revision + 1",
        "last_revision if event.more else last_revision + 2",
    ),
    _one(
        "etcd-progress",
        "past mend: progress does not move the point from which a watch goes on",
        FOLLOWER,
        "        self._on_response(now)\n        if event.cluster != self.cluster:\n            return self._other_cluster(now)\n"
        "        return self._check_lag(now, event.revision)\n\n    def _on_response",
        "        self._on_response(now)\n        self.resume_revision = max(self.resume_revision, event.revision + 1)\n"
        "        return self._check_lag(now, event.revision)\n\n    def _on_response",
    ),
    _one(
        "etcd-silent",
        "past mend: a watch that is open and silent is given up",
        FOLLOWER,
        '                return self._fail(now, "a watch that is open and silent")',
        "                pass",
    ),
    _one(
        "etcd-unnamed",
        "what a new list does not name stays",
        CHANGE_QUEUE,
        "            else:\n                self._remove(host)\n        if self._removal_times",
        "        if self._removal_times",
    ),
    _one(
        "etcd-overwritten",
        "past mend: an end that is still to be told is not written over",
        CHANGE_QUEUE,
        "if self._urgent.get(host, item) is not None:",
        "if True:",
    ),
)


STORMS = (
    Planted(
        "equal-retry-after",
        "all refused clients are told to come back after the same time",
        (("storm/module.py", "self._retry_schedule.wait_ns(priority, now))", "500_000_000)"),),
        True,
    ),
    Planted(
        "storm-forgets-nothing",
        "requests whose client went away stay in the storm module's table",
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
        "the calendar of returns counts nobody: all are told its first slot",
        (("storm/retry_schedule.py", "        self._scheduled[(self._current_slot + offset) % SLOTS] += 1\n", ""),),
        True,
    ),
    Planted(
        "start-for-answer",
        "a start that was found out is told in place of the answer that showed it",
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
        "where a storm begins or ends, what was decided in that moment is lost",
        (("storm/module.py", "return actions + notes if notes else actions", "return notes or actions"),),
        True,
    ),
    Planted(
        "pending-open",
        "the descriptor of a silent connection that makes place stays open",
        (("net/server.py", "            waiting.close()\n", ""),),
        True,
    ),
)


def plant(planted: Planted, folder: Path) -> Path:
    """A copy of the program with the fault in it; each of its lines must be there once."""
    copy = folder / planted.name
    shutil.copytree(ROOT / "lanemux", copy / "lanemux", ignore=shutil.ignore_patterns("__pycache__"))
    for file, old, new in planted.changes:
        path = copy / "lanemux" / file
        text = path.read_text()
        assert text.count(old) == 1, f"{planted.name}: {file} has {text.count(old)} times: {old}"
        path.write_text(text.replace(old, new))
    return copy
