"""The kernel's TCP table tells whether an unanswered request was never accepted, not read, or read."""

from __future__ import annotations

import socket

from lanemux.rehearsal.calls.tcp_table import describe_connection


def test_a_request_that_was_not_accepted_or_not_read_is_recognized() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
        client.connect(listener.getsockname())
        client.sendall(b"abc")
        ends = client.getsockname(), listener.getsockname()
        assert "balancer's end established, 3 bytes unread, no process has it" in describe_connection(*ends)
        accepted, _ = listener.accept()
        assert "balancer's end established, 3 bytes unread" in describe_connection(*ends)
        assert "no process" not in describe_connection(*ends)
        assert accepted.recv(10) == b"abc"
        assert "balancer's end established, 0 bytes unread" in describe_connection(*ends)
        accepted.close()
        assert "balancer's end closed by it" in describe_connection(
            *ends
        ) and "client's end closed by the other" in describe_connection(*ends)
    assert describe_connection(*ends).startswith("client's end")
