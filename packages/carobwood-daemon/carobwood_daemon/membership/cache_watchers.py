"""Threads that poll engines for prefix-cache evictions, one per engine.

An engine reports which tokens of earlier prompts its prefix cache has
evicted, so that routing does not count on them any more.
"""

import threading
import time

import msgspec

from carobwood import document as documents
from carobwood import errors
from carobwood import events

from ..entry import bounded_call
from ..limits import buffer_budget
from ..routing import cache_events
from ..routing import rendezvous

from . import periodic_tasks

EVENTS_PATH = '/v1/cache-events'
PERIOD_SECONDS = 1.0
LONG_POLL_SECONDS = 2.0
READ_TIMEOUT_MARGIN_SECONDS = 2.0
RETRY_SECONDS = 1.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Bounds the polls of a VM in a fleet of many engines. Removals from the
# caches of the other engines come from other VMs by gossip, or are derived
# from the cached tokens that responses report.
MAX_WATCHED_ENGINES = 32


class RemovalMessage(msgspec.Struct, frozen=True):
    """A removal of cached tokens as engines report it.

    Attributes:
        sequence: number of the event, without gaps from 1.
        request_id: id of the request whose prompt was cached.
        from_token: index of the first token of the prompt that is gone.
        age_ms: time since the removal, in milliseconds.
    """

    sequence: int
    request_id: str
    from_token: int
    age_ms: int = 0


class EventsMessage(msgspec.Struct, frozen=True):
    """An engine's response to a poll for events.

    Attributes:
        events: the removals after the sequence number that was asked for.
    """

    events: list[RemovalMessage]


_decoder = msgspec.json.Decoder(EventsMessage)


class CacheWatchers(periodic_tasks.PeriodicTask):
    """Runs a ``CacheWatcher`` for each engine that this VM polls."""

    period = PERIOD_SECONDS

    def __init__(self, directory, store, event_tracker):
        super().__init__('cache-watchers')
        self._directory = directory
        self._store = store
        self._event_tracker = event_tracker
        self._watchers_by_incarnation = {}
        self._buffers = buffer_budget.BufferBudget(
            buffer_budget.budget_bytes(
                buffer_budget.DEFAULT_MEMORY_LIMIT_BYTES
            )
        )

    def run_once(self):
        """Start and stop watchers as engines appear and disappear."""
        wanted = {(e.id, e.incarnation): e for e in self._engines_to_watch()}
        watchers = self._watchers_by_incarnation
        for key in list(watchers):
            if key not in wanted or not watchers[key].is_alive():
                watchers.pop(key).stop()
        for key, endpoint in wanted.items():
            if key not in watchers:
                watchers[key] = CacheWatcher(
                    endpoint, self._event_tracker, self._buffers
                )
                watchers[key].start()

    def stop(self):
        """Stop this thread and the watchers."""
        super().stop()
        for watcher in list(self._watchers_by_incarnation.values()):
            watcher.stop()

    def _engines_to_watch(self):
        engines = [
            e
            for e in self._directory.endpoints()
            if not e.leaving and self._is_engine(e)
        ]
        if len(engines) <= MAX_WATCHED_ENGINES:
            return engines
        # The ranking differs between VMs, so that together they poll most
        # of the engines.
        own = self._directory.own_vm.id.encode('utf-8')
        return rendezvous.rank(own, engines)[:MAX_WATCHED_ENGINES]

    def _is_engine(self, endpoint):
        document = self._store.fleet.document(endpoint.environment)
        pool = document.pools_by_id.get(endpoint.pool) if document else None
        return pool is not None and pool.kind == documents.ENGINE_KIND


class CacheWatcher(threading.Thread):
    """Long-polls one engine for its cache events."""

    def __init__(self, endpoint, event_tracker, buffers=None):
        """Create the thread; it does not run yet.

        Args:
            endpoint: the ``Endpoint``.
            event_tracker: the ``CacheEvents``.
            buffers: the ``BufferBudget`` for the answers, or None.
        """
        super().__init__(name=f'cache-{endpoint.id}', daemon=True)
        self._endpoint = endpoint
        self._event_tracker = event_tracker
        self._stopped = threading.Event()
        self._caller = bounded_call.HttpCaller(buffers)
        self._is_up = True

    def run(self):
        """Poll until stopped or until the engine turns out to have none."""
        while not self._stopped.is_set():
            try:
                has_events = self._poll()
                self._set_availability(True, '')
                if not has_events:
                    # This incarnation of the engine has no cache events.
                    # A new incarnation gets a watcher of its own.
                    self._stopped.wait()
            except (errors.EngineCallFailed, msgspec.MsgspecError) as error:
                self._set_availability(False, str(error))
                self._stopped.wait(RETRY_SECONDS)
            except Exception as error:
                events.emit(
                    events.THREAD_FAILED, thread=self.name, error=repr(error)
                )
                self._stopped.wait(RETRY_SECONDS)
        self._caller.close()

    def stop(self):
        """Stop the thread after its current poll."""
        self._stopped.set()

    def _set_availability(self, is_up, reason):
        if is_up == self._is_up:
            return
        self._is_up = is_up
        event = events.CACHE_REGAINED if is_up else events.CACHE_LOST
        events.emit(event, endpoint=self._endpoint.id, reason=reason)

    def _poll(self):
        after = self._event_tracker.last_sequence(self._endpoint)
        polled_at = time.monotonic()
        call = bounded_call.Call(
            'GET',
            self._endpoint.address,
            f'{EVENTS_PATH}?after={after}&wait={LONG_POLL_SECONDS:g}',
        )
        bounds = bounded_call.CallBounds(
            LONG_POLL_SECONDS + READ_TIMEOUT_MARGIN_SECONDS,
            MAX_ANSWER_BYTES,
            RETRY_SECONDS,
        )
        answer = self._caller.call(call, bounds)
        if answer.status != 200:
            return False
        message = _decoder.decode(answer.data)
        self._event_tracker.apply(
            self._endpoint,
            [
                cache_events.CacheRemoval(
                    removal.sequence,
                    removal.request_id,
                    removal.from_token,
                    removal.age_ms / 1000,
                )
                for removal in message.events
            ],
        )
        if (
            not message.events
            and time.monotonic() - polled_at < PERIOD_SECONDS
        ):
            # The engine ignores ``wait`` and answers at once: pause, so
            # that the poll does not become a busy loop.
            self._stopped.wait(PERIOD_SECONDS)
        return True
