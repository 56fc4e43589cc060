"""One request's stay on one engine."""

import math
import secrets
import time

from carobwood import errors

from ..membership import probe
from ..routing import placements
from ..routing import prefix

HOLDER_BYTES = 8
PROBE_TIMEOUT = 0.5
SPREAD_TIMEOUT = 0.5


class Visit:
    """Counts a request in and out of an engine, and judges its failures.

    Attributes:
        endpoint: the engine.
    """

    def __init__(self, services, endpoint, work):
        self.endpoint = endpoint
        self._services = services
        self._fingerprint = work.fingerprint
        self._work = work
        self._prompt = work.prompt_for(endpoint)
        self._holder = ''
        self._ages = ()
        self._missing_tokens = 0
        self._was_alone = False
        self._is_computing = False
        self._started_at = 0.0
        self._first_token_seconds = None
        self._is_inside = False
        self._has_begun = False

    @property
    def expected_seconds(self):
        """Seconds that the engine should need for the missing tokens."""
        rates = self._services.rates
        rate = rates.seconds_per_token(self._work.pool.id)
        return self._missing_tokens * rate

    def enter(self):
        """Count the request in.

        Until ``begin`` it cannot be blamed for a crash of the engine.
        """
        self._start_prefill()
        self._is_inside = True

    def enter_apart(self, timeout):
        """Count a suspect in once no other suspect runs there.

        Raises:
            Saturated: it had no engine to itself in time.
            EndpointUnreachable: the engine died before it came.
            RequestCrashesEndpoints: another copy crashed it meanwhile.
        """
        holder = secrets.token_hex(HOLDER_BYTES)
        self._services.arbiter.hold(self.endpoint, holder, timeout)
        try:
            self._check_apart()
        except errors.RequestRefused:
            self._services.arbiter.release(self.endpoint, holder)
            raise
        self._holder = holder
        self.enter()

    def begin(self):
        """Note that the engine accepted a connection for the request.

        Called before the first byte is sent. An engine that was dead
        before could not be crashed by this request.
        """
        self._services.suspects.enter(self.endpoint, self._fingerprint)
        self._has_begun = True

    def note_first_token(self):
        """Note that the engine has computed the prompt."""
        if self._first_token_seconds is None:
            elapsed = time.monotonic() - self._started_at
            self._first_token_seconds = elapsed
            self._end_prefill()

    def learn(self, request_id, usage):
        """Learn from the engine's account of the request."""
        self._services.cache_events.note_request(
            request_id, self._prompt, usage.prompt_tokens
        )
        services = self._services
        services.placements.learn(
            self.endpoint, self._ages, self._cached_extent(usage)
        )
        if self._was_alone and self._first_token_seconds is not None:
            services.rates.note(
                self._work.pool.id,
                usage.prompt_tokens - usage.cached_tokens,
                self._first_token_seconds,
            )

    def _cached_extent(self, usage):
        estimated = max(1, self._prompt.tokens)
        # Tokens of the engine in one of the router's pieces.
        piece = prefix.PIECE_TOKENS * max(1, usage.prompt_tokens) / estimated
        cached = usage.cached_tokens
        # The engine may hold up to one of its own pieces more of what it
        # counts as not cached, as far as the prompts agree.
        missing_from = math.ceil((cached + prefix.PIECE_TOKENS) / piece) - 1
        return placements.CachedExtent(int(cached / piece), missing_from)

    def succeed(self):
        """Count the request out after a whole answer."""
        self._services.suspects.clear(self._fingerprint)
        self._services.breakers.note_success(self.endpoint)
        self.leave()

    def leave(self):
        """Count the request out, once."""
        if not self._is_inside:
            return
        self._is_inside = False
        self._end_prefill()
        if self._has_begun:
            self._services.suspects.leave(self.endpoint, self._fingerprint)
        if self._holder:
            self._services.arbiter.release(self.endpoint, self._holder)
        self._services.loads.leave(self.endpoint)

    def fail(self, error):
        """Count the request out after a failure.

        An engine that broke off and does not answer on a new connection
        has crashed. The strikes reach the peers before the request is
        tried again or its caller hears of the failure.
        """
        services = self._services
        services.breakers.note_failure(self.endpoint, error.code)
        broke_off = isinstance(
            error, (errors.EndpointFailed, errors.StreamBroken)
        )
        if broke_off and not probe.is_alive(self.endpoint, PROBE_TIMEOUT):
            services.placements.forget(self.endpoint)
            services.suspects.note_crash(self.endpoint)
            own = services.suspects.strikes_of(self._fingerprint)
            for strike in own:
                services.gossip.confirm(strike, SPREAD_TIMEOUT)
        self.leave()

    def _check_apart(self):
        # The last holder may have been another copy of this request.
        self._services.suspects.check(self._fingerprint)
        # Something between the two ends may accept connections for a
        # dead engine, and a second strike must not come from that.
        if not probe.is_alive(self.endpoint, PROBE_TIMEOUT):
            self._services.breakers.note_failure(self.endpoint, 'dead')
            raise errors.EndpointUnreachable('it does not answer its probe')

    def _start_prefill(self):
        # Noted before the engine answers, so that concurrent requests
        # with the same prefix go to the same engine and compute it once.
        services = self._services
        self._was_alone = services.loads.open_requests(self.endpoint) == 0
        services.loads.enter(self.endpoint)
        self._missing_tokens = services.chooser.missing_tokens(
            self.endpoint, self._prompt
        )
        services.loads.start_prefill(self.endpoint, self._missing_tokens)
        self._is_computing = True
        self._ages = services.placements.note(
            self.endpoint, self._prompt.chain
        )
        self._started_at = time.monotonic()

    def _end_prefill(self):
        if self._is_computing:
            self._is_computing = False
            self._services.loads.end_prefill(
                self.endpoint, self._missing_tokens
            )
