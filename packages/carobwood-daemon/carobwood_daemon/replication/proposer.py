"""Submits commands to the leader of the replicated log."""

import collections
import random
import threading
import time

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood import threads

from . import commands

# Threads that propose batches at the same time.
WORKER_COUNT = 4
MAX_BATCH_COMMANDS = 128
CALL_TIMEOUT_SECONDS = 2.0
# Bounds of the random pause before a batch is proposed again.
RETRY_MIN_SECONDS = 0.02
RETRY_MAX_SECONDS = 0.12
# VMs that are asked one after the other because the one before named them;
# then a random one is asked.
MAX_HINTS = 2


class _Submission:
    """A queued command and its result."""

    def __init__(self, command, deadline):
        self.payload = commands.encode(command)
        self.deadline = deadline
        self.result = None
        self.done = threading.Event()


class Proposer:
    """Submits commands to the leader in batches.

    Every command is idempotent (by operation id, claim id or digest), so
    a batch without a result is proposed again until its deadline.
    """

    def __init__(self, replica_runner, links, directory):
        """Create the proposer; ``start`` starts its threads.

        Args:
            replica_runner: the ``ReplicaRunner`` of this VM, or None if it
                has none.
            links: gives the links to other VMs.
            directory: knows the addresses of the VMs with a replica.
        """
        self._replica_runner = replica_runner
        self._links = links
        self._directory = directory
        # The leader as other VMs name it, unless the local replica does.
        self._leader_address = ''
        # What the local replica names although it was refused there. It may
        # know only a former leader.
        self._refused_hint = ''
        self._followed_hints = 0
        self._queue_changed = threading.Condition()
        self._submissions = collections.deque()
        self._stopped = False
        self._random = random.SystemRandom()

    def start(self):
        """Start the worker threads."""
        for number in range(WORKER_COUNT):
            threading.Thread(
                target=threads.repeat,
                args=(self._propose_next,),
                name=f'proposer-{number}',
                daemon=True,
            ).start()

    def stop(self):
        """Stop the worker threads; queued commands get no result."""
        with self._queue_changed:
            self._stopped = True
            self._queue_changed.notify_all()

    def submit(self, command, timeout):
        """Commit a command and return its ``Result``.

        Args:
            command: the ``Command``.
            timeout: seconds to wait for the result.

        Raises:
            ChangeUncertain: there was no result in time; the command may
                still be applied.
        """
        submission = _Submission(command, clocks.now() + timeout)
        with self._queue_changed:
            self._submissions.append(submission)
            self._queue_changed.notify()
        submission.done.wait(timeout)
        if submission.result is None:
            raise errors.ChangeUncertain('no quorum confirmed in time')
        return commands.decode_result(submission.result)

    def _propose_next(self):
        batch = self._next_batch()
        if batch is None:
            return False
        while batch and not self._try_batch(batch):
            time.sleep(
                self._random.uniform(RETRY_MIN_SECONDS, RETRY_MAX_SECONDS)
            )
            batch = self._not_expired(batch)
        return True

    def _next_batch(self):
        with self._queue_changed:
            while not self._submissions:
                if self._stopped:
                    return None
                self._queue_changed.wait()
            size = min(MAX_BATCH_COMMANDS, len(self._submissions))
            return [self._submissions.popleft() for _ in range(size)]

    def _not_expired(self, batch):
        now = clocks.now()
        if self._stopped:
            return []
        return [item for item in batch if item.deadline > now]

    def _try_batch(self, batch):
        payloads = [item.payload for item in batch]
        remaining = max(i.deadline for i in batch) - clocks.now()
        timeout = max(0.0, min(CALL_TIMEOUT_SECONDS, remaining))
        try:
            results = self._propose(payloads, timeout)
        except errors.CarobwoodError:
            return False
        for item, result in zip(batch, results):
            item.result = result
            item.done.set()
        return True

    def _propose(self, payloads, timeout):
        local_hint = ''
        if (
            self._replica_runner is not None
            and self._replica_runner.is_running
        ):
            try:
                return self._replica_runner.replica.propose(payloads, timeout)
            except errors.NotLeader as error:
                local_hint = error.leader_address
        address = self._choose_address(local_hint)
        request = ttypes.ProposeRequest(payloads, int(timeout * 1000))
        try:
            link = self._links.to(address)
            reply = link.call('propose', request, timeout + 0.5)
        except errors.LinkFailed:
            self._note_refusal(address, local_hint, '')
            raise
        if reply.status == ttypes.ProposeStatus.COMMITTED:
            self._note_leader(address, local_hint)
            return reply.results
        if reply.status == ttypes.ProposeStatus.UNCERTAIN:
            self._leader_address = ''
            raise errors.ChangeUncertain('the leader did not commit in time')
        leader_address = reply.leader_address or ''
        self._note_refusal(address, local_hint, leader_address)
        raise errors.NotLeader(leader_address)

    def _choose_address(self, local_hint):
        if local_hint != self._refused_hint:
            self._refused_hint = ''
            if local_hint:
                return local_hint
        # VMs that know no better may name each other.
        if self._leader_address and self._followed_hints < MAX_HINTS:
            self._followed_hints += 1
            return self._leader_address
        self._followed_hints = 0
        return self._random_disk_address()

    def _note_leader(self, address, local_hint):
        self._followed_hints = 0
        self._leader_address = '' if address == local_hint else address
        if address == self._refused_hint:
            self._refused_hint = ''

    def _note_refusal(self, address, local_hint, leader_address):
        self._leader_address = leader_address
        if address == local_hint:
            self._refused_hint = local_hint

    def _random_disk_address(self):
        addresses = self._directory.disk_addresses()
        if not addresses:
            raise errors.NotLeader('')
        return self._random.choice(addresses)
