"""Fetches the committed state from other VMs by long polls.

This is done while Raft does not replicate the state to this VM.
"""

import queue
import random
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes
from carobwood import threads

LONG_POLL_SECONDS = 1.0
CATCH_UP_TIMEOUT_SECONDS = 1.0
# Added to the wait of a long poll for the timeout of its call.
TIMEOUT_MARGIN_SECONDS = 0.5
# Delay before a version that gossip reports is fetched; the long poll in
# progress usually delivers it by then.
HINT_DELAY_SECONDS = 0.05
RETRY_SECONDS = 0.2
# VMs that are polled at once in the search for a source, and the time for
# which each further reply is awaited.
SEARCH_SOURCES = 3
SEARCH_REPLY_SECONDS = 0.2
# Time between two searches. While the fleet has no leader, all VMs search.
SEARCH_PERIOD_SECONDS = 0.5
# Age of a source's last contact above which it is not long-polled.
SOURCE_CONTACT_SECONDS = 1.0
# Age of the last contact with a leader above which a VM counts as cut off
# from it.
STALE_CONTACT_SECONDS = 3.0
# Age of the last contact that gossip has brought, up to which it keeps this
# VM informed of newer versions, so that it does not poll.
GOSSIP_CONTACT_SECONDS = 1.0
# A VM that has no state yet cannot serve requests, so it retries soon. It
# polls only a few VMs at a time, because all VMs may start at once.
BOOTSTRAP_RETRY_SECONDS = 0.1
BOOTSTRAP_REPLY_SECONDS = 0.2
BOOTSTRAP_SOURCES = 3
# After this time without any state the fleet is taken for a new one, which
# has no state yet.
BOOTSTRAP_SECONDS = 6.0


