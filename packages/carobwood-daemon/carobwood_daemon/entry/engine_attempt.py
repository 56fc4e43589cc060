"""One attempt to run a request on one engine."""

import math
import secrets
import time

from carobwood import clocks
from carobwood import errors

from ..membership import probe
from ..routing import prefix
from ..routing import prefix_cache_index

LOCK_HOLDER_ID_BYTES = 8
PROBE_TIMEOUT_SECONDS = 0.5
# Longest silence of an engine that may still be sound.
SILENCE_SECONDS = 3.0
STRIKE_CONFIRM_TIMEOUT_SECONDS = 0.5


class EngineAttempt:
    """Accounts for a request on an engine and attributes its failures.

    Attributes:
        endpoint: the engine.
    """

    def __init__(self, context, endpoint, prepared):
        self.endpoint = endpoint
        self._context = context
        self._fingerprint = prepared.fingerprint
        self._prepared = prepared
        self._prompt = prepared.prompt_for(endpoint)
        self._lock_holder_id = ''
        self._placement_ages = ()
        self._uncached_tokens = 0
        self._was_only_request = False
        self._is_prefilling = False
        self._started_at = 0.0
        self._first_token_seconds = None
        self._is_counted = False
        self._is_connected = False

    @property
    def expected_seconds(self):
        """Expected seconds of prefill for the tokens that are not cached."""
        prefill_times = self._context.prefill_times
        rate = prefill_times.seconds_per_token(self._prepared.pool.id)
        return self._uncached_tokens * rate

    def start(self):
        """Count the request as running on the engine.

        Until ``note_connected`` the request gets no strike if the engine
        crashes.
        """
        self._start_prefill()
        self._is_counted = True

    def start_exclusively(self, timeout):
        """Start the attempt of a suspect while no other suspect runs there.

        A suspect is a request that may have crashed an engine.

        Args:
            timeout: seconds to wait for the exclusive lock on the engine.

        Raises:
            Saturated: the lock was not acquired in time.
            EndpointUnreachable: the engine fails its health check once
                the lock is acquired.
            RequestCrashesEndpoints: another copy of the request crashed
                the engine while this one waited.
        """
        lock_holder_id = secrets.token_hex(LOCK_HOLDER_ID_BYTES)
        self._context.endpoint_locks.acquire(
            self.endpoint, lock_holder_id, timeout
        )
        try:
            self._check_before_exclusive_start()
        except errors.RequestRefused:
            self._context.endpoint_locks.release(self.endpoint, lock_holder_id)
            raise
        self._lock_holder_id = lock_holder_id
        self.start()

    def note_connected(self):
        """Record that the engine accepted a connection for the request.

        Called before the first byte is sent. From here on the request
        gets a strike if the engine crashes; an engine that had crashed
        before cannot have been crashed by this request.
        """
        self._context.crash_suspects.add_running(
            self.endpoint, self._fingerprint
        )
        self._is_connected = True

    def note_first_token(self):
        """Record that the engine has sent its first token."""
        if self._first_token_seconds is None:
            elapsed = time.monotonic() - self._started_at
            self._first_token_seconds = elapsed
            self._end_prefill()

    def record_usage(self, request_id, usage):
        """Update the cache and prefill estimates from the reported usage.

        Args:
            request_id: id that was sent to the engine.
            usage: the ``Usage`` that the engine reported.
        """
        self._context.cache_events.record_prompt(
            request_id, self._prompt, usage.prompt_tokens
        )
        context = self._context
        context.prefix_cache_index.adjust_lifetime(
            self.endpoint,
            self._placement_ages,
            self._estimate_cached_extent(usage),
        )
        if self._was_only_request and self._first_token_seconds is not None:
            context.prefill_times.add_sample(
                self._prepared.pool.id,
                usage.prompt_tokens - usage.cached_tokens,
                self._first_token_seconds,
            )

    def _estimate_cached_extent(self, usage):
        estimated_tokens = max(1, self._prompt.tokens)
        # Tokens, as the engine counts them, in one block of the router.
        # Both divide the prompt into blocks, but the router estimates its
        # tokens from bytes.
        engine_tokens_per_block = (
            prefix.BLOCK_TOKENS
            * max(1, usage.prompt_tokens)
            / estimated_tokens
        )
        cached = usage.cached_tokens
        # An engine counts whole blocks only. Of the tokens that it counts
        # as not cached, up to one engine block may still be cached.
        first_missing_block = (
            math.ceil((cached + prefix.BLOCK_TOKENS) / engine_tokens_per_block)
            - 1
        )
        return prefix_cache_index.CachedExtent(
            int(cached / engine_tokens_per_block), first_missing_block
        )

    def succeed(self):
        """Finish the attempt after a complete response."""
        self._context.crash_suspects.expire_strikes(self._fingerprint)
        self._context.circuit_breakers.record_success(self.endpoint)
        self.finish()

    def finish(self):
        """Count the request as no longer running on the engine.

        Calls after the first one have no effect.
        """
        if not self._is_counted:
            return
        self._is_counted = False
        self._end_prefill()
        if self._is_connected:
            self._context.crash_suspects.remove_running(
                self.endpoint, self._fingerprint
            )
        if self._lock_holder_id:
            self._context.endpoint_locks.release(
                self.endpoint, self._lock_holder_id
            )
        self._context.loads.remove_request(self.endpoint)

    def fail(self, error):
        """Finish the attempt after a failure.

        An engine whose connection failed and that fails a health check
        on a new connection has crashed; one that is only silent is checked
        again for a while. Each request that ran on a crashed engine gets
        a strike. The strikes of this request are sent to the peers before
        it is retried and before its caller learns of the failure, so that
        a copy sent to another VM is recognised as a suspect.

        Args:
            error: the ``CarobwoodError`` of the failure.
        """
        context = self._context
        # A lack of this VM tells nothing of the engine.
        if not isinstance(error, errors.DescriptorsUsedUp):
            context.circuit_breakers.record_failure(self.endpoint, error.code)
        is_disconnected = isinstance(
            error, (errors.EndpointFailed, errors.StreamBroken)
        )
        if is_disconnected and not self._outlasts_silence():
            context.prefix_cache_index.forget(self.endpoint)
            context.crash_suspects.record_crash(self.endpoint)
            own_strikes = context.crash_suspects.unexpired_strikes(
                self._fingerprint
            )
            for strike in own_strikes:
                context.gossip.confirm(strike, STRIKE_CONFIRM_TIMEOUT_SECONDS)
        self.finish()

    def _check_before_exclusive_start(self):
        # The previous holder of the lock may have been another copy of this
        # request that crashed the engine.
        self._context.crash_suspects.refuse_if_crashing(self._fingerprint)
        # A proxy on the path may accept connections for an engine that has
        # crashed, and the request must not get a second strike for that.
        if not self._outlasts_silence():
            self._context.circuit_breakers.record_failure(
                self.endpoint, 'dead'
            )
            raise errors.EndpointUnreachable(
                'the engine fails its health check'
            )

    def _outlasts_silence(self):
        """Check the engine's health, again while it is only silent."""
        ends_at = clocks.now() + SILENCE_SECONDS
        health = probe.Health.SILENT
        while health is probe.Health.SILENT and clocks.now() < ends_at:
            health = probe.check_health(self.endpoint, PROBE_TIMEOUT_SECONDS)
        return health is probe.Health.SOUND

    def _start_prefill(self):
        # The placement is recorded before the engine responds, so that
        # concurrent requests with the same prefix go to the same engine,
        # which computes the prefix once.
        context = self._context
        self._was_only_request = (
            context.loads.open_requests(self.endpoint) == 0
        )
        context.loads.add_request(self.endpoint)
        self._uncached_tokens = context.endpoint_selector.uncached_tokens(
            self.endpoint, self._prompt
        )
        context.loads.add_prefill_tokens(self.endpoint, self._uncached_tokens)
        self._is_prefilling = True
        self._placement_ages = context.prefix_cache_index.record_use(
            self.endpoint, self._prompt.block_hashes
        )
        self._started_at = time.monotonic()

    def _end_prefill(self):
        if self._is_prefilling:
            self._is_prefilling = False
            self._context.loads.remove_prefill_tokens(
                self.endpoint, self._uncached_tokens
            )
