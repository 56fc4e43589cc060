"""Gossip between VMs over a tree, whose cost a VM does not grow with it.

A member sends what it knows first to its aggregator and gets in return what
the rest of the fleet knows; see ``topology``. Aggregators send each other
what their members know. Messages carry the records that the receiver lacks,
and the reports of further topics.
"""

import threading

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes

from ..routing import cache_update_log

from . import aggregator_contact
from . import broadcast
from . import directory as directories
from . import foreign_records
from . import gossip_peers
from . import gossip_records
from . import strike_messages
from . import topology
from . import uplink

# Period of the search for new peers and of the check for silent members.
CHECK_PERIOD_SECONDS = 0.5
# Period of a member, scaled by the number of members of its aggregator so
# that the load of the aggregator stays bounded.
MEMBER_PERIOD_SECONDS = 0.01
MIN_PERIOD_SECONDS = 0.1
MAX_PERIOD_SECONDS = 0.4
# Stands for the age of a contact that never was.
NO_CONTACT = -1


class Gossip:
    """Exchanges VMs, endpoints, withdrawals, crashes and cache updates.

    Attributes:
        fleet_id: function that returns the id of the fleet, or ''.
        leader_contact_age: function that returns the seconds since the
            replica of this VM was in contact with a leader, or None if it
            has none.
        on_newer_version: called with a link address and a version of the
            replicated state that the VM there has and this one lacks.
        save_endpoints: function that saves the known endpoints on the disk of
            this VM, if it has one; returns whether they are saved.
        foreign_records: the ``ForeignRecords``.
    """

    def __init__(
        self,
        directory,
        withdrawals,
        crash_suspects,
        prefix_cache_index,
        store,
        links,
        topics=(),
        sources=(),
    ):
        """Prepare the exchange.

        Args:
            directory: the ``Directory``.
            withdrawals: the ``Withdrawals``.
            crash_suspects: the ``CrashSuspects``.
            prefix_cache_index: the ``PrefixCacheIndex``.
            store: the ``StateStore``.
            links: the ``Links``.
            topics: further payload; see ``relay.gossip_topic``.
            sources: further records; see ``gossip_records.RecordSource``.
        """
        self.fleet_id = lambda: ''
        self.leader_contact_age = lambda: None
        self.on_newer_version = lambda address, version: None
        self.save_endpoints = lambda: True
        self.foreign_records = foreign_records.ForeignRecords(
            lambda: clocks.now()
        )
        self._topics = tuple(topics)
        self._directory = directory
        self._withdrawals = withdrawals
        self._crash_suspects = crash_suspects
        self._store = store
        self._links = links
        self._broadcast = broadcast.Broadcast(directory, links)
        self._lock = threading.Lock()
        self._peers_by_address = {}
        self._uplink = uplink.Uplink(self, directory, links)
        self._notifier = gossip_peers.MemberNotifier(self, directory, links)
        self._records = gossip_records.RecordExchange(
            directory,
            crash_suspects,
            prefix_cache_index,
            (*sources, self.foreign_records),
            self._push_news,
        )
        self._stopped = False
        self._is_aggregator = True
        # Time of the last contact with a leader that a reply has told of.
        self._contact_at = float('-inf')
        withdrawals.on_addition(lambda digests: self.push())

    @property
    def is_stopped(self):
        """Whether the threads have to stop."""
        return self._stopped

    @property
    def mesh_period(self):
        """Seconds between two messages to another aggregator."""
        return self._member_period()

    def start(self, timer):
        """Start the exchange with the aggregators.

        Args:
            timer: the ``Timer`` for the search for new peers.
        """
        self._check_peers()
        self._uplink.start()
        self._notifier.start()
        timer.subscribe(CHECK_PERIOD_SECONDS, self._check_peers)

    def stop(self):
        """Stop all threads."""
        self._stopped = True
        self.push()
        self._uplink.stop()
        self._notifier.wake()

    def push(self):
        """Start an exchange with all peers now, not at the next period."""
        self._uplink.wake()
        self._wake_peers()
        self._notify_members()

    def confirm(self, record, timeout):
        """Send an urgent record to all VMs and wait for their replies.

        Args:
            record: digest of a withdrawn key, or the (fingerprint, crash)
                pair of a strike.
            timeout: seconds to wait for all VMs together.

        Returns:
            Link addresses of the VMs that have received it in time.
        """
        message = self._make_message(
            ttypes.SenderRole.BROADCASTER, self._broadcast_records(record)
        )
        return self._broadcast.send_to_all(message, timeout)

    def send_endpoint(self, endpoint, vm):
        """Send the announcement of an endpoint to a VM, which saves it.

        Args:
            endpoint: the ``Endpoint``.
            vm: the ``Vm``.

        Returns:
            Whether the VM has replied that it has saved it.
        """
        if vm.id == self._directory.own_vm.id:
            return self.save_endpoints()
        announcement = gossip_records.endpoint_to_thrift(
            endpoint, clocks.now()
        )
        message = self._make_message(
            ttypes.SenderRole.BROADCASTER,
            ttypes.Records(announcements=[announcement]),
        )
        return self._broadcast.send(vm.link_address, message)

    def receive(self, message):
        """Merge another VM's message and return the reply.

        Raises:
            LinkRefused: the VM belongs to another fleet.
        """
        if message.fleet_id and self.fleet_id():
            if message.fleet_id != self.fleet_id():
                raise errors.LinkRefused('the peer belongs to another fleet')
        reply = self._make_reply()
        is_member = message.role == ttypes.SenderRole.MEMBER
        reply.accepted = not is_member or self._is_aggregator
        source = cache_update_log.Source(message.vm.vm_id, not is_member)
        if message.role != ttypes.SenderRole.BROADCASTER:
            is_accepted_member = is_member and reply.accepted
            self._note_sender(message, source, is_accepted_member)
        self._withdrawals.add(message.withdrawn_digests)
        self._records.merge(message.records, source)
        if message.role == ttypes.SenderRole.BROADCASTER:
            self._uplink.wake()
            if message.records.announcements:
                # The sender relies on them after this reply.
                reply.accepted = self.save_endpoints()
        is_peer = message.role == ttypes.SenderRole.AGGREGATOR
        if is_peer and self._is_aggregator:
            for topic in self._topics:
                if topic.merge_group(message):
                    self._notify_members()
        if is_member:
            self._answer_member(message, reply)
        return reply

    def make_message(self, role, position, receiver_id='', sends_all=False):
        """Return a message for an aggregator, and the position after it.

        Args:
            role: the ``SenderRole`` of this VM.
            position: ``LogPosition`` in this VM's logs from which the
                receiver lacks records, or None if it lacks all.
            receiver_id: id of the aggregator, or empty if unknown.
            sends_all: whether the aggregator may lack records that this VM
                has got from other aggregators.
        """
        is_member = role == ttypes.SenderRole.MEMBER

        def is_wanted(source):
            if source.vm_id and source.vm_id == receiver_id:
                return False
            if source == cache_update_log.MEMBERS_ONLY:
                return False
            return sends_all or not (is_member and source.is_aggregator)

        def is_update_wanted(source):
            if source.is_aggregator:
                return sends_all and source.vm_id != receiver_id
            return True

        records, next_position = self._records.read(
            position, is_wanted, is_update_wanted
        )
        message = self._make_message(role, records)
        for topic in self._topics:
            topic.add_report(message)
        return message, next_position

    def merge_reply(self, reply):
        """Merge the ``GossipReply`` of an aggregator."""
        source = cache_update_log.Source(reply.vm.vm_id, True)
        self._note_sender(reply, source)
        self._withdrawals.add(reply.withdrawn_digests)
        self._records.merge(reply.records, source)
        if reply.contact_age_ms >= 0:
            age = reply.contact_age_ms / 1000
            self._contact_at = max(self._contact_at, clocks.now() - age)
            self._store.record_contact(age)

    def is_cut_off(self):
        """Return whether a control VM may be cut off from others.

        It is without contact to a leader, and hears nothing of a control VM.
        While there is no leader, but all of them hear each other, it is not.
        """
        age = self.leader_contact_age()
        if age is None or age <= aggregator_contact.WITHOUT_CONTACT_SECONDS:
            return False
        now = clocks.now()
        return any(
            vm.has_disk and vm.is_silent(now) for vm in self._directory.vms()
        )

    def contact_age(self):
        """Return the age of the last contact with a leader that was told.

        It is infinite before the first one.
        """
        return clocks.now() - self._contact_at

    def merge_summary(self, message, reply):
        """Merge what an aggregator that this VM is a member of has summed.

        Args:
            message: the message that this VM had sent.
            reply: the ``GossipReply``.
        """
        self._directory.confirm_all_except(set(reply.silent_endpoints or ()))
        for topic in self._topics:
            topic.merge_summary(message, reply)

    def refreshed_endpoints(self):
        """Return announcements of the endpoints that announce to this VM."""
        now = clocks.now()
        return [
            gossip_records.endpoint_to_thrift(endpoint, now)
            for endpoint in self._directory.endpoints()
            if self._directory.announces_to_this_vm(endpoint)
        ]

    def announcements_of_members(self, since):
        """Return the announcements of endpoints that members told of lately.

        Args:
            since: time by ``clocks.now`` from which on it has come.
        """
        now = clocks.now()
        return [
            gossip_records.endpoint_to_thrift(endpoint, now)
            for endpoint in self._directory.refreshed_by_members(since)
        ]

    def _answer_member(self, message, reply):
        # A member that asks for all may have lost what it told of as well.
        wants_all = message.position is None

        def is_wanted(source):
            return wants_all or source.vm_id != message.vm.vm_id

        reply.records, reply.position = self._records.read(
            message.position, is_wanted, is_wanted
        )
        if not reply.accepted:
            return
        reply.silent_endpoints = [
            endpoint.id for endpoint in self._directory.silent_endpoints()
        ]
        reply.period_ms = int(1000 * self._member_period())
        for topic in self._topics:
            if topic.merge_member(message) and self._is_group_small():
                self._wake_peers()
                self._notify_members()
            topic.add_summary(reply, message)

    def _push_news(self, source):
        """Send news at once, but not back to where it came from."""
        if not source.is_aggregator:
            self._uplink.wake()
        self._wake_peers()
        self._notify_members()

    def _is_group_small(self):
        """Return whether this VM can afford to tell members of each change."""
        return self._member_period() == MIN_PERIOD_SECONDS

    def _notify_members(self):
        if self._is_aggregator and self._is_group_small():
            self._notifier.wake()

    def make_notification(self):
        """Return a message that makes a member ask for news."""
        return self._make_message(
            ttypes.SenderRole.BROADCASTER, ttypes.Records()
        )

    def _wake_peers(self):
        with self._lock:
            peers = list(self._peers_by_address.values())
        for peer in peers:
            peer.wake()

    def _member_period(self):
        period = len(self._directory.members()) * MEMBER_PERIOD_SECONDS
        return min(MAX_PERIOD_SECONDS, max(MIN_PERIOD_SECONDS, period))

    def _note_sender(self, message, source, is_member=False):
        vm = directories.vm_from_thrift(message.vm)
        with self._records.merging_from(source):
            self._directory.note_message(vm, message.version, is_member)
        if message.version > self._store.version:
            self.on_newer_version(vm.link_address, message.version)

    def _make_message(self, role, records):
        return ttypes.GossipMessage(
            directories.vm_to_thrift(self._directory.own_vm),
            self._store.version,
            self.fleet_id(),
            role,
            self._withdrawn_digests(),
            records,
        )

    def _make_reply(self):
        age = self._store.contact_age()
        leader_contact_age = self.leader_contact_age()
        reply = ttypes.GossipReply(
            directories.vm_to_thrift(self._directory.own_vm),
            self._store.version,
            self.fleet_id(),
            NO_CONTACT if age == float('inf') else int(1000 * age),
            self._withdrawn_digests(),
            True,
            ttypes.Records(),
        )
        if leader_contact_age is not None:
            reply.leader_contact_ms = int(1000 * leader_contact_age)
        return reply

    def _withdrawn_digests(self):
        committed = self._store.fleet.withdrawn_digests
        return sorted(self._withdrawals.to_gossip(committed))

    def _broadcast_records(self, record):
        strikes = [
            strike
            for strike in strike_messages.to_thrift(self._crash_suspects)
            if (strike.fingerprint, strike.crash) == record
        ]
        return ttypes.Records(strikes=strikes)

    def _check_peers(self):
        """Start and stop the exchange with aggregators as they change."""
        now = clocks.now()
        own_vm, vms = self._directory.own_vm, self._directory.vms()
        self._is_aggregator = topology.is_aggregator(own_vm, vms, now)
        self._directory.review_vms(self._is_aggregator)
        self._records.review(self._is_aggregator)
        wanted = set()
        has_no_uplink = topology.needs_no_uplink(own_vm, vms, now)
        if has_no_uplink and not self._stopped:
            wanted.update(
                topology.mesh_addresses(
                    own_vm, vms, self._directory.seeds, now
                )
            )
        with self._lock:
            for address in set(self._peers_by_address) - wanted:
                self._peers_by_address.pop(address).stop()
            started = [
                gossip_peers.AggregatorPeer(self, self._links.to(address))
                for address in wanted - set(self._peers_by_address)
            ]
            for peer in started:
                self._peers_by_address[peer.address] = peer
        for peer in started:
            peer.start()