class StatePoller:
    """Keeps the store at the highest version that any VM holds.

    At start, all peers are polled at once. After that, gossip reports when
    a VM holds a newer version, and a thread fetches it from there. While
    gossip brings no contact with the leader, as when the aggregator of this
    VM is cut off from it, a second thread polls a few VMs with a data folder
    at once and then long-polls the one that had contact last, until that
    fails or has lost contact, too. It does not rely on which VMs seem to be
    alive, as the aggregator tells that.
    """

    def __init__(
        self, store, directory, links, is_member, gossip_contact_age=None
    ):
        """Prepare the threads.

        Args:
            store: the ``StateStore``.
            directory: the ``Directory``.
            links: the ``Links``.
            is_member: function that returns whether Raft replicates the
                state to this VM.
            gossip_contact_age: function that returns the age of the last
                contact with a leader of which gossip told, or None for any
                contact.
        """
        self._gossip_contact_age = gossip_contact_age or store.contact_age
        # The source that is long-polled.
        self._source = None
        self._store = store
        self._directory = directory
        self._links = links
        self._is_member = is_member
        self._random = random.SystemRandom()
        self._stopped = threading.Event()
        self._is_source_lost = False
        self._is_bootstrapped = False
        self._hinted = threading.Condition()
        self._hint = None
        self._threads = [
            threads.BoundedThread(
                target=threads.repeat, args=(step,), name=name, daemon=True
            )
            for step, name in (
                (self._follow_next, 'follower'),
                (self._fetch_next_hint, 'follower-hints'),
            )
        ]

    def start(self):
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop the threads at their next step."""
        self._stopped.set()
        with self._hinted:
            self._hinted.notify_all()

    def fetch_newer(self, address, version):
        """Fetch a version that a VM reports to hold, if it is newer.

        Args:
            address: link address of the VM.
            version: the version that it reports.
        """
        with self._hinted:
            if self._hint is None or self._hint[1] < version:
                self._hint = (address, version)
                self._hinted.notify_all()

    def catch_up(self, timeout=CATCH_UP_TIMEOUT_SECONDS):
        """Poll all peers at once and apply the highest version.

        Returns:
            Whether any peer answered within ``timeout`` seconds.
        """
        return bool(self._poll_all(self._directory.peer_addresses(), timeout))

    def _poll_all(self, addresses, timeout):
        """Poll VMs at once and apply the replies.

        Returns:
            (address, reply) pairs of those that answered.
        """
        replies = queue.Queue()
        for address in addresses:
            threads.BoundedThread(
                target=self._poll_into,
                args=(address, replies),
                name='catch-up',
                daemon=True,
            ).start()
        answered = []
        for _ in addresses:
            try:
                address, reply = replies.get(timeout=timeout)
            except queue.Empty:
                break
            if reply is not None and self._is_applied(address, reply):
                answered.append((address, reply))
        return answered

    def _is_applied(self, address, reply):
        """Apply a reply; return whether it could be read."""
        try:
            self._apply(reply)
        except errors.LinkFailed as error:
            events.emit(
                events.SOURCE_LOST, address=address, reason=error.detail
            )
            return False
        return True

    def _poll_into(self, address, replies):
        try:
            replies.put((address, self._poll(address, 0.0)))
        except errors.LinkFailed:
            replies.put((address, None))

    def _follow_next(self):
        if self._stopped.is_set():
            return False
        if not self._is_bootstrapped:
            self._bootstrap()
            self._is_bootstrapped = True
        elif self._is_member() or self._is_informed():
            self._source = None
            self._stopped.wait(RETRY_SECONDS)
        else:
            self._follow_source()
        return True

    def _follow_source(self):
        if self._source is None:
            self._source = self._find_source()
        if self._source is None:
            self._stopped.wait(SEARCH_PERIOD_SECONDS)
        elif not self._follow(self._source):
            self._source = None
            self._stopped.wait(RETRY_SECONDS)

    def _is_informed(self):
        return self._gossip_contact_age() < GOSSIP_CONTACT_SECONDS

    def _bootstrap(self):
        ends_at = clocks.now() + BOOTSTRAP_SECONDS
        self.catch_up(BOOTSTRAP_REPLY_SECONDS)
        while not self._store.version and clocks.now() < ends_at:
            if (
                self._stopped.wait(BOOTSTRAP_RETRY_SECONDS)
                or self._is_member()
                or self._is_informed()
            ):
                return
            addresses = self._directory.peer_addresses()
            count = min(BOOTSTRAP_SOURCES, len(addresses))
            sources = self._random.sample(addresses, count)
            self._poll_all(sources, BOOTSTRAP_REPLY_SECONDS)

    def _fetch_next_hint(self):
        with self._hinted:
            self._hinted.wait_for(lambda: self._hint or self._stopped.is_set())
            if self._stopped.is_set():
                return False
            (address, version), self._hint = self._hint, None
        self._stopped.wait(HINT_DELAY_SECONDS)
        if self._store.version >= version:
            return True
        try:
            self._apply(self._poll(address, 0.0))
        except errors.LinkFailed as error:
            events.emit(
                events.SOURCE_LOST, address=address, reason=error.detail
            )
        return True

    def _find_source(self):
        """Poll a few VMs at once and apply what they hold.

        Returns:
            Address of the VM that had contact with a leader last, or None if
            none had lately.
        """
        addresses = self._directory.disk_addresses()
        if self._store.contact_age() > STALE_CONTACT_SECONDS:
            addresses = self._directory.peer_addresses()
        own = self._directory.own_vm.link_address
        addresses = [a for a in addresses if a != own]
        count = min(SEARCH_SOURCES, len(addresses))
        replies = self._poll_all(
            self._random.sample(addresses, count), SEARCH_REPLY_SECONDS
        )
        contacts = [
            (reply.contact_age_ms, address)
            for address, reply in replies
            if _has_contact(reply)
        ]
        return min(contacts)[1] if contacts else None

    def _follow(self, address):
        """Long-poll a VM once.

        Returns:
            Whether it answered and has had contact with a leader lately.
        """
        try:
            reply = self._poll(address, LONG_POLL_SECONDS)
            self._apply(reply)
        except errors.LinkFailed as error:
            self._is_source_lost = True
            events.emit(
                events.SOURCE_LOST, address=address, reason=error.detail
            )
            return False
        if self._is_source_lost:
            self._is_source_lost = False
            events.emit(events.SOURCE_REGAINED, address=address)
        # Two VMs without contact to a leader must not go on polling
        # only each other.
        return _has_contact(reply)

    def _poll(self, address, wait):
        request = ttypes.FollowRequest(self._store.version, int(wait * 1000))
        link = self._links.to(address)
        timeout = (
            wait + TIMEOUT_MARGIN_SECONDS if wait else CATCH_UP_TIMEOUT_SECONDS
        )
        return link.call('follow', request, timeout)

    def _apply(self, reply):
        """Take over what a VM has sent.

        Raises:
            LinkFailed: its snapshot cannot be read.
        """
        before = self._store.version
        if reply.snapshot:
            self._update_by_snapshot(reply.snapshot)
        if reply.commands:
            self._store.update_by_deltas(
                [(c.version, c.payload) for c in reply.commands]
            )
        if reply.contact_age_ms >= 0:
            self._store.record_contact(reply.contact_age_ms / 1000)
        if self._store.version > before:
            events.emit(events.VERSION_FOLLOWED, version=self._store.version)

    def _update_by_snapshot(self, data):
        try:
            self._store.update_by_snapshot(data)
        except errors.LogDamaged as error:
            raise errors.LinkFailed(error.detail) from error


def _has_contact(reply):
    """Return whether the VM has had contact with a leader lately."""
    return 0 <= reply.contact_age_ms <= SOURCE_CONTACT_SECONDS * 1000
