"""Raft membership of this VM and its contact with the leader."""

from . import state_poller


class MembershipStatus:
    """Tells the Raft membership of this VM and records its contact."""

    def __init__(self, replica_runner, store):
        """Create the status.

        Args:
            replica_runner: the ``ReplicaRunner``, or None on a VM without a
                data folder.
            store: the ``StateStore``.
        """
        self._replica_runner = replica_runner
        self._store = store

    def fleet_id(self):
        """Return the id of the fleet, or an empty string if unknown."""
        return (
            self._replica_runner.fleet_id
            if self._replica_runner is not None
            else ''
        )

    def is_member(self):
        """Tell whether Raft replicates the state to this VM.

        If so, the VM does not poll other VMs for the state. It must be a
        member and have had contact with a leader, or as the leader with a
        quorum, within ``state_poller.STALE_CONTACT_SECONDS``.
        """
        if not self._has_replica():
            return False
        replica = self._replica_runner.replica
        in_contact = replica.contact_age() < state_poller.STALE_CONTACT_SECONDS
        return replica.is_member and in_contact

    def leader_contact_age(self):
        """Return the age of the replica's contact, or None without one.

        See ``Replica.contact_age``. What this VM has heard of a leader by way
        of other VMs does not count.
        """
        if not self._has_replica():
            return None
        return self._replica_runner.replica.contact_age()

    def note_contact(self):
        """If this VM leads, record its last contact with a quorum.

        The contact of other VMs is recorded when they receive entries or
        poll replies.
        """
        if self._has_replica() and self._replica_runner.replica.is_leader:
            self._store.record_contact(
                self._replica_runner.replica.contact_age()
            )

    def _has_replica(self):
        return (
            self._replica_runner is not None
            and self._replica_runner.is_running
        )


def follow_fleet(replica_runner, store, directory, links, gossip):
    """Have gossip tell a VM which state to fetch.

    Args:
        replica_runner: the ``ReplicaRunner``, or None on a VM without a data
            folder.
        store: the ``StateStore``.
        directory: the ``Directory``.
        links: the ``Links``.
        gossip: the ``Gossip``; it learns the id of the fleet.

    Returns:
        The ``MembershipStatus`` and the ``StatePoller``, which is not
        started.
    """
    status = MembershipStatus(replica_runner, store)
    gossip.fleet_id = status.fleet_id
    gossip.leader_contact_age = status.leader_contact_age
    poller = state_poller.StatePoller(
        store, directory, links, status.is_member, gossip.contact_age
    )
    gossip.on_newer_version = poller.fetch_newer
    return status, poller
