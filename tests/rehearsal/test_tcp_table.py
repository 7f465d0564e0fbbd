"""Where a request stands that got no answer: the kernel's table tells an unread one from one that was taken."""

from __future__ import annotations

import socket

from lanemux.rehearsal.calls.tcp_table import told_of


def test_a_request_that_nobody_accepted_or_read_is_told() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
        client.connect(listener.getsockname())
        client.sendall(b"abc")
        ends = client.getsockname(), listener.getsockname()
        assert "balancer's end established, 3 bytes unread, no process has it" in told_of(*ends)
        accepted, _ = listener.accept()
        assert "balancer's end established, 3 bytes unread" in told_of(*ends)
        assert "no process" not in told_of(*ends)
        assert accepted.recv(10) == b"abc"
        assert "balancer's end established, 0 bytes unread" in told_of(*ends)
        accepted.close()
        assert "balancer's end closed by it" in told_of(*ends) and "client's end closed by the other" in told_of(*ends)
    assert told_of(*ends).startswith("client's end")
