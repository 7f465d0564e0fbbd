"""A start that leaves the processor to the version that is serving.

Guards against a new version that takes, in one go, more of the core that both have than is left: the old one is then
stopped with it until the two are even. With sleeps only between two imports (the decisions and their types take
30 and 20 ms each) the old version stood still for 60 to 85 ms at every take-over under load, and now and
then its clients came again all at once after that: 60 requests met connections that nobody read.
Harm: the start takes up to SLEEPS_S longer; the platform allows 6 s.
"""

import _signal as signal  # type: ignore[import-not-found]  # built in: `signal` is a file, and imports more
import time

TYPE_CHECKING = False  # the less is imported before the first sleep, the better
if TYPE_CHECKING:
    from collections.abc import Callable

WORK_S = 0.004  # processor time between two sleeps: a tick of the kernel, hardly longer than a request takes
SLEEP_S = 0.03  # an eighth of the time is worked
SLEEPS_S = 2.5  # all sleeps together at the most


class Pace:
    """What the signal of a timer on the process's own processor time calls: it sleeps, wherever the work stands."""

    def __init__(self, sleep: "Callable[[float], None]" = time.sleep) -> None:
        self._sleep = sleep
        self._slept_s = 0.0

    def __call__(self, number: int, frame: object) -> None:
        if self._slept_s >= SLEEPS_S:
            end()
            return
        self._slept_s += SLEEP_S
        self._sleep(SLEEP_S)


def begin(pace: "Pace | None" = None) -> None:
    """From now on whatever this process does is paced. Only the main thread may call it (`signal.signal`)."""
    try:
        signal.signal(signal.SIGPROF, pace or Pace())
        signal.setitimer(signal.ITIMER_PROF, WORK_S, WORK_S)
    except OSError:
        pass  # a start that is not paced is better than none


def end() -> None:
    """No longer: what is done in service is not to make the loop wait."""
    try:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGPROF, signal.SIG_IGN)  # one may still be on its way, and would end the process
    except OSError:
        pass  # then the handler stays, and sleeps once more at the most
