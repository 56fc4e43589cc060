"""Tests of the watch over engines that keep requests waiting."""

import socket

from carobwood_daemon.entry import overdue
from carobwood_daemon.membership import directory
from carobwood_daemon.routing import breakers
import pytest

ENGINE = directory.Endpoint(
    'engine-1', 1, 1, '127.0.0.1:1', 'bole', 'engines', 'production', '1'
)


class Setting:
    """A watch on a clock of its own, and a connection."""

    def __init__(self):
        self.now = 100.0
        self.breakers = breakers.Breakers(lambda: self.now)
        self.watch = overdue.OverdueWatch(self.breakers, lambda: self.now)
        self.near, self.far = socket.socketpair()

    def close(self):
        """Close both ends."""
        self.near.close()
        self.far.close()


@pytest.fixture
def setting():
    created = Setting()
    yield created
    created.close()


def test_a_dead_engine_loses_what_waits_for_it(setting):
    with setting.watch.watch(ENGINE, setting.near) as wait:
        setting.now += overdue.OVERDUE_SECONDS + 0.1
        setting.watch._conclude(ENGINE, False)
        assert wait.is_given_up
        assert setting.far.recv(1) == b''
    assert setting.breakers.is_open(ENGINE)


def test_a_living_engine_is_waited_for(setting):
    with setting.watch.watch(ENGINE, setting.near) as wait:
        setting.now += overdue.OVERDUE_SECONDS + 0.1
        assert setting.watch._overdue_endpoints() == [ENGINE]
        # One probe of an engine at a time.
        assert setting.watch._overdue_endpoints() == []
        setting.watch._conclude(ENGINE, True)
        assert not wait.is_given_up
        assert wait.asked_at == setting.now
    assert not setting.breakers.is_open(ENGINE)


def test_a_request_that_has_just_begun_is_left_alone(setting):
    with setting.watch.watch(ENGINE, setting.near) as wait:
        assert setting.watch._overdue_endpoints() == []
        setting.watch._conclude(ENGINE, False)
        assert not wait.is_given_up
