"""Tests of the threads that replicate the log to other members."""

import threading

import replication_builders as builders

from carobwood.gen.links import ttypes
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import replicator

OWN = commands.Member('r1', 'vm1', '10.0.0.1:1')
OTHER = commands.Member('r2', 'vm2', '10.0.0.2:1')
MANY_CALL_COUNT = 5
RENAMED = commands.Member('r2', 'front-2', '10.0.0.2:1')


class BlockingLinks:
    """Links whose calls block until the test lets them return.

    Attributes:
        first_call_started: set when a call has started.
        may_return: set by the test to let calls return.
        many_calls_made: set after more calls than ``MANY_CALL_COUNT``.
    """

    def __init__(self):
        self.first_call_started = threading.Event()
        self.may_return = threading.Event()
        self.many_calls_made = threading.Event()
        self._calls = 0

    def to(self, address):
        """Return the link to an address."""
        return self

    def call(self, method, request, timeout=1.0):
        """Accept the entries of an ``AppendRequest``."""
        assert method == 'append_entries'
        self._calls += 1
        if self._calls > MANY_CALL_COUNT:
            self.many_calls_made.set()
        self.first_call_started.set()
        self.may_return.wait(20)
        last = request.previous_index + len(request.entries)
        return ttypes.AppendReply(request.term, True, last)


def _leader():
    replica = builders.build_replica(logs.MemoryLog(), (OWN, OTHER))
    builders.elect(replica, 1)
    return replica


def test_replication_continues_when_a_member_is_renamed_during_a_call():
    replica = _leader()
    links = BlockingLinks()
    pool = replicator.ReplicatorPool(replica, links, lambda: None)
    with replica.changed:
        pool._start_needed(pool._needed_members())
    assert links.first_call_started.wait(20)
    change = commands.ChangeVoters((OWN, RENAMED), ())
    with replica.changed:
        replica.append_locked(commands.encode(change))
        # The pool handles the change while the first call is blocked.
        pool._start_needed(pool._needed_members())
    links.may_return.set()
    assert links.many_calls_made.wait(20)
    with replica.changed:
        replica.stopped = True
        replica.notify_all_waiting()
