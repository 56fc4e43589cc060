"""Whether the aggregator of a VM may be cut off from the rest of the fleet.

Load pattern: a control VM is cut off from the other control VMs, or frozen
and resumed, while entry VMs reach all of them. It goes on answering its
members, but hears no news of the others.

The contact of its replica with a leader tells on which side it is: a leader
reaches a quorum of the control VMs.
"""

from carobwood import events

# Age of the contact from which on an aggregator counts as without contact.
# Leaders send heartbeats ten times as often.
WITHOUT_CONTACT_SECONDS = 1.0
# Age of the contact up to which an aggregator passes on what it is told.
RECENT_CONTACT_SECONDS = 0.3


class AggregatorContact:
    """Follows the contact of the aggregator that this VM is a member of."""

    def __init__(self):
        self._vm_id = ''
        self._is_lost = False

    @property
    def is_lost(self):
        """Whether the aggregator is without contact."""
        return self._is_lost

    def note_reply(self, reply):
        """Take note of what a ``GossipReply`` of the aggregator tells."""
        if reply.vm.vm_id != self._vm_id:
            self._vm_id = reply.vm.vm_id
            self._is_lost = False
        age = leader_contact_age(reply)
        if age is None:
            # A VM without a replica, or one of an earlier build.
            return
        if age > WITHOUT_CONTACT_SECONDS and not self._is_lost:
            events.emit(
                events.AGGREGATOR_WITHOUT_CONTACT,
                vm=self._vm_id,
                seconds=round(age, 2),
            )
        if age <= WITHOUT_CONTACT_SECONDS and self._is_lost:
            events.emit(events.AGGREGATOR_IN_CONTACT, vm=self._vm_id)
        self._is_lost = age > WITHOUT_CONTACT_SECONDS


def passes_news_on(reply):
    """Return whether the sender of a reply reaches other aggregators.

    One that does not tell of its contact is taken to reach them.
    """
    age = leader_contact_age(reply)
    return age is None or age <= RECENT_CONTACT_SECONDS


def leader_contact_age(reply):
    """Return the age that a ``GossipReply`` tells in seconds, or None."""
    if reply.leader_contact_ms is None:
        return None
    return reply.leader_contact_ms / 1000
