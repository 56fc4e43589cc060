"""Gossip between VMs, with one thread for each peer.

A message carries records of VMs, endpoints, withdrawn keys, crashes and
placements that the peer may lack, and those of further payload sources. The
reply carries withdrawn keys and records of the payload sources only.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from . import cache_update_messages
from . import directory as directories
from . import strike_messages

# Default time between two exchanges with a peer.
PERIOD_SECONDS = 0.5
# Minimum time between two announcements of an endpoint that differ only in
# load: if it announces itself to this VM, and if it does to another one.
REFRESH_PERIOD_SECONDS = 2.0
RELAY_PERIOD_SECONDS = 3.0
# Time between two messages with all VMs; new ones are sent at once.
VMS_PERIOD_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 1.0
# Bound of the strikes that are remembered as sent to a peer, greater than
# the number of strikes that are live at one time.
MAX_SENT_STRIKES = 20000


@dataclasses.dataclass(frozen=True)
class Periods:
    """Periods of the exchange with a peer, in seconds.

    Attributes:
        near_seconds: period for peers with which state has to agree closely.
        far_seconds: period for all others; changes are still sent at once.
        is_near: function that tells from a peer's thrift message whether
            ``near_seconds`` applies to the peer.
    """

    near_seconds: float = PERIOD_SECONDS
    far_seconds: float = PERIOD_SECONDS
    is_near: object = lambda message: True


class Gossip:
    """Exchanges VMs, endpoints, withdrawals and crashes with every peer.

    Changes are sent at once. Announcements of an endpoint that differ only
    in load are sent every ``REFRESH_PERIOD_SECONDS``. A failed call is
    repeated on a new connection.
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
        periods=None,
    ):
        """Prepare the exchange.

        Args:
            directory: the ``Directory``.
            withdrawals: the ``Withdrawals``.
            crash_suspects: the ``CrashSuspects``.
            prefix_cache_index: the ``PrefixCacheIndex``.
            store: the ``StateStore``.
            links: the ``Links``.
            topics: sources of further payload: objects with
                ``add_to_message(message, is_reply)``, which adds records to a
                thrift message, and ``merge_message(message)``, which merges
                those of a received message.
            periods: the ``Periods``.
        """
        self.periods = periods or Periods()
        self._topics = tuple(topics)
        self._directory = directory
        self._prefix_cache_index = prefix_cache_index
        self._withdrawals = withdrawals
        self._crash_suspects = crash_suspects
        self._store = store
        self._links = links
        self._lock = threading.Lock()
        self._peers_by_address = {}
        self._stopped = False
        self.fleet_id = lambda: ''
        self.on_newer_version = lambda address, version: None
        directory.on_endpoint_change(lambda endpoint: self.push())
        withdrawals.on_addition(lambda digests: self.push())
        crash_suspects.on_strike(lambda strikes: self.push())
        prefix_cache_index.on_new_prefix(self.push_near)

    def start(self, timer):
        """Start a thread for each peer, also for those found later.

        Args:
            timer: the ``Timer`` that triggers the search for new peers.
        """
        self._ensure_peers()
        timer.subscribe(PERIOD_SECONDS, self._ensure_peers)

    def stop(self):
        """Stop all threads."""
        self._stopped = True
        self.push()

    def push(self):
        """Start an exchange with all peers now, not at the next period."""
        with self._lock:
            peers = list(self._peers_by_address.values())
        for peer in peers:
            peer.wake()

    def push_near(self):
        """Start an exchange with the near peers now; see ``Periods``."""
        with self._lock:
            peers = list(self._peers_by_address.values())
        for peer in peers:
            if peer.is_near:
                peer.wake()

    def confirm(self, record, timeout):
        """Wait until all peers have acknowledged a record.

        Args:
            record: digest of a withdrawn key, or the (fingerprint, crash)
                pair of a strike.
            timeout: seconds to wait for all peers together.

        Returns:
            Addresses of the peers that have acknowledged it in time.
        """
        deadline = clocks.now() + timeout
        with self._lock:
            peers = dict(self._peers_by_address)
        confirmed = set()
        for address, peer in peers.items():
            wait = max(0.0, deadline - clocks.now())
            if peer.await_confirmed(record, wait):
                confirmed.add(address)
        return confirmed

    def receive(self, message):
        """Merge a peer's message and return the reply.

        Raises:
            LinkRefused: the peer belongs to another fleet.
        """
        if message.fleet_id and self.fleet_id():
            if message.fleet_id != self.fleet_id():
                raise errors.LinkRefused('the peer belongs to another fleet')
        self.merge(message, is_from_sender=True)
        # The reply carries no records that are tracked for each peer: the
        # thread of this VM that serves the peer sends those.
        return self.build_message((), (), (), (), is_reply=True)

    def merge(self, message, is_from_sender):
        """Merge the content of a message.

        Args:
            message: the thrift ``GossipMessage``.
            is_from_sender: whether the VM that it describes sent it.
        """
        sender = directories.vm_from_thrift(message.vm)
        self._directory.merge_vm(sender, is_from_sender, message.version)
        if is_from_sender:
            # A new peer gets its thread now instead of at the next period,
            # so that a VM that has just started gets all records at once.
            self._ensure_peers()
        if message.version > self._store.version:
            self.on_newer_version(sender.link_address, message.version)
        for vm in message.vms:
            self._directory.merge_vm(directories.vm_from_thrift(vm), False)
        now = clocks.now()
        for announcement in message.announcements:
            self._directory.merge_endpoint(
                endpoint_from_thrift(announcement, now)
            )
        self._withdrawals.add(message.withdrawn_digests)
        strike_messages.merge_thrift(self._crash_suspects, message.strikes)
        cache_update_messages.merge_thrift(
            self._prefix_cache_index, message.placements
        )
        for topic in self._topics:
            topic.merge_message(message)

    def build_message(
        self, endpoints, vms, placements, strikes, is_reply=False
    ):
        """Return a thrift message for a peer.

        Args:
            endpoints: ``Endpoint`` records that the peer lacks.
            vms: ``Vm`` records that the peer lacks.
            placements: ``CacheUpdate`` records that the peer lacks.
            strikes: thrift strikes that the peer lacks.
            is_reply: whether it is the reply to a message of the peer.
                Payload sources may leave records out of a reply, because
                this VM's own messages to the peer carry all of them.
        """
        now = clocks.now()
        directory = self._directory
        committed = self._store.fleet.withdrawn_digests
        message = ttypes.GossipMessage(
            directories.vm_to_thrift(directory.own_vm),
            self._store.version,
            [directories.vm_to_thrift(vm) for vm in vms],
            [endpoint_to_thrift(endpoint, now) for endpoint in endpoints],
            sorted(self._withdrawals.to_gossip(committed)),
            self.fleet_id(),
            list(strikes),
            cache_update_messages.to_thrift(placements),
        )
        for topic in self._topics:
            topic.add_to_message(message, is_reply)
        return message

    def strikes_except(self, known):
        """Return the live strikes as thrift, except some.

        Args:
            known: (fingerprint, crash) pairs that are left out.
        """
        return strike_messages.to_thrift(self._crash_suspects, known)

    def placements_since(self, position):
        """Return the ``LogPage`` of this VM's placements from a position."""
        return self._prefix_cache_index.log.read(position)

    @property
    def is_stopped(self):
        """Whether the threads have to stop."""
        return self._stopped

    @property
    def directory(self):
        """The ``Directory`` whose records are exchanged."""
        return self._directory

    def _ensure_peers(self):
        for address in self._directory.peer_addresses():
            with self._lock:
                if address in self._peers_by_address or self._stopped:
                    continue
                peer = Peer(self, self._links.to(address))
                self._peers_by_address[address] = peer
            peer.start()


