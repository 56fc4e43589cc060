"""Simulation of many VMs that return to an engine that had asked for none.

Time is simulated. Each VM has requests for the engine all the time.
"""

import random

import relay_builders as builders

from carobwood_daemon.relay import endpoint_availability
from carobwood_daemon.relay import messages

TICK_SECONDS = 0.02
# Time from a request to the head of its answer.
ANSWER_SECONDS = 0.2


class ReturnSimulation:
    """VMs that an engine has rejected at the same moment.

    Attributes:
        received: times of the requests after the rejection.
        rejecting_until: time until which the engine rejects requests.
    """

    def __init__(self, vm_count, asked_seconds, seed=1):
        """Reject one request of each VM.

        Args:
            vm_count: number of entry VMs.
            asked_seconds: time for which the engine asks for no requests.
            seed: seed of the spread.
        """
        source = random.Random(seed)
        self.clock = builders.Clock()
        self.received = []
        self.rejecting_until = self.clock.now
        self._asked_seconds = asked_seconds
        self._endpoint = builders.endpoint()
        self._answers = []
        self._tables = [
            endpoint_availability.EndpointAvailability(
                self.clock,
                lambda limit: source.uniform(0.0, limit),
                lambda: vm_count,
            )
            for _ in range(vm_count)
        ]
        for table in self._tables:
            table.note_head(self._endpoint, self._rejection())

    def run(self, seconds):
        """Let each VM send a request in each tick if it may."""
        for _ in range(round(seconds / TICK_SECONDS)):
            now = self.clock.now
            while self._answers and self._answers[0][0] <= now:
                _, table, head = self._answers.pop(0)
                table.note_head(self._endpoint, head)
            for table in self._tables:
                if table.acquire(self._endpoint):
                    self._send(table)
            self.clock.advance(TICK_SECONDS)

    def most_in_a_second(self):
        """Return the most requests within any second."""
        return max(
            sum(1 for at in self.received if start <= at < start + 1.0)
            for start in self.received
        )

    def _send(self, table):
        now = self.clock.now
        self.received.append(now)
        head = builders.response_head()
        if now < self.rejecting_until:
            head = self._rejection()
        self._answers.append((now + ANSWER_SECONDS, table, head))

    def _rejection(self):
        return builders.response_head(
            503, retry_after=messages.RetryAfter(self._asked_seconds)
        )
