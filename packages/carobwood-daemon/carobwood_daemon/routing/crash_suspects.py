"""Detection of requests that crash the endpoints that run them.

When an endpoint crashes, every request in flight on it gets a strike. A
request with one strike is a suspect: it is retried on an endpoint that runs
no other suspect and that all VMs select alike. A request with
``MAX_STRIKES`` strikes is refused until the oldest of them expires. Thus a
request crashes at most two endpoints of the fleet, and the other requests
that were in flight on them are still answered.

Requests are identified by fingerprints, and crashes by the id and
incarnation of the endpoint. The table also holds the strikes of prompt
segments, see ``segment_suspects``.
"""

import collections
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

MAX_STRIKES = 2
STRIKE_LIFETIME_SECONDS = 120.0
MAX_FINGERPRINTS = 10000
# Prefix of the fingerprints of prompt segments.
SEGMENT_PREFIX = 'segment/'
# Longer than the delay of a trial, so that a trial that crashes an endpoint
# adds to the strikes that led to it.
SEGMENT_STRIKE_LIFETIME_SECONDS = 1800.0
# Prefix of a crash that an answer has voided for a segment.
VOID_PREFIX = 'answered/'


class CrashSuspects:
    """Strikes by request fingerprint, which gossip replicates to all VMs."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Condition()
        self._strikes_by_fingerprint = collections.OrderedDict()
        self._running_by_endpoint = collections.defaultdict(
            collections.Counter
        )
        self._listeners = []

    def on_strike(self, listener):
        """Call ``listener(strikes)`` for each set of new strikes.

        Args:
            listener: function of a set of (fingerprint, crash) pairs.
        """
        self._listeners.append(listener)

    def refuse_if_crashing(self, fingerprint):
        """Refuse a request that has reached the maximum of strikes.

        Raises:
            RequestCrashesEndpoints: the request has ``MAX_STRIKES`` strikes.
        """
        strikes = self._unexpired_strikes(fingerprint)
        if len(strikes) < MAX_STRIKES:
            return
        oldest = min(strikes.values())
        retry_after = max(
            1.0, oldest + STRIKE_LIFETIME_SECONDS - self._clock()
        )
        raise errors.RequestCrashesEndpoints(
            'several endpoints crashed while running this request', retry_after
        )

    def is_suspect(self, fingerprint):
        """Return whether a request has at least one unexpired strike."""
        return bool(self._unexpired_strikes(fingerprint))

    def add_running(self, endpoint, fingerprint):
        """Record that a request is in flight on an endpoint."""
        with self._lock:
            key = (endpoint.id, endpoint.incarnation)
            self._running_by_endpoint[key][fingerprint] += 1

    def remove_running(self, endpoint, fingerprint):
        """Record that a request is no longer in flight on an endpoint."""
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            running = self._running_by_endpoint[key]
            running[fingerprint] -= 1
            if running[fingerprint] <= 0:
                del running[fingerprint]
            if not running:
                del self._running_by_endpoint[key]

    def expire_strikes(self, fingerprint):
        """Expire the strikes of a request that was answered completely."""
        with self._lock:
            strikes = self._strikes_by_fingerprint.get(fingerprint)
            if strikes:
                # The entries stay in the table, so that a later gossip
                # message about the same crash does not add the strike again.
                for crash in strikes:
                    strikes[crash] = float('-inf')

    def record_crash(self, endpoint):
        """Add a strike to every request in flight on a crashed endpoint.

        Returns:
            Set of the (fingerprint, crash) pairs that were new.
        """
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            running = list(self._running_by_endpoint.get(key, ()))
        return self.add_strikes(endpoint, running)

    def add_strikes(self, endpoint, fingerprints):
        """Add a strike to some requests that ran on a crashed endpoint.

        Returns:
            Set of the (fingerprint, crash) pairs that were new.
        """
        crash = f'{endpoint.id}/{endpoint.incarnation}'
        now = self._clock()
        return self.merge(
            {(fingerprint, crash): now for fingerprint in fingerprints}
        )

    def merge(self, strikes):
        """Add strikes of this VM or of other VMs.

        Args:
            strikes: time of each strike on the monotonic clock, by
                (fingerprint, crash) pair.

        Returns:
            Set of the pairs that were new.
        """
        added = set()
        with self._lock:
            for (fingerprint, crash), struck_at in strikes.items():
                known = self._strikes_by_fingerprint.setdefault(
                    fingerprint, {}
                )
                if crash not in known:
                    known[crash] = struck_at
                    added.add((fingerprint, crash))
            while len(self._strikes_by_fingerprint) > MAX_FINGERPRINTS:
                self._strikes_by_fingerprint.popitem(last=False)
        if added:
            events.emit(
                events.REQUEST_SUSPECTED,
                strikes=[
                    f'{fingerprint[:16]} {crash}'
                    for fingerprint, crash in added
                    if not crash.startswith(VOID_PREFIX)
                ],
            )
            for listener in self._listeners:
                listener(added)
        return added

    def unexpired_strikes(self, fingerprint):
        """Return the unexpired (fingerprint, crash) pairs of a request."""
        return {
            (fingerprint, crash)
            for crash in self._unexpired_strikes(fingerprint)
        }

    def strikes(self):
        """Return the times of all unexpired strikes.

        Returns:
            Dict from (fingerprint, crash) pairs to times on the monotonic
            clock.
        """
        now = self._clock()
        with self._lock:
            return {
                (fingerprint, crash): struck_at
                for fingerprint, known in self._strikes_by_fingerprint.items()
                for crash, struck_at in known.items()
                if struck_at > now - _lifetime(fingerprint)
            }

    def _unexpired_strikes(self, fingerprint):
        expiry_limit = self._clock() - _lifetime(fingerprint)
        with self._lock:
            known = self._strikes_by_fingerprint.get(fingerprint, {})
            return {
                crash: struck_at
                for crash, struck_at in known.items()
                if struck_at > expiry_limit
            }


def _lifetime(fingerprint):
    """Return the seconds after which strikes expire."""
    if fingerprint.startswith(SEGMENT_PREFIX):
        return SEGMENT_STRIKE_LIFETIME_SECONDS
    return STRIKE_LIFETIME_SECONDS