class Peer(threading.Thread):
    """Thread that exchanges messages with one other VM.

    It remembers what the peer has acknowledged and sends only the rest.

    Attributes:
        is_near: whether the peer is a near one; see ``Periods``.
    """

    def __init__(self, gossip, link):
        super().__init__(name=f'gossip-{link.address}', daemon=True)
        self._gossip = gossip
        self._link = link
        self.is_near = True
        self._changed = threading.Condition()
        self._is_woken = False
        self._is_silent = False
        self._peer_incarnation = 0
        self._sent_by_endpoint = {}
        self._sent_vms = (frozenset(), 0.0)
        self._placement_position = 0
        self._confirmed = frozenset()
        self._sent_strikes = frozenset()

    def run(self):
        """Exchange messages every period until stopped."""
        while not self._gossip.is_stopped:
            self._exchange()
            with self._changed:
                self._changed.wait_for(lambda: self._is_woken, self._period())
                self._is_woken = False

    def _period(self):
        periods = self._gossip.periods
        return periods.near_seconds if self.is_near else periods.far_seconds

    def wake(self):
        """Start the next exchange now."""
        with self._changed:
            self._is_woken = True
            self._changed.notify_all()

    def await_confirmed(self, record, timeout):
        """Wait until the peer has acknowledged a record.

        Args:
            record: digest of a withdrawn key, or the (fingerprint, crash)
                pair of a strike.
            timeout: seconds to wait.

        Returns:
            Whether it has acknowledged the record.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: record in self._confirmed, timeout
            )

    def _exchange(self):
        due = self._due_endpoints()
        vms = self._due_vms()
        page = self._gossip.placements_since(self._placement_position)
        strikes = self._gossip.strikes_except(self._sent_strikes)
        message = self._gossip.build_message(due, vms, page.records, strikes)
        try:
            reply = self._link.call('gossip', message, CALL_TIMEOUT_SECONDS)
        except errors.LinkFailed as error:
            self._note_failure(error)
            return
        if self._is_silent:
            events.emit(events.VM_REGAINED, vm=reply.vm.vm_id)
        self._is_silent = False
        self.is_near = self._gossip.periods.is_near(reply)
        now = clocks.now()
        self._placement_position = page.next_position
        if reply.vm.incarnation != self._peer_incarnation:
            # The peer was restarted and has lost what it had acknowledged.
            self._peer_incarnation = reply.vm.incarnation
            self._sent_by_endpoint = {}
            self._sent_vms = (frozenset(), 0.0)
            self._placement_position = 0
            self._sent_strikes = frozenset()
            strikes = ()
            self._is_woken = True
        for endpoint in due:
            self._sent_by_endpoint[endpoint.id] = (endpoint, now)
        if vms:
            self._sent_vms = (frozenset(vm.id for vm in vms), now)
        self._note_sent_strikes(strikes)
        with self._changed:
            self._confirmed = (
                frozenset(message.withdrawn_digests) | self._sent_strikes
            )
            self._changed.notify_all()
        self._gossip.merge(reply, is_from_sender=True)

    def _note_sent_strikes(self, strikes):
        sent = {(strike.fingerprint, strike.crash) for strike in strikes}
        kept = self._sent_strikes
        if len(kept) > MAX_SENT_STRIKES:
            # They are all sent once more, which is idempotent.
            kept = frozenset()
        self._sent_strikes = kept | sent

    def _note_failure(self, error):
        if not self._is_silent:
            events.emit(events.VM_SILENT, reason=error.detail)
        self._is_silent = True

    def _due_endpoints(self):
        now = clocks.now()
        due = []
        for endpoint in self._gossip.directory.endpoints():
            sent, sent_at = self._sent_by_endpoint.get(
                endpoint.id, (None, 0.0)
            )
            if sent is not None and sent.order == endpoint.order:
                continue
            changed = sent is None or _must_send(sent, endpoint)
            period = REFRESH_PERIOD_SECONDS
            if not self._gossip.directory.announces_to_this_vm(endpoint):
                # The VM that the endpoint announces itself to sends the
                # record to the peer sooner, so this VM seldom has to.
                period = RELAY_PERIOD_SECONDS
            if changed or now - sent_at >= period:
                due.append(endpoint)
        return due

    def _due_vms(self):
        vms = self._gossip.directory.vms()[1:]
        sent_ids, sent_at = self._sent_vms
        is_known = {vm.id for vm in vms} <= sent_ids
        if is_known and clocks.now() - sent_at < VMS_PERIOD_SECONDS:
            return []
        return vms


def endpoint_from_thrift(announcement, now):
    """Return the ``Endpoint`` that a thrift announcement describes."""
    return directories.Endpoint(
        announcement.endpoint_id,
        announcement.incarnation,
        announcement.sequence,
        announcement.address,
        announcement.data_centre,
        announcement.pool,
        announcement.environment,
        announcement.weights_version or '',
        announcement.leaving,
        announcement.running,
        announcement.waiting,
        now - announcement.age_ms / 1000,
    )


def endpoint_to_thrift(endpoint, now):
    """Return the thrift announcement of an ``Endpoint``."""
    return ttypes.Announcement(
        endpoint.id,
        endpoint.incarnation,
        endpoint.sequence,
        endpoint.address,
        endpoint.data_centre,
        endpoint.pool,
        endpoint.environment,
        endpoint.weights_version,
        endpoint.leaving,
        endpoint.running,
        endpoint.waiting,
        int((now - endpoint.last_seen_at) * 1000),
    )


def _must_send(sent, endpoint):
    return (
        sent.incarnation != endpoint.incarnation
        or sent.leaving != endpoint.leaving
        or sent.weights_version != endpoint.weights_version
    )
