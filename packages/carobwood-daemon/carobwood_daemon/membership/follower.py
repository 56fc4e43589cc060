"""Follows the committed state by long polls to other VMs."""

import queue
import random
import threading

from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

POLL_SECONDS = 2.0
CATCH_UP_TIMEOUT = 1.0
RETRY_SECONDS = 0.2
STALE_CONTACT = 3.0


class Follower:
    """Keeps the store at the highest version that any VM holds.

    At start all peers are asked at once. Then one source is polled at a
    time, VMs with a disk first; a source that fails or that has itself
    lost the leader is left for another.
    """

    def __init__(self, store, directory, links, is_member):
        self._store = store
        self._directory = directory
        self._links = links
        self._is_member = is_member
        self._random = random.SystemRandom()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='follower', daemon=True
        )

    def start(self):
        """Start following."""
        self._thread.start()

    def stop(self):
        """End the thread at its next step."""
        self._stopped.set()

    def catch_up(self, timeout=CATCH_UP_TIMEOUT):
        """Ask all peers at once and take the highest version.

        Returns:
            Whether any peer answered within ``timeout`` seconds.
        """
        addresses = self._directory.peer_addresses()
        replies = queue.Queue()
        for address in addresses:
            threading.Thread(
                target=self._ask,
                args=(address, replies),
                name='catch-up',
                daemon=True,
            ).start()
        answered = False
        for _ in addresses:
            try:
                reply = replies.get(timeout=timeout)
            except queue.Empty:
                break
            if reply is not None:
                answered = True
                self._take(reply)
        return answered

    def _ask(self, address, replies):
        try:
            replies.put(self._poll(address, 0.0))
        except errors.LinkFailed:
            replies.put(None)

    def _run(self):
        self.catch_up()
        while not self._stopped.is_set():
            if self._is_member():
                self._stopped.wait(RETRY_SECONDS)
                continue
            address = self._choose_source()
            if address is None or not self._follow(address):
                self._stopped.wait(RETRY_SECONDS)

    def _choose_source(self):
        addresses = self._directory.disk_addresses()
        if self._store.contact_age() > STALE_CONTACT:
            addresses = self._directory.peer_addresses()
        own = self._directory.own_vm.link_address
        addresses = [a for a in addresses if a != own]
        return self._random.choice(addresses) if addresses else None

    def _follow(self, address):
        while not self._stopped.is_set() and not self._is_member():
            try:
                reply = self._poll(address, POLL_SECONDS)
            except errors.LinkFailed:
                return False
            self._take(reply)
            # Two VMs without contact must not follow only each other.
            if not 0 <= reply.contact_age_ms <= STALE_CONTACT * 1000:
                return False
        return True

    def _poll(self, address, wait):
        request = ttypes.FollowRequest(self._store.version, int(wait * 1000))
        link = self._links.to(address)
        return link.call('follow', request, wait + CATCH_UP_TIMEOUT)

    def _take(self, reply):
        before = self._store.version
        if reply.snapshot:
            self._store.offer_snapshot(reply.snapshot)
        if reply.commands:
            self._store.offer_deltas(
                [(c.version, c.payload) for c in reply.commands]
            )
        if reply.contact_age_ms >= 0:
            self._store.note_contact(reply.contact_age_ms / 1000)
        if self._store.version > before:
            events.emit(events.VERSION_FOLLOWED, version=self._store.version)
