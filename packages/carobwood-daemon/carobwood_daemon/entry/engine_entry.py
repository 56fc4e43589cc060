"""The way of one request into an engine: choice, queue and hold."""

import time

from carobwood import errors

from ..routing import admission
from ..routing import rendezvous

from . import engine_visit


class EngineEntry:
    """Enters engines for one request, one after another.

    Attributes:
        work: the ``Work``; its prompts name the weights that may serve.
    """

    def __init__(self, services, exchange, route, work):
        self.work = work
        self._services = services
        self._exchange = exchange
        self._deadline_seconds = route.deadline_seconds
        customer = exchange.caller.customer
        self._turn = admission.Turn(
            customer.id,
            customer.rate_tokens_per_second,
            route.priority,
            time.monotonic() + route.deadline_seconds,
        )

    @property
    def seconds_left(self):
        """Seconds until the answer must have started."""
        return self._turn.due_at - time.monotonic()

    def enter_next(self, tried):
        """Wait for the request's turn at the best engine and enter it.

        Args:
            tried: ids of engines to leave out; the entered one is added.

        Returns:
            The ``Visit``.

        Raises:
            RequestRefused: no engine may take it, or not in time.
        """
        with self._exchange.trace.hop('choice'):
            if self._is_suspect():
                return self._enter_apart(tried, self.seconds_left)
            visit = self._services.admission.admit(
                self._turn, lambda: self._wish(tried), self._count_in
            )
        tried.add(visit.endpoint.id)
        return visit

    def enter_other(self, tried):
        """Enter the best engine that was not tried, without a queue.

        Streams that were cut go on at once: they are already paid for.

        Args:
            tried: ids of engines to leave out; the entered one is added.

        Returns:
            The ``Visit``.

        Raises:
            RequestRefused: no engine may take it.
        """
        with self._exchange.trace.hop('choice'):
            if self._is_suspect():
                return self._enter_apart(tried, self._deadline_seconds)
            endpoint = self._untried(tried)[0].endpoint
        tried.add(endpoint.id)
        return self._count_in(endpoint)

    def keep_weights(self, weights_version):
        """Enter only engines with these weights from now on."""
        self.work = self.work.only_for(weights_version)

    def _is_suspect(self):
        suspects = self._services.suspects
        suspects.check(self.work.fingerprint)
        return suspects.is_suspect(self.work.fingerprint)

    def _enter_apart(self, tried, timeout):
        # All VMs choose alike, so that copies crash one engine.
        engines = [candidate.endpoint for candidate in self._untried(tried)]
        key = self.work.fingerprint.encode('ascii')
        endpoint = rendezvous.rank(key, engines)[0]
        tried.add(endpoint.id)
        visit = engine_visit.Visit(self._services, endpoint, self.work)
        visit.enter_apart(timeout)
        return visit

    def _count_in(self, endpoint):
        visit = engine_visit.Visit(self._services, endpoint, self.work)
        visit.enter()
        return visit

    def _wish(self, tried):
        # Asked again while the request waits in the queue.
        self._services.gatekeeper.refuse_withdrawn(
            self._exchange.caller.key_digest
        )
        self._exchange.refuse_left()
        pool = self.work.pool
        bound = pool.max_in_flight_per_endpoint
        candidates = self._untried(tried)
        open_requests = self._services.loads.open_requests
        free = [c for c in candidates if open_requests(c.endpoint) < bound]
        best = (free or candidates)[0]
        seconds = best.seconds
        seconds_per_token = self._services.rates.seconds_per_token(pool.id)
        if not self._services.rates.is_known(pool.id):
            # Nothing is refused on a guess.
            seconds = seconds_per_token = 0.0
        return admission.Wish(
            best.endpoint,
            best.missing_tokens,
            seconds,
            seconds_per_token,
            bound,
        )

    def _untried(self, tried):
        self._services.suspects.check(self.work.fingerprint)
        candidates = self._services.chooser.order_engines(
            self._services.environment,
            self.work.pool,
            self.work.prompts_by_weights,
        )
        fresh = [c for c in candidates if c.endpoint.id not in tried]
        if not fresh:
            raise errors.NoEndpoint('every engine was tried')
        return fresh
