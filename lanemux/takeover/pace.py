"""Paces the CPU use of a starting process while the previous version is still serving.

Both versions share one CPU quota. If the new one exceeds it in one burst, the system throttles both until the quota
has recovered. With sleeps only between imports (the decision modules and their types take 30 and 20 ms each), the
old version stalled for 60 to 85 ms at every takeover under load. Sometimes its clients then retried all at once, and
60 requests arrived on connections that neither process read.
Cost: the start takes up to MAX_TOTAL_SLEEP_S longer; the platform allows 6 s.
"""

import _signal as signal  # type: ignore[import-not-found]  # built in; `signal` would read a file and import more
import time

TYPE_CHECKING = False  # import as little as possible before the first sleep
if TYPE_CHECKING:
    from collections.abc import Callable

CPU_SLICE_S = 0.004  # CPU time between two sleeps: one kernel tick, little more than a request takes
SLEEP_S = 0.03  # leaves a duty cycle of about one eighth
MAX_TOTAL_SLEEP_S = 2.5  # limit on the sum of all sleeps


class CpuPacer:
    """Signal handler of a timer on the process's CPU time: sleeps, whatever code it interrupts."""

    def __init__(self, sleep: "Callable[[float], None]" = time.sleep) -> None:
        self._sleep = sleep
        self._total_slept_s = 0.0

    def __call__(self, signal_number: int, frame: object) -> None:
        if self._total_slept_s >= MAX_TOTAL_SLEEP_S:
            stop_pacing()
            return
        self._total_slept_s += SLEEP_S
        self._sleep(SLEEP_S)


def start_pacing(pacer: "CpuPacer | None" = None) -> None:
    """Start pacing this process. Only the main thread may call this (`signal.signal`)."""
    try:
        signal.signal(signal.SIGPROF, pacer or CpuPacer())
        signal.setitimer(signal.ITIMER_PROF, CPU_SLICE_S, CPU_SLICE_S)
    except OSError:
        pass  # an unpaced start is better than none


def stop_pacing() -> None:
    """Stop pacing: in service it would block the event loop."""
    try:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGPROF, signal.SIG_IGN)  # a pending signal would otherwise end the process
    except OSError:
        pass  # the handler then stays and sleeps at most once more
