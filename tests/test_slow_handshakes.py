"""Tests of links whose handshakes come byte by byte."""

import select
import socket
import threading

from carobwood_daemon.membership import link_transport
import relay_test_fleet

SECRET = b'secret of the fleet'
# Shorter than a handshake of so many pauses.
TIMEOUT_SECONDS = 0.5
PAUSE_SECONDS = 0.1


def _accept(sock, errors):
    try:
        link_transport.accept(sock, SECRET, TIMEOUT_SECONDS)
    except Exception as error:
        errors.append(error)
    finally:
        sock.close()


# Each byte began the time anew: a few peers that hold no secret kept all
# threads of a VM's link server.
def test_a_handshake_that_comes_byte_by_byte_ends_in_time():
    listener = socket.create_server(('127.0.0.1', 0))
    peer = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    failures = []
    thread = threading.Thread(target=_accept, args=(accepted, failures))
    thread.start()
    hello = link_transport._make_hello(
        bytes(link_transport._HELLO.size), link_transport.SPOKEN_VERSIONS
    )
    poller = select.poll()
    poller.register(peer, select.POLLIN | select.POLLRDHUP)
    sent_bytes = 0
    while sent_bytes < len(hello) and not poller.poll(1000 * PAUSE_SECONDS):
        peer.sendall(hello[sent_bytes : sent_bytes + 1])
        sent_bytes += 1
    peer.close()
    thread.join(relay_test_fleet.WAIT_SECONDS)
    listener.close()
    assert sent_bytes < len(hello), 'the handshake is still read'
    assert isinstance(failures[0], TimeoutError)
