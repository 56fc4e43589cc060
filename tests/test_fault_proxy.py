"""Tests of the proxy that injects network faults."""

import socket

import fault_proxy
import pytest


# The thread that accepts held the port open: the next caller was connected to
# a proxy that had been closed, and each closed proxy left a thread behind.
def test_a_closed_proxy_refuses_connections():
    proxy = fault_proxy.FaultProxy('127.0.0.1:1')
    host, _, port = proxy.address.rpartition(':')
    proxy.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((host, int(port)))
