"""Work in flight on endpoints, from this VM and from the others.

Engines report their load late, so a VM counts what it has sent itself
and what the other entry VMs say that they have sent.
"""

import dataclasses
import threading

from carobwood import clocks

# Speed at which an engine reads prompts, for turning tokens into time.
READ_TOKENS_PER_SECOND = 40_000
# Time in which the weight of an older sample halves.
READING_HALF_LIFE = 1.5
# News of a VM that has fallen silent says nothing after this time.
PEER_NEWS_SECONDS = 1.5


@dataclasses.dataclass(frozen=True)
class Load:
    """Work in flight on an endpoint.

    Attributes:
        running: requests.
        memory_tokens: KV cache that they take beside shared parts.
        unread_tokens: prompt tokens that are still to be read.
        streams: requests whose output goes on for long.
    """

    running: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0
    streams: int = 0

    def after(self, seconds):
        """Return what is left of a load that was told a while ago."""
        read = int(seconds * READ_TOKENS_PER_SECOND)
        return dataclasses.replace(
            self, unread_tokens=max(0, self.unread_tokens - read)
        )

    def plus(self, other):
        """Return the sum of two loads."""
        return Load(
            self.running + other.running,
            self.memory_tokens + other.memory_tokens,
            self.unread_tokens + other.unread_tokens,
            self.streams + other.streams,
        )

    def minus(self, other):
        """Return the difference of two loads."""
        return Load(
            self.running - other.running,
            self.memory_tokens - other.memory_tokens,
            self.unread_tokens - other.unread_tokens,
            self.streams - other.streams,
        )


class Reservation:
    """Work of one request that is counted in on an endpoint.

    Each part is counted out once, whatever becomes of the request.
    """

    def __init__(self, loads, endpoint_id, load):
        self._loads = loads
        self._endpoint_id = endpoint_id
        self._load = load

    def note_read(self):
        """Count out the prompt, which has been read."""
        read = Load(0, 0, self._load.unread_tokens)
        self._load = self._load.minus(read)
        self._loads.remove(self._endpoint_id, read)

    def release(self):
        """Count out what is left."""
        left, self._load = self._load, Load()
        self._loads.remove(self._endpoint_id, left)


class FleetLoads:
    """Loads of all endpoints as this VM knows them."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._own_by_endpoint = {}
        self._peers_by_vm = {}

    def reserve(self, endpoint_id, load):
        """Count work in that is sent to an endpoint.

        Returns:
            The ``Reservation``, by which it is counted out.
        """
        with self._lock:
            held = self._own_by_endpoint.get(endpoint_id, Load())
            self._own_by_endpoint[endpoint_id] = held.plus(load)
        return Reservation(self, endpoint_id, load)

    def remove(self, endpoint_id, load):
        """Count work out; called by its ``Reservation``."""
        with self._lock:
            held = self._own_by_endpoint.get(endpoint_id, Load())
            left = held.minus(load)
            if left == Load():
                self._own_by_endpoint.pop(endpoint_id, None)
            else:
                self._own_by_endpoint[endpoint_id] = left

    def take_over(self, vm_id, loads_by_endpoint):
        """Replace what another VM has in flight."""
        with self._lock:
            self._peers_by_vm[vm_id] = (self._clock(), loads_by_endpoint)

    def news_age(self):
        """Return the seconds since the oldest news that still counts."""
        now = self._clock()
        with self._lock:
            ages = [
                now - heard_at for heard_at, _ in self._peers_by_vm.values()
            ]
        return max(
            (age for age in ages if age <= PEER_NEWS_SECONDS), default=0.0
        )

    def own(self):
        """Return this VM's loads by endpoint id."""
        with self._lock:
            return dict(self._own_by_endpoint)

    def total(self):
        """Return the loads of all VMs by endpoint id."""
        now = self._clock()
        with self._lock:
            totals = dict(self._own_by_endpoint)
            for heard_at, loads_by_endpoint in self._peers_by_vm.values():
                age = now - heard_at
                if age > PEER_NEWS_SECONDS:
                    continue
                for endpoint_id, load in loads_by_endpoint.items():
                    held = totals.get(endpoint_id, Load())
                    totals[endpoint_id] = held.plus(load.after(age))
        return totals


class ReadingShares:
    """Part of the time that each engine reads prompts, as seen lately.

    Each choice of an engine looks at all loads; requests arrive at random
    moments, so the looks are samples of the time.
    """

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._shares_by_endpoint = {}
        self._noted_at = clock()

    def note(self, loads_by_endpoint):
        """Take a sample of all loads."""
        now = self._clock()
        with self._lock:
            kept = 0.5 ** ((now - self._noted_at) / READING_HALF_LIFE)
            self._noted_at = now
            names = set(loads_by_endpoint) | set(self._shares_by_endpoint)
            for name in names:
                load = loads_by_endpoint.get(name, Load())
                reads = float(load.unread_tokens > 0)
                share = self._shares_by_endpoint.get(name, 0.0)
                share = reads + kept * (share - reads)
                self._shares_by_endpoint[name] = share

    def share(self, endpoint_id):
        """Return the part of the time that an engine reads."""
        return self._shares_by_endpoint.get(endpoint_id, 0.0)
