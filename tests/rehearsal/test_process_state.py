"""A stopped process is distinguished from a running one and from one that has ended."""

from __future__ import annotations

import signal
import subprocess
import sys
import time

from lanemux.rehearsal.calls.process_state import describe_process


def test_a_stopped_process_is_recognized() -> None:
    with subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"]) as process:
        process.send_signal(signal.SIGSTOP)
        end_s = time.monotonic() + 5
        while "process T" not in describe_process(process.pid):
            assert time.monotonic() < end_s, describe_process(process.pid)
            time.sleep(0.01)
        process.kill()
    assert describe_process(process.pid) == "the process is gone"
