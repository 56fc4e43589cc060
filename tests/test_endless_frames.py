"""Tests of large frames on many links."""

from carobwood.gen.links import ttypes
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.membership import link_server
from carobwood_daemon.membership import link_transport
import pytest
import relay_test_fleet
import test_link_server as links

MEGABYTE = 1024 * 1024
PART_BYTES = 3 * MEGABYTE
LINK_COUNT = 20
BUDGET_BYTES = 16 * MEGABYTE

handler = links.handler
server = links.server


@pytest.fixture
def frame_budget(monkeypatch):
    """Let the frames of all links hold less than the test sends."""
    monkeypatch.setattr(link_server, 'CALL_TIMEOUT_SECONDS', 60.0)
    budget = buffer_budget.BufferBudget(BUDGET_BYTES)
    monkeypatch.setattr(link_transport, 'FRAME_BUDGET', budget)
    return budget


def _send_part_of_a_frame(server):
    """Send most of a frame that is never ended; return the socket."""
    transport = link_transport.connect(
        links._link(server).address, links.SECRET, links.TIMEOUT_SECONDS
    )
    sock = transport._socket
    header = link_transport._FRAME_HEADER.pack(2 * PART_BYTES, bytes(16))
    try:
        sock.sendall(header + bytes(PART_BYTES))
    except OSError:
        # It was refused meanwhile.
        pass
    return sock


def _is_refused(sock):
    sock.setblocking(False)
    try:
        return sock.recv(1) == b''
    except BlockingIOError:
        return False
    except OSError:
        return True


def test_large_frames_on_many_links_are_bounded_together(server, frame_budget):
    """Each frame is within its limit; all of them are not."""
    sockets = [_send_part_of_a_frame(server) for _ in range(LINK_COUNT)]
    relay_test_fleet.await_reply(
        lambda: sum(_is_refused(sock) for sock in sockets),
        lambda refused: refused >= LINK_COUNT - BUDGET_BYTES // PART_BYTES - 1,
    )
    assert frame_budget.used_bytes <= BUDGET_BYTES
    assert links._lend(links._link(server), 1.0) == 1.0
    for sock in sockets:
        sock.close()
    relay_test_fleet.await_reply(
        lambda: frame_budget.used_bytes, lambda used_bytes: not used_bytes
    )


def test_a_link_keeps_no_call_that_it_has_served(server, frame_budget):
    caller = links._link(server)
    large = ttypes.LendRequest('x' * PART_BYTES, 1.0)
    for _ in range(2 * BUDGET_BYTES // PART_BYTES):
        reply = caller.call('lend_tokens', large, links.TIMEOUT_SECONDS)
        assert reply.tokens == 1.0
    relay_test_fleet.await_reply(
        lambda: frame_budget.used_bytes, lambda used_bytes: not used_bytes
    )
