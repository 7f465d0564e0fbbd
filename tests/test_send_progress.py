"""Whether a peer still takes data: what its kernel acknowledges, on real sockets and by the numbers."""

from __future__ import annotations

import socket
import time

from lanemux.core.system import Machine
from lanemux.net.send_progress import SendProgress


def test_acknowledged_data_is_progress_although_the_socket_stays_full() -> None:
    progress = SendProgress(0)
    progress.wrote(1000, 10)
    assert progress.last_progress_ns(20, 400, 600) == 20  # the transport passed 600 on
    assert progress.last_progress_ns(30, 400, 600) == 20
    assert progress.last_progress_ns(40, 400, 500) == 40
    assert progress.last_progress_ns(50, 400, 500) == 40


def test_what_the_kernel_does_not_tell_is_no_progress_and_hides_none() -> None:
    progress = SendProgress(0)
    progress.wrote(1000, 10)
    progress.last_progress_ns(20, 400, 600)
    assert progress.last_progress_ns(30, 400, None) == 20  # reading it failed once
    assert progress.last_progress_ns(40, 400, 599) == 40
    assert progress.last_progress_ns(50, 0, None) == 50


def test_the_wait_for_a_client_begins_with_what_is_written_to_it() -> None:
    progress = SendProgress(0)
    progress.wrote(10, 5)
    assert progress.last_progress_ns(6, 0, 0) == 6
    progress.wrote(1000, 900)  # after a long rest
    assert progress.last_progress_ns(901, 1000, 0) == 900


def test_the_kernel_tells_what_a_peer_has_not_acknowledged() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as peer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.connect(listener.getsockname())
        ours, _ = listener.accept()
        with ours:
            assert Machine().unacknowledged_bytes(ours) == 0
            ours.setblocking(False)
            sent = ours.send(bytes(1 << 20))
            time.sleep(0.1)
            waiting = Machine().unacknowledged_bytes(ours)
            assert waiting is not None and 0 < waiting < sent
            for _ in range(100):
                peer.recv(4096)
            assert (Machine().unacknowledged_bytes(ours) or 0) < waiting
        assert Machine().unacknowledged_bytes(ours) is None  # closed
