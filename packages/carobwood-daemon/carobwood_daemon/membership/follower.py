"""Follows the committed state by long polls to other VMs."""

import queue
import random
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

POLL_SECONDS = 1.0
CATCH_UP_TIMEOUT = 1.0
# Time beyond a poll's wait after which its source counts as lost.
SOURCE_TIMEOUT = 0.5
# Time in which a poll that runs brings what gossip has announced.
HINT_GRACE = 0.05
RETRY_SECONDS = 0.2
STALE_CONTACT = 3.0
# A VM that knows nothing yet serves nobody, so it asks again soon, and a
# few VMs at a time, as all of them may start at once.
FIRST_RETRY_SECONDS = 0.1
FIRST_ANSWER_SECONDS = 0.2
FIRST_SOURCES = 3
# After that the fleet is taken for new, and there is nothing to know.
FIRST_SECONDS = 6.0


class Follower:
    """Keeps the store at the highest version that any VM holds.

    At start all peers are asked at once. Then one source is polled at a
    time, VMs with a disk first; a source that fails or that has itself
    lost the leader is left for another. A VM that is heard to hold a
    newer version is asked for it apart from the polls, so that a source
    that has fallen silent delays nothing.
    """

    def __init__(self, store, directory, links, is_member):
        self._store = store
        self._directory = directory
        self._links = links
        self._is_member = is_member
        self._random = random.SystemRandom()
        self._stopped = threading.Event()
        self._is_source_lost = False
        self._hinted = threading.Condition()
        self._hint = None
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for target, name in (
                (self._run, 'follower'),
                (self._run_hints, 'follower-hints'),
            )
        ]

    def start(self):
        """Start following."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """End the threads at their next step."""
        self._stopped.set()
        with self._hinted:
            self._hinted.notify_all()

    def note_newer(self, address, version):
        """Ask a VM for a version that it is heard to hold.

        Args:
            address: link address of the VM.
            version: the version that it names.
        """
        with self._hinted:
            if self._hint is None or self._hint[1] < version:
                self._hint = (address, version)
                self._hinted.notify_all()

    def catch_up(self, timeout=CATCH_UP_TIMEOUT):
        """Ask all peers at once and take the highest version.

        Returns:
            Whether any peer answered within ``timeout`` seconds.
        """
        return self._ask_all(self._directory.peer_addresses(), timeout)

    def _ask_all(self, addresses, timeout):
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
        self._learn_first()
        while not self._stopped.is_set():
            if self._is_member():
                self._stopped.wait(RETRY_SECONDS)
                continue
            address = self._choose_source()
            if address is None or not self._follow(address):
                self._stopped.wait(RETRY_SECONDS)

    def _learn_first(self):
        ends_at = clocks.now() + FIRST_SECONDS
        self.catch_up(FIRST_ANSWER_SECONDS)
        while not self._store.version and clocks.now() < ends_at:
            if self._stopped.wait(FIRST_RETRY_SECONDS) or self._is_member():
                return
            addresses = self._directory.peer_addresses()
            count = min(FIRST_SOURCES, len(addresses))
            chosen = self._random.sample(addresses, count)
            self._ask_all(chosen, FIRST_ANSWER_SECONDS)

    def _run_hints(self):
        while not self._stopped.is_set():
            with self._hinted:
                self._hinted.wait_for(
                    lambda: self._hint or self._stopped.is_set()
                )
                if self._stopped.is_set():
                    return
                (address, version), self._hint = self._hint, None
            self._stopped.wait(HINT_GRACE)
            if self._store.version >= version:
                continue
            try:
                self._take(self._poll(address, 0.0))
            except errors.LinkFailed as error:
                events.emit(
                    events.SOURCE_LOST, address=address, reason=error.detail
                )

    def _choose_source(self):
        addresses = self._directory.heard_disk_addresses()
        if self._store.contact_age() > STALE_CONTACT:
            addresses = self._directory.peer_addresses()
        own = self._directory.own_vm.link_address
        addresses = [a for a in addresses if a != own]
        return self._random.choice(addresses) if addresses else None

    def _follow(self, address):
        while not self._stopped.is_set() and not self._is_member():
            try:
                reply = self._poll(address, POLL_SECONDS)
            except errors.LinkFailed as error:
                self._is_source_lost = True
                events.emit(
                    events.SOURCE_LOST, address=address, reason=error.detail
                )
                return False
            if self._is_source_lost:
                self._is_source_lost = False
                events.emit(events.SOURCE_REGAINED, address=address)
            self._take(reply)
            # Two VMs without contact must not follow only each other.
            if not 0 <= reply.contact_age_ms <= STALE_CONTACT * 1000:
                return False
        return True

    def _poll(self, address, wait):
        request = ttypes.FollowRequest(self._store.version, int(wait * 1000))
        link = self._links.to(address)
        timeout = wait + SOURCE_TIMEOUT if wait else CATCH_UP_TIMEOUT
        return link.call('follow', request, timeout)

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
