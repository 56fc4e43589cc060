"""Tests of bringing members' logs up to date."""

import threading

from carobwood.gen.links import ttypes
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import replica as replicas
from carobwood_daemon.replication import replicator
from carobwood_daemon.replication import stable_state
from carobwood_daemon.replication import timing

OWN = commands.Member('r1', 'vm1', '10.0.0.1:1')
OTHER = commands.Member('r2', 'vm2', '10.0.0.2:1')
MANY_CALLS = 5
RENAMED = commands.Member('r2', 'front-2', '10.0.0.2:1')


class HeldLinks:
    """Links whose first call is held until the test releases it."""

    def __init__(self):
        self.is_called = threading.Event()
        self.released = threading.Event()
        self.goes_on = threading.Event()
        self._calls = 0

    def to(self, address):
        """Return the link to an address."""
        return self

    def call(self, method, request, timeout=1.0):
        """Answer an append."""
        assert method == 'append_entries'
        self._calls += 1
        if self._calls > MANY_CALLS:
            self.goes_on.set()
        self.is_called.set()
        self.released.wait(20)
        last = request.previous_index + len(request.entries)
        return ttypes.AppendReply(request.term, True, last)


def _leader():
    log = logs.MemoryLog()
    change = commands.ChangeVoters((OWN, OTHER), ())
    log.append([logs.Entry(1, 0, commands.encode(change))])
    replica = replicas.Replica(
        data_folder.Identity('r1', 'fleet'),
        'vm1',
        OWN.address,
        log,
        stable_state.MemoryStableStore(),
        timing.Timing(),
    )
    replica.load_membership(0, replica.voters)
    with replica.changed:
        replica.store_hard_state(stable_state.HardState(1, 'r1'))
        replica.become_leader()
    return replica


def test_a_member_that_is_renamed_during_a_call_goes_on_being_sent_to():
    replica = _leader()
    links = HeldLinks()
    senders = replicator.ReplicatorPool(replica, links, lambda: None)
    with replica.changed:
        senders._start_needed(senders._needed_members())
    assert links.is_called.wait(20)
    change = commands.ChangeVoters((OWN, RENAMED), ())
    with replica.changed:
        replica.append_locked(commands.encode(change))
        # The change is seen while the first call still lasts.
        senders._start_needed(senders._needed_members())
    links.released.set()
    assert links.goes_on.wait(20)
    with replica.changed:
        replica.stopped = True
        replica.notify_all_waiting()
