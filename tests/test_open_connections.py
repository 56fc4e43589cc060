"""Tests of the table of connections in use."""

import gc

from carobwood_daemon.relay import open_connections


class _Connection:
    is_closed = False


# Each address that ever had a connection kept an empty table.
def test_addresses_without_connections_are_forgotten():
    table = open_connections.OpenConnections()
    connection = _Connection()
    table.add('a:1', connection, True)
    table.remove('a:1', connection)
    table.add('b:1', _Connection(), True)
    gc.collect()
    assert table.counts_by_address() == {}
    assert not table._uses_by_address
