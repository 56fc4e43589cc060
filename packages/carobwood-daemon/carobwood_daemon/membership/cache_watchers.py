"""Threads that hear engines' cache events, one for each engine."""

import threading
import time

import msgspec
import urllib3

from carobwood import document as documents
from carobwood import events

from ..routing import cache_events
from ..routing import rendezvous

from . import keepers

EVENTS_PATH = '/v1/cache-events'
PERIOD = 1.0
WAIT_SECONDS = 2.0
READ_MARGIN = 2.0
RETRY_SECONDS = 1.0
# Bounds what a VM hears when engines are many; the others' removals come
# from other VMs or are learnt from answers.
MAX_WATCHED = 32


class RemovalMessage(msgspec.Struct, frozen=True):
    """A removal as engines send it."""

    sequence: int
    request_id: str
    from_token: int
    age_ms: int = 0


class EventsMessage(msgspec.Struct, frozen=True):
    """An engine's answer to a question for events."""

    events: list[RemovalMessage]


_decoder = msgspec.json.Decoder(EventsMessage)


class CacheWatchers(keepers.Keeper):
    """Starts a watcher for each engine that this VM listens to."""

    period = PERIOD

    def __init__(self, directory, store, heard):
        super().__init__('cache-watchers')
        self._directory = directory
        self._store = store
        self._heard = heard
        self._watchers_by_incarnation = {}

    def step(self):
        """Start and forget watchers as engines come and go."""
        wanted = {(e.id, e.incarnation): e for e in self._chosen()}
        known = self._watchers_by_incarnation
        for key in list(known):
            if key not in wanted or not known[key].is_alive():
                known.pop(key).stop()
        for key, endpoint in wanted.items():
            if key not in known:
                known[key] = CacheWatcher(endpoint, self._heard)
                known[key].start()

    def stop(self):
        """End this thread and the watchers."""
        super().stop()
        for watcher in list(self._watchers_by_incarnation.values()):
            watcher.stop()

    def _chosen(self):
        engines = [
            e
            for e in self._directory.endpoints()
            if not e.leaving and self._is_engine(e)
        ]
        if len(engines) <= MAX_WATCHED:
            return engines
        # Each VM listens to others, so that together they hear most.
        own = self._directory.own_vm.id.encode('utf-8')
        return rendezvous.rank(own, engines)[:MAX_WATCHED]

    def _is_engine(self, endpoint):
        document = self._store.fleet.document(endpoint.environment)
        pool = document.pools_by_id.get(endpoint.pool) if document else None
        return pool is not None and pool.kind == documents.ENGINE_KIND


class CacheWatcher(threading.Thread):
    """Asks one engine for its events, again and again."""

    def __init__(self, endpoint, heard):
        super().__init__(name=f'cache-{endpoint.id}', daemon=True)
        self._endpoint = endpoint
        self._heard = heard
        self._stopped = threading.Event()
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=RETRY_SECONDS, read=WAIT_SECONDS + READ_MARGIN
            ),
        )

    def run(self):
        """Hear events until stopped, or the engine tells that it has none."""
        while not self._stopped.is_set():
            try:
                if not self._ask():
                    # Only a new incarnation may have some.
                    self._stopped.wait()
            except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
                self._stopped.wait(RETRY_SECONDS)
            except Exception as error:
                events.emit(
                    events.THREAD_FAILED, thread=self.name, error=repr(error)
                )
                self._stopped.wait(RETRY_SECONDS)
        self._http.clear()

    def stop(self):
        """End the thread after its current question."""
        self._stopped.set()

    def _ask(self):
        after = self._heard.last_sequence(self._endpoint)
        asked_at = time.monotonic()
        answer = self._http.request(
            'GET',
            f'http://{self._endpoint.address}{EVENTS_PATH}'
            f'?after={after}&wait={WAIT_SECONDS:g}',
        )
        if answer.status != 200:
            return False
        message = _decoder.decode(answer.data)
        self._heard.apply(
            self._endpoint,
            [
                cache_events.Removal(
                    removal.sequence,
                    removal.request_id,
                    removal.from_token,
                    removal.age_ms / 1000,
                )
                for removal in message.events
            ],
        )
        if not message.events and time.monotonic() - asked_at < PERIOD:
            # An engine that does not wait must not be asked without end.
            self._stopped.wait(PERIOD)
        return True
