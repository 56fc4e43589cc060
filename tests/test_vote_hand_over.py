"""Tests of voters that stop, and of lost leaders, beside a learner."""

import threading

import pytest
import replication_builders as builders

from carobwood import clocks
from carobwood import errors
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import membership_changes

OWN, STOPPING, OTHER = builders.MEMBERS
LEARNER = commands.Member('learner', 'vm4', '10.0.0.4:1')
TIMEOUT_SECONDS = 20.0
SHORT_SECONDS = 0.2
REPLACE_AFTER_SECONDS = 2.0
TARGET_VOTERS = 3


class _Answers:
    """Members that answer the leader until the end of the context."""

    def __init__(self, leader, silent=()):
        self._leader = leader
        self._silent = silent
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._answer_all, daemon=True)

    def __enter__(self):
        self._thread.start()

    def __exit__(self, *exception):
        self._stopped.set()
        self._thread.join()

    def _answer_all(self):
        while not self._stopped.wait(0.01):
            with self._leader.changed:
                for (
                    replica_id,
                    progress,
                ) in self._leader.progress_by_id.items():
                    if replica_id not in self._silent:
                        progress.match_index = self._leader.log.last.index
                        progress.acked_at = clocks.now()
                self._leader.advance_commit_index()
                self._leader.notify_all_waiting()


@pytest.fixture
def leader():
    """Return a leader with three voters and a learner."""
    replica = builders.build_replica(logs.MemoryLog(), own=OWN)
    builders.elect(replica, 1)
    with _Answers(replica):
        changes = _changes(replica)
        while LEARNER not in replica.membership.learners:
            changes.admit(LEARNER)
    return replica


def _changes(leader):
    return membership_changes.MembershipChanges(leader, TARGET_VOTERS)


def _voter_ids(leader):
    return {member.replica_id for member in leader.membership.voters}


# The log lost its quorum for good: a voter was stopped as its successor had
# caught up, kept its vote, and the next voter was lost after that.
def test_a_voter_that_stops_for_good_has_a_learner_in_its_place(leader):
    with _Answers(leader):
        _changes(leader).hand_over(STOPPING.vm_id, TIMEOUT_SECONDS)
    assert _voter_ids(leader) == {
        OWN.replica_id,
        OTHER.replica_id,
        LEARNER.replica_id,
    }


# Fewer voters than before would lose what is committed with fewer disks.
def test_a_voter_keeps_its_vote_if_no_learner_has_caught_up(leader):
    before = _voter_ids(leader)
    with _Answers(leader, silent=(LEARNER.replica_id,)):
        leader.progress_by_id[LEARNER.replica_id].acked_at -= 60.0
        with pytest.raises(errors.ReplacementRefused):
            _changes(leader).hand_over(STOPPING.vm_id, TIMEOUT_SECONDS)
    assert _voter_ids(leader) == before


# A successor that had just joined had no vote as the voter before it ended.
def test_a_learner_that_answers_has_the_time_to_catch_up(leader):
    progress = leader.progress_by_id[LEARNER.replica_id]
    progress.match_index = 0
    thread = threading.Thread(
        target=_changes(leader).hand_over,
        args=(STOPPING.vm_id, TIMEOUT_SECONDS),
        daemon=True,
    )
    with _Answers(leader, silent=(LEARNER.replica_id,)):
        thread.start()
        thread.join(SHORT_SECONDS)
        assert thread.is_alive()
    with _Answers(leader):
        thread.join(TIMEOUT_SECONDS)
    assert LEARNER.replica_id in _voter_ids(leader)
    assert STOPPING.replica_id not in _voter_ids(leader)


def test_a_learner_that_is_too_late_is_not_waited_for_any_longer(leader):
    before = _voter_ids(leader)
    leader.progress_by_id[LEARNER.replica_id].match_index = 0
    with _Answers(leader, silent=(LEARNER.replica_id,)):
        with pytest.raises(errors.ReplacementRefused):
            _changes(leader).hand_over(STOPPING.vm_id, SHORT_SECONDS)
    assert _voter_ids(leader) == before


def test_of_two_voters_that_stop_one_hands_its_vote_to_the_learner(leader):
    with _Answers(leader):
        _changes(leader).hand_over(STOPPING.vm_id, TIMEOUT_SECONDS)
        with pytest.raises(errors.ReplacementRefused):
            _changes(leader).hand_over(OTHER.vm_id, TIMEOUT_SECONDS)
    assert _voter_ids(leader) == {
        OWN.replica_id,
        OTHER.replica_id,
        LEARNER.replica_id,
    }


def test_a_vm_without_a_vote_hands_nothing_over(leader):
    before = leader.membership
    with _Answers(leader):
        _changes(leader).hand_over('vm9', TIMEOUT_SECONDS)
    assert leader.membership == before


def test_a_voter_is_not_removed_before_the_others_have_a_quorum(leader):
    with _Answers(leader, silent=(OTHER.replica_id,)):
        leader.progress_by_id[OTHER.replica_id].acked_at -= 60.0
        # Of the four voters three have to store a change, the stopping one
        # among them; without it two of three remain.
        _changes(leader).hand_over(STOPPING.vm_id, TIMEOUT_SECONDS)
    assert STOPPING.replica_id not in _voter_ids(leader)


def test_a_hand_over_that_is_not_committed_ends_with_its_time(leader):
    with _Answers(leader, silent=(OTHER.replica_id, STOPPING.replica_id)):
        with pytest.raises(errors.ReplacementRefused):
            _changes(leader).hand_over(STOPPING.vm_id, SHORT_SECONDS)


def test_only_the_leader_hands_a_vote_over():
    follower = builders.build_replica(logs.MemoryLog(), own=OWN)
    with pytest.raises(errors.NotLeader):
        _changes(follower).hand_over(STOPPING.vm_id, SHORT_SECONDS)


# A leader that was gone for good was replaced later than any other voter, by
# the time of the election: it was lost beside the next one.
def test_a_lost_leader_is_silent_since_its_last_message(leader):
    with leader.changed:
        leader.become_follower(leader.term)
        leader.last_leader_id = STOPPING.replica_id
        leader.leader_contact_at = clocks.now() - REPLACE_AFTER_SECONDS
    builders.elect(leader, 2)
    with _Answers(leader, silent=(STOPPING.replica_id,)):
        while len(_voter_ids(leader)) != TARGET_VOTERS + 1:
            _changes(leader).replace_unresponsive(REPLACE_AFTER_SECONDS)
        while STOPPING.replica_id in _voter_ids(leader):
            _changes(leader).replace_unresponsive(REPLACE_AFTER_SECONDS)
    assert LEARNER.replica_id in _voter_ids(leader)
