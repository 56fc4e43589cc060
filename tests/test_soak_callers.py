"""Tests of the callers of a soak."""

import http.client
import select
import socket
import types

import soak_callers

VM_ID = 'front-0'
WAIT_SECONDS = 10.0


def _caller(listener):
    host, port = listener.getsockname()
    site = types.SimpleNamespace(
        processes=types.SimpleNamespace(
            vms_by_id={VM_ID: types.SimpleNamespace(host=host)},
            ports=types.SimpleNamespace(callers=port),
        ),
        records=None,
        stopped=None,
    )
    return soak_callers.KeepingCaller(site, None, 1)


# The soak excused requests on connections that had ended long before.
def test_a_caller_does_not_use_a_connection_whose_end_it_can_read():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = _caller(listener)
        caller.open_connection(VM_ID)
        accepted, _ = listener.accept()
        kept = caller._connect(VM_ID)
        assert isinstance(kept, http.client.HTTPConnection)
        caller._connections_by_vm[VM_ID] = kept
        accepted.close()
        select.select([kept.sock], [], [], WAIT_SECONDS)
        assert caller._connect(VM_ID) is not kept
        assert kept.sock is None


def test_a_caller_uses_an_idle_connection_again():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = _caller(listener)
        caller.open_connection(VM_ID)
        accepted, _ = listener.accept()
        with accepted:
            kept = caller._connections_by_vm[VM_ID]
            assert caller._connect(VM_ID) is kept
            kept.close()
