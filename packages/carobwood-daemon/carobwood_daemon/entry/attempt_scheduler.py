"""Starts the attempts of a request, each on the best engine left."""

import time

from carobwood import errors

from ..routing import admission
from ..routing import rendezvous

from . import engine_attempt


class AttemptScheduler:
    """Starts the attempts of one request, once engines admit it.

    Attributes:
        prepared: the ``PreparedRequest``; it has a prompt for each weights
            version that may serve the request.
    """

    def __init__(self, context, exchange, route, prepared):
        self.prepared = prepared
        self._context = context
        self._exchange = exchange
        self._deadline_seconds = route.deadline_seconds
        customer = exchange.caller.customer
        self._turn = admission.FairQueueEntry(
            customer.id,
            customer.rate_tokens_per_second,
            route.priority,
            time.monotonic() + route.deadline_seconds,
        )

    @property
    def seconds_left(self):
        """Seconds until the deadline for the start of the response."""
        return self._turn.due_at - time.monotonic()

    def start_next_attempt(self, tried_ids):
        """Wait for admission to the best engine and start an attempt on it.

        A suspect, which is a request that may have crashed an engine,
        waits for exclusive access to an engine instead.

        Args:
            tried_ids: ids of engines to exclude; the id of the selected
                engine is added.

        Returns:
            The started ``EngineAttempt``.

        Raises:
            RequestRefused: no engine is available before the deadline.
        """
        with self._exchange.trace.span('choice'):
            if self._is_suspect():
                return self._start_exclusive_attempt(
                    tried_ids, self.seconds_left
                )
            attempt = self._context.admission.admit(
                self._turn,
                lambda: self._select_engine(tried_ids),
                self._start_attempt,
            )
        tried_ids.add(attempt.endpoint.id)
        return attempt

    def start_resume_attempt(self, tried_ids):
        """Start an attempt on the best untried engine, without queueing.

        Interrupted streams resume at once, because they have waited for
        admission already and their tokens are charged to the customer.

        Args:
            tried_ids: ids of engines to exclude; the id of the selected
                engine is added.

        Returns:
            The started ``EngineAttempt``.

        Raises:
            RequestRefused: no engine is available.
        """
        with self._exchange.trace.span('choice'):
            if self._is_suspect():
                return self._start_exclusive_attempt(
                    tried_ids, self._deadline_seconds
                )
            endpoint = self._untried_candidates(tried_ids)[0].endpoint
        tried_ids.add(endpoint.id)
        return self._start_attempt(endpoint)

    def start_attempt_elsewhere(self, tried_ids, find_awake):
        """Start an attempt while another one goes on, if there is room.

        Args:
            tried_ids: ids of engines to exclude; the id of the selected
                engine is added.
            find_awake: function that takes endpoints, the best one first,
                and returns one that is awake, or None.

        Returns:
            The started ``EngineAttempt``, or None if no other engine is awake
            and has room for the request or it must not run twice at a time.
        """
        awake = find_awake(self._endpoints_with_room(tried_ids))
        if awake is None:
            return None
        # The search takes a while, in which the room may be taken.
        for endpoint in self._endpoints_with_room(tried_ids):
            if endpoint.id == awake.id:
                tried_ids.add(endpoint.id)
                return self._start_attempt(endpoint)
        return None

    def _endpoints_with_room(self, tried_ids):
        """Return the endpoints that may run a copy of the request now."""
        try:
            if self._is_suspect():
                return []
            candidates = self._untried_candidates(tried_ids)
        except errors.RequestRefused:
            return []
        return [
            candidate.endpoint
            for candidate in candidates
            if self._has_room(candidate)
        ]

    def _has_room(self, candidate):
        running = self._context.loads.open_requests(candidate.endpoint)
        bound = self.prepared.pool.max_in_flight_per_endpoint
        return not candidate.is_breaker_open and running < bound

    def start_attempt_again(self, endpoint):
        """Start an attempt on the engine of one that goes on.

        Returns:
            The started ``EngineAttempt``, or None if the engine may not
            take the request any more.
        """
        try:
            if self._is_suspect():
                return None
            candidates = self._untried_candidates(frozenset())
        except errors.RequestRefused:
            return None
        if endpoint.id not in {c.endpoint.id for c in candidates}:
            return None
        return self._start_attempt(endpoint)

    def pin_weights(self, weights_version):
        """Select only engines with this weights version from now on."""
        self.prepared = self.prepared.restrict_to_weights(weights_version)

    def _is_suspect(self):
        crash_suspects = self._context.crash_suspects
        crash_suspects.refuse_if_crashing(self.prepared.fingerprint)
        return crash_suspects.is_suspect(self.prepared.fingerprint)

    def _start_exclusive_attempt(self, tried_ids, timeout):
        # Every VM selects the same engine for a suspect, so that concurrent
        # copies of the request crash no more than one engine.
        engines = [
            candidate.endpoint
            for candidate in self._untried_candidates(tried_ids)
        ]
        key = self.prepared.fingerprint.encode('ascii')
        endpoint = rendezvous.rank(key, engines)[0]
        tried_ids.add(endpoint.id)
        attempt = engine_attempt.EngineAttempt(
            self._context, endpoint, self.prepared
        )
        attempt.start_exclusively(timeout)
        return attempt

    def _start_attempt(self, endpoint):
        attempt = engine_attempt.EngineAttempt(
            self._context, endpoint, self.prepared
        )
        attempt.start()
        return attempt

    def _select_engine(self, tried_ids):
        # Admission calls this repeatedly while the request waits, so that
        # a withdrawn key or a closed connection ends the wait.
        self._context.authenticator.check_not_withdrawn(
            self._exchange.caller.key_digest
        )
        self._exchange.check_caller_connected()
        pool = self.prepared.pool
        bound = pool.max_in_flight_per_endpoint
        candidates = self._untried_candidates(tried_ids)
        open_requests = self._context.loads.open_requests
        free = [c for c in candidates if open_requests(c.endpoint) < bound]
        best = (free or candidates)[0]
        seconds = best.expected_seconds
        seconds_per_token = self._context.prefill_times.seconds_per_token(
            pool.id
        )
        if not self._context.prefill_times.has_estimate(pool.id):
            # Until a rate is known, no request is refused because of its
            # expected duration.
            seconds = seconds_per_token = 0.0
        return admission.EngineSelection(
            best.endpoint,
            best.uncached_tokens,
            seconds,
            seconds_per_token,
            bound,
        )

    def _untried_candidates(self, tried_ids):
        self._context.crash_suspects.refuse_if_crashing(
            self.prepared.fingerprint
        )
        candidates = self._context.endpoint_selector.rank_engines(
            self._context.environment,
            self.prepared.pool,
            self.prepared.prompts_by_weights,
        )
        untried = [c for c in candidates if c.endpoint.id not in tried_ids]
        if not untried:
            raise errors.NoEndpoint('every engine has been tried')
        return untried
