"""Threads that exchange gossip with aggregators, one for each."""

import concurrent.futures
import threading
import time

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from . import aggregator_contact
from . import aggregator_search
from . import topology

CALL_TIMEOUT_SECONDS = 1.0
# Period of an uplink before its aggregator has named one.
INITIAL_PERIOD_SECONDS = 0.1
# Period at which a VM that needs no uplink checks whether it does.
IDLE_PERIOD_SECONDS = 0.5
# Time for the first connection to a VM. One that starts at the same time takes
# no packet yet, and the lost one would only be sent again after a second.
FIRST_CONNECT_SECONDS = 0.2
# Minimum time between two exchanges, also if more is to be sent.
MIN_PAUSE_SECONDS = 0.03
# Time for which an address that has failed or refused is not tried again.
AVOID_SECONDS = 2.0
# Time for which an aggregator without contact to a leader is not joined again.
# By then this VM takes it for silent, unless other aggregators hear it.
AVOID_WITHOUT_CONTACT_SECONDS = 4.0
# Period at which a member looks for a better aggregator.
REVIEW_PERIOD_SECONDS = 2.0
# Time between two messages to an aggregator that does not answer.
SILENT_PERIOD_SECONDS = 1.0
# Notifications of members that are sent at once, and the time for each.
NOTIFIER_THREADS = 4
NOTIFY_SECONDS = 0.5
# Time between two announcements of an endpoint of which nothing has changed.
REFRESH_PERIOD_SECONDS = 2.0


class GossipThread(threading.Thread):
    """A thread that exchanges messages periodically or when woken."""

    def __init__(self, name, gossip):
        super().__init__(name=name, daemon=True)
        self._gossip = gossip
        self._is_stopped = False
        self._changed = threading.Condition()
        self._is_woken = False
        self._is_silent = False
        self._refreshed_at = float('-inf')
        self._first_connect_seconds = FIRST_CONNECT_SECONDS
        self.period = INITIAL_PERIOD_SECONDS

    def run(self):
        """Exchange messages until stopped."""
        while not self._gossip.is_stopped and not self._is_stopped:
            try:
                self.exchange()
            except Exception as error:
                events.emit(
                    events.THREAD_FAILED, thread=self.name, error=repr(error)
                )
            self._pause()

    def wake(self):
        """Start the next exchange now."""
        with self._changed:
            self._is_woken = True
            self._changed.notify_all()

    def stop(self):
        """End the thread after its current exchange."""
        self._is_stopped = True
        self.wake()

    def exchange(self):
        """Send one message and merge the reply."""
        raise NotImplementedError

    def _pause(self):
        time.sleep(MIN_PAUSE_SECONDS)
        with self._changed:
            self._changed.wait_for(
                lambda: self._is_woken, self.period - MIN_PAUSE_SECONDS
            )
            self._is_woken = False

    def _add_refreshed_endpoints(self, message):
        """Add the endpoints that announce to this VM, from time to time."""
        now = clocks.now()
        if now - self._refreshed_at >= REFRESH_PERIOD_SECONDS:
            self._refreshed_at = now
            message.records.announcements += self._gossip.refreshed_endpoints()

    def _call(self, link, message, has_answered):
        """Send a message and return the reply.

        Args:
            link: the ``Link`` to the other VM.
            message: the ``GossipMessage``.
            has_answered: whether the VM has answered this thread before.

        Raises:
            LinkFailed: no reply arrived.
        """
        seconds = CALL_TIMEOUT_SECONDS
        if not has_answered:
            seconds = min(seconds, self._first_connect_seconds)
        return link.call('gossip', message, CALL_TIMEOUT_SECONDS, seconds)

    def _note_failure(self, error):
        if not self._is_silent:
            events.emit(events.VM_SILENT, reason=error.detail)
        self._is_silent = True
        # VMs that have much to do at their start may need longer.
        self._first_connect_seconds *= 2

    def _note_reply(self, reply):
        if self._is_silent:
            events.emit(events.VM_REGAINED, vm=reply.vm.vm_id)
        self._is_silent = False


class AggregatorPeer(GossipThread):
    """Sends another aggregator the records and sums of this VM's group.

    Attributes:
        address: link address of the other aggregator.
    """

    def __init__(self, gossip, link):
        super().__init__(f'gossip-{link.address}', gossip)
        self.address = str(link.address)
        self._link = link
        self._vm_id = ''
        self._position = None
        self._incarnation = 0
        # From when on news of members has still to be passed on.
        self._members_sent_until = float('-inf')

    def exchange(self):
        """Send the records that the other aggregator lacks."""
        now = clocks.now()
        message, next_position = self._gossip.make_message(
            ttypes.SenderRole.AGGREGATOR, self._position, self._vm_id
        )
        self._add_refreshed_endpoints(message)
        message.records.announcements += self._gossip.announcements_of_members(
            self._members_sent_until
        )
        try:
            reply = self._call(self._link, message, bool(self._incarnation))
        except errors.LinkFailed as error:
            self.period = self._silent_period()
            self._note_failure(error)
            return
        self._note_reply(reply)
        self.period = self._gossip.mesh_period
        self._position = next_position
        self._members_sent_until = now
        self._vm_id = reply.vm.vm_id
        if reply.vm.incarnation != self._incarnation:
            # The other VM was restarted and has lost what it was sent.
            if self._incarnation:
                self._position = None
                self._is_woken = True
            self._incarnation = reply.vm.incarnation
        self._gossip.merge_reply(reply)

    def _silent_period(self):
        """Return the seconds until a VM that has not answered is asked again.

        One that has never answered may be about to start, as this VM was.
        """
        if self._incarnation:
            return SILENT_PERIOD_SECONDS
        return min(SILENT_PERIOD_SECONDS, self._first_connect_seconds)


class MemberNotifier(threading.Thread):
    """Tells the members of this VM's group that there is news.

    Each member then asks for it, before its period ends.
    """

    def __init__(self, gossip, directory, links):
        super().__init__(name='gossip-notifier', daemon=True)
        self._gossip = gossip
        self._directory = directory
        self._links = links
        self._has_news = threading.Event()
        self._calls = concurrent.futures.ThreadPoolExecutor(
            NOTIFIER_THREADS, thread_name_prefix='notify'
        )

    def run(self):
        """Notify all members each time there is news, until stopped."""
        while not self._gossip.is_stopped:
            self._has_news.wait()
            self._has_news.clear()
            message = self._gossip.make_notification()
            for vm in self._directory.members():
                self._calls.submit(self._notify, vm.link_address, message)
            time.sleep(MIN_PAUSE_SECONDS)
        self._calls.shutdown(wait=False, cancel_futures=True)

    def wake(self):
        """Notify the members now."""
        self._has_news.set()

    def _notify(self, address, message):
        try:
            self._links.to(address).call('gossip', message, NOTIFY_SECONDS)
        except errors.LinkFailed as error:
            # The member asks by itself at the end of its period.
            events.emit(events.VM_SILENT, reason=error.detail)


class Uplink(GossipThread):
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
                self.period = INITIAL_PERIOD_SECONDS
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
        self.period = MIN_PAUSE_SECONDS
