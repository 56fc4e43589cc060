"""The exchange of a VM with the aggregator that it is a member of."""

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from . import aggregator_contact
from . import aggregator_search
from . import gossip_peers
from . import topology

# Period at which a VM that needs no uplink checks whether it does.
IDLE_PERIOD_SECONDS = 0.5
# Time for which an address that has failed or refused is not tried again.
AVOID_SECONDS = 2.0
# Time for which an aggregator without contact to a leader is not joined again.
# By then this VM takes it for silent, unless other aggregators hear it.
AVOID_WITHOUT_CONTACT_SECONDS = 4.0
# Period at which a member looks for a better aggregator.
REVIEW_PERIOD_SECONDS = 2.0


class Uplink(gossip_peers.GossipThread):
    """Exchanges messages with the aggregator that this VM is a member of.

    While this VM is an aggregator itself, the thread is idle.
    """

    def __init__(self, gossip, directory, links):
        super().__init__('gossip-uplink', gossip)
        self._directory = directory
        self._links = links
        self._address = None
        self._is_accepted = False
        self._has_joined = False
        self._vm_id = ''
        self._incarnation = 0
        self._reviewed_at = float('-inf')
        self._avoided_until_by_address = {}
        self._sent_position = None
        self._received_position = None
        # Whether the aggregator may lack records of other aggregators.
        self._sends_all = False
        self._contact = aggregator_contact.AggregatorContact()
        self._search = aggregator_search.AggregatorSearch(self._ask, self.wake)

    def exchange(self):
        """Exchange messages with the best aggregator."""
        self._review_address()
        if self._address is None:
            self.period = IDLE_PERIOD_SECONDS
            if not self._has_joined:
                self.period = gossip_peers.INITIAL_PERIOD_SECONDS
            return
        message, next_position = self._gossip.make_message(
            ttypes.SenderRole.MEMBER,
            self._sent_position,
            self._vm_id,
            self._sends_all,
        )
        message.position = self._received_position
        self._add_refreshed_endpoints(message)
        link = self._links.to(self._address)
        try:
            reply = self._call(link, message, self._is_accepted)
        except errors.LinkFailed as error:
            self._note_failure(error)
            self._leave()
            return
        self._note_reply(reply)
        if reply.vm.incarnation != self._incarnation:
            if self._incarnation:
                # The aggregator was restarted; it gets all records again.
                next_position = None
            self._incarnation = reply.vm.incarnation
        self._vm_id = reply.vm.vm_id
        self._sent_position = next_position
        self._received_position = reply.position
        self._gossip.merge_reply(reply)
        if not reply.accepted:
            self._leave()
            return
        if not self._is_accepted:
            self._is_accepted = True
            self._has_joined = True
            events.emit(
                events.AGGREGATOR_JOINED,
                vm=reply.vm.vm_id,
                data_centre=reply.vm.data_centre,
                period=reply.period_ms / 1000,
            )
        self.period = reply.period_ms / 1000
        self._gossip.merge_summary(message, reply)
        if self._directory.take_reread_due():
            self._received_position = None
            events.emit(events.RECORDS_READ_AGAIN, vm=reply.vm.vm_id)
        self._contact.note_reply(reply)
        found_address = self._search.take_found()
        if self._contact.is_lost:
            self._replace_aggregator(found_address)

    def stop(self):
        """End the thread after its current exchange."""
        super().stop()
        self._search.stop()

    def _replace_aggregator(self, found_address):
        """Move to the VM that was found in contact, or search for one.

        Until one is found, this VM goes on with its aggregator: in a data
        centre that is cut off, no other one answers.
        """
        now = clocks.now()
        if found_address is None:
            own_vm, vms = self._directory.own_vm, self._directory.vms()
            addresses = topology.contact_addresses(own_vm, vms, now)
            self._search.start(
                [a for a in addresses if a != self._address],
            )
            return
        events.emit(
            events.AGGREGATOR_LEFT, vm=self._vm_id, address=found_address
        )
        self._avoided_until_by_address[self._address] = (
            now + AVOID_WITHOUT_CONTACT_SECONDS
        )
        self._reviewed_at = now
        self._move_to(found_address)

    def _ask(self, address, seconds):
        message = self._gossip.make_notification()
        return self._links.to(address).call(
            'gossip', message, seconds, seconds
        )

    def _review_address(self):
        now = clocks.now()
        if now - self._reviewed_at < REVIEW_PERIOD_SECONDS:
            return
        self._reviewed_at = now
        own_vm, vms = self._directory.own_vm, self._directory.vms()
        if topology.needs_no_uplink(own_vm, vms, now):
            self._move_to(None)
            return
        for address in topology.uplink_addresses(
            own_vm, vms, self._directory.seeds, now
        ):
            if now >= self._avoided_until_by_address.get(address, 0.0):
                # Aggregators with a disk get all records from each other.
                # One without may have been restarted, and know no other.
                self._sends_all = not any(
                    vm.has_disk and vm.link_address == address for vm in vms
                )
                self._move_to(address)
                return
        # All have failed lately, so all are tried again.
        self._avoided_until_by_address.clear()
        self._reviewed_at = float('-inf')
        self._move_to(None)

    def _move_to(self, address):
        if address == self._address:
            return
        self._address = address
        self._is_accepted = False
        self._vm_id = ''
        self._incarnation = 0
        self._sent_position = None
        self._received_position = None
        self.wake()

    def _leave(self):
        now = clocks.now()
        self._avoided_until_by_address[self._address] = now + AVOID_SECONDS
        self._reviewed_at = float('-inf')
        self.period = gossip_peers.MIN_PAUSE_SECONDS
