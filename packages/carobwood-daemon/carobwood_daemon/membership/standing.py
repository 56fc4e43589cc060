"""How a VM stands towards the voters of its fleet."""

from . import follower


class Standing:
    """Membership and contact of this VM."""

    def __init__(self, voter, store):
        """Create the standing.

        Args:
            voter: the ``Voter``, or None on a VM without a data folder.
            store: the ``StateStore``.
        """
        self._voter = voter
        self._store = store

    def fleet_id(self):
        """Return the id of the fleet, or an empty text."""
        return self._voter.fleet_id if self._voter is not None else ''

    def is_member(self):
        """Tell whether this VM votes and is in contact with a quorum."""
        if not self._has_replica():
            return False
        replica = self._voter.replica
        in_contact = replica.contact_age() < follower.STALE_CONTACT
        return replica.is_member and in_contact

    def note_contact(self):
        """Tell the store how long ago a leader here heard a quorum."""
        if self._has_replica() and self._voter.replica.is_leader:
            self._store.note_contact(self._voter.replica.contact_age())

    def _has_replica(self):
        return self._voter is not None and self._voter.is_running
