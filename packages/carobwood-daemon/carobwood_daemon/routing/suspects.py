"""Requests that may have crashed the endpoints that ran them.

A crash of an endpoint is a strike against every request in flight on it.
A request with one strike runs again apart from other suspects, at a
place that every VM chooses alike; with two strikes it is refused for a
while. So one request costs the fleet at most two endpoints, and what ran
beside it gets its answer.
"""

import collections
import threading
import time

from carobwood import errors
from carobwood import events

MAX_STRIKES = 2
STRIKE_LIFETIME = 120.0
MAX_FINGERPRINTS = 10000


class Suspects:
    """Strikes against fingerprints of requests, spread by gossip."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._changed = threading.Condition()
        self._strikes_by_fingerprint = collections.OrderedDict()
        self._running_by_endpoint = collections.defaultdict(
            collections.Counter
        )
        self._listeners = []

    def on_strike(self, listener):
        """Call ``listener(strikes)`` with each set of new strikes."""
        self._listeners.append(listener)

    def check(self, fingerprint):
        """Refuse a request that has crashed endpoints.

        Raises:
            RequestCrashesEndpoints: it has two strikes.
        """
        strikes = self._live_strikes(fingerprint)
        if len(strikes) < MAX_STRIKES:
            return
        oldest = min(strikes.values())
        retry_after = max(1.0, oldest + STRIKE_LIFETIME - self._clock())
        raise errors.RequestCrashesEndpoints(
            'endpoints crashed while they ran this request', retry_after
        )

    def is_suspect(self, fingerprint):
        """Tell whether a request has a strike."""
        return bool(self._live_strikes(fingerprint))

    def enter(self, endpoint, fingerprint):
        """Note that a request runs on an endpoint."""
        with self._changed:
            key = (endpoint.id, endpoint.incarnation)
            self._running_by_endpoint[key][fingerprint] += 1

    def leave(self, endpoint, fingerprint):
        """Note that a request no longer runs on an endpoint."""
        key = (endpoint.id, endpoint.incarnation)
        with self._changed:
            running = self._running_by_endpoint[key]
            running[fingerprint] -= 1
            if running[fingerprint] <= 0:
                del running[fingerprint]
            if not running:
                del self._running_by_endpoint[key]

    def clear(self, fingerprint):
        """Forget the strikes of a request that was answered."""
        with self._changed:
            known = self._strikes_by_fingerprint.get(fingerprint)
            if known:
                # Kept as expired, so that a peer's news of the same crash
                # does not bring the strike back.
                for crash in known:
                    known[crash] = float('-inf')

    def note_crash(self, endpoint):
        """Strike every request that runs on a crashed endpoint.

        Returns:
            The (fingerprint, crash) pairs that were new.
        """
        key = (endpoint.id, endpoint.incarnation)
        crash = f'{endpoint.id}/{endpoint.incarnation}'
        with self._changed:
            running = list(self._running_by_endpoint.get(key, ()))
        now = self._clock()
        return self.merge({(name, crash): now for name in running})

    def merge(self, strikes):
        """Merge strikes by (fingerprint, crash) with their times.

        Returns:
            The pairs that were new.
        """
        fresh = set()
        with self._changed:
            for (fingerprint, crash), struck_at in strikes.items():
                known = self._strikes_by_fingerprint.setdefault(
                    fingerprint, {}
                )
                if crash not in known:
                    known[crash] = struck_at
                    fresh.add((fingerprint, crash))
            while len(self._strikes_by_fingerprint) > MAX_FINGERPRINTS:
                self._strikes_by_fingerprint.popitem(last=False)
        if fresh:
            events.emit(
                events.REQUEST_SUSPECTED,
                strikes=[f'{name[:16]} {crash}' for name, crash in fresh],
            )
            for listener in self._listeners:
                listener(fresh)
        return fresh

    def strikes_of(self, fingerprint):
        """Return the live (fingerprint, crash) pairs of a request."""
        return {(fingerprint, c) for c in self._live_strikes(fingerprint)}

    def strikes(self):
        """Return the live strikes by (fingerprint, crash)."""
        limit = self._clock() - STRIKE_LIFETIME
        with self._changed:
            return {
                (fingerprint, crash): struck_at
                for fingerprint, known in self._strikes_by_fingerprint.items()
                for crash, struck_at in known.items()
                if struck_at > limit
            }

    def _live_strikes(self, fingerprint):
        limit = self._clock() - STRIKE_LIFETIME
        with self._changed:
            known = self._strikes_by_fingerprint.get(fingerprint, {})
            return {c: at for c, at in known.items() if at > limit}
