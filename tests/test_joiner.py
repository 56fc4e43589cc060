"""Tests that a replica becomes a member of the log, also once more."""

import pytest
import replication_builders as builders

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory as directories
from carobwood_daemon.membership import periodic_tasks
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import membership_changes

OWN, LEADER, FOLLOWER = builders.MEMBERS
LONG_AGO_SECONDS = 60.0


class Runner:
    """Runs the replica of a control VM.

    Attributes:
        member: its ``Member``.
        replica: its ``Replica``.
        is_running: whether the replica runs.
        is_disk_full: whether the disk refuses writes.
    """

    is_running = True

    def __init__(self, member):
        self.member = member
        self.is_disk_full = False
        self.replica = builders.build_replica(logs.MemoryLog(), own=member)

    def retry_start(self):
        """See ``ReplicaRunner``."""

    def check_disk(self):
        """See ``ReplicaRunner``."""
        if self.is_disk_full:
            raise errors.DiskWriteFailed('no space')

    def join(self, fleet_id):
        """See ``ReplicaRunner``."""
        assert fleet_id == builders.FLEET_ID


class Links:
    """Links to the other voters, the second of which leads.

    Attributes:
        leader: the leader's ``Replica``.
        calls: addresses of the join requests.
    """

    def __init__(self, leader):
        self.leader = leader
        self.calls = []
        self._address = ''

    def to(self, address):
        """Return the link to an address."""
        self._address = address
        return self

    def call(self, method, request):
        """Admit the replica if the VM leads, or name the leader."""
        assert method == 'join'
        self.calls.append(self._address)
        if self._address == OWN.address:
            return ttypes.JoinReply(False, '', '')
        if self._address != LEADER.address:
            return ttypes.JoinReply(False, '', LEADER.address)
        changes = membership_changes.MembershipChanges(self.leader)
        try:
            changes.admit(OWN)
        except errors.NotLeader:
            return ttypes.JoinReply(False, '', '')
        return ttypes.JoinReply(True, builders.FLEET_ID, '')


def _leader_without(member):
    """Return a leader that has taken a voter out of the members."""
    leader = builders.build_replica(logs.MemoryLog(), own=LEADER)
    builders.elect(leader, 1)
    with leader.changed:
        command = leader.membership.without(member.replica_id).command()
        leader.append_locked(builders.commands.encode(command))
        leader.set_commit_index(leader.log.last.index)
    return leader


def _joiner(runner, links):
    own_vm = directories.Vm(OWN.vm_id, 'bole', OWN.address, '', 1, True, False)
    seeds = [member.address for member in builders.MEMBERS]
    known = directories.Directory(own_vm, seeds)
    return periodic_tasks.Joiner(runner, known, links)


# A control VM whose disk was full for longer than a voter may be silent was
# taken out of the members and stayed out for good: its own log names it.
def test_a_replica_that_was_removed_unnoticed_joins_again():
    leader = _leader_without(OWN)
    runner = Runner(OWN)
    runner.replica.leader_contact_at = clocks.now() - LONG_AGO_SECONDS
    links = Links(leader)
    joiner = _joiner(runner, links)
    for _ in range(50):
        joiner.run_once()
        if OWN in leader.membership.learners:
            break
    assert OWN in leader.membership.learners


# A control VM whose disk was full was a member again 14 ms after the others
# had replaced it.
def test_a_replica_whose_disk_is_full_does_not_ask_to_join():
    leader = _leader_without(OWN)
    runner = Runner(OWN)
    runner.replica.leader_contact_at = clocks.now() - LONG_AGO_SECONDS
    runner.is_disk_full = True
    links = Links(leader)
    joiner = _joiner(runner, links)
    with pytest.raises(errors.DiskWriteFailed):
        joiner.run_once()
    assert links.calls == []
    assert OWN.replica_id not in leader.membership.members_by_id


def test_a_member_in_contact_with_the_leader_does_not_ask_to_join():
    runner = Runner(OWN)
    runner.replica.leader_contact_at = clocks.now()
    links = Links(_leader_without(OWN))
    _joiner(runner, links).run_once()
    assert links.calls == []


def test_a_member_without_contact_asks_few_vms_at_a_time():
    runner = Runner(OWN)
    runner.replica.leader_contact_at = clocks.now() - LONG_AGO_SECONDS
    links = Links(_leader_without(FOLLOWER))
    _joiner(runner, links).run_once()
    assert len(links.calls) <= 2
