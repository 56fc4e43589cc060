"""What engines' caches have dropped, heard from their events.

Load pattern: prefixes of all customers together that just fit into the
engines' memory or exceed it, so that engines drop them all the time; and
dozens of entry VMs, while an engine answers few such calls at once.

A prefix that is believed to be on an engine that has dropped it is read
again there, or fetched in vain; one that is known to be gone is fetched
from a store or goes to its home. Each engine is watched by the few VMs
that rank highest for it; what they hear travels with the placements.
Events only take knowledge away: a lost one leaves a belief that ends by
its age, and a late one spares what was used since.
"""

import dataclasses

from carobwood import clocks
from carobwood import events

from ..membership import keepers
from ..routing import rendezvous

from . import cache_reader
from . import pieces

# VMs that watch an engine; one of them may be dead or frozen.
WATCHERS = 2
# Age up to which a removal may come; what was used since stays.
LAG_SECONDS = 0.4
# Events are taken together for this time, as each call costs two
# processes some of theirs.
PAUSE_SECONDS = 0.2


class EngineCache:
    """Hears which parts one engine has dropped."""

    def __init__(self, endpoint, dialect, placements):
        self._endpoint = endpoint
        self._placements = placements
        self._is_up = True
        self.reader = cache_reader.CacheReader(
            endpoint.address, dialect, self, PAUSE_SECONDS
        )

    def take(self, news):
        """Take over ``CacheNews`` of the engine."""
        if news.has_gap:
            events.emit(
                events.CACHE_EVENTS_LOST,
                endpoint=self._endpoint.id,
                position=news.next_position,
            )
        is_added_by_piece = {
            pieces.name_of(change.salt, change.part_id): change.is_added
            for change in news.changes
        }
        dropped = [
            piece
            for piece, is_added in is_added_by_piece.items()
            if not is_added and self._placements.holds(self._endpoint, piece)
        ]
        if dropped:
            removed_at = clocks.now() - LAG_SECONDS
            self._placements.remove(self._endpoint, dropped, removed_at)

    def note_up(self, is_up, reason):
        """Note whether the engine answers."""
        if is_up == self._is_up:
            return
        self._is_up = is_up
        event = events.CACHE_REGAINED if is_up else events.CACHE_LOST
        events.emit(event, endpoint=self._endpoint.id, reason=reason)


@dataclasses.dataclass(frozen=True)
class _Watcher:
    """A VM as the ranking sees it."""

    id: str


class EngineCaches(keepers.Keeper):
    """Watches the engines for which this VM ranks among the first."""

    def __init__(self, vm_id, state, directory, news, dialect, placements):
        """Create the keeper.

        Args:
            vm_id: name of this VM.
            state: has the ``configuration`` in force, or None.
            directory: the ``Directory``.
            news: tells the ``entry_vm_ids``.
            dialect: the ``Dialect``.
            placements: the ``Placements``.
        """
        super().__init__('engine-caches')
        self._vm_id = vm_id
        self._state = state
        self._directory = directory
        self._news = news
        self._dialect = dialect
        self._placements = placements
        self._caches_by_key = {}

    def step(self):
        """Start and end watching as engines and VMs come and go."""
        wanted = {(e.id, e.incarnation): e for e in self._watched()}
        for key in set(self._caches_by_key) - set(wanted):
            self._caches_by_key.pop(key).reader.stop()
        for key in set(wanted) - set(self._caches_by_key):
            cache = EngineCache(wanted[key], self._dialect, self._placements)
            self._caches_by_key[key] = cache
            cache.reader.start()

    def stop(self):
        """End this thread and all watching."""
        super().stop()
        for cache in list(self._caches_by_key.values()):
            cache.reader.stop()

    def _watched(self):
        configuration = self._state.configuration
        if configuration is None:
            return []
        pools = {
            service.name
            for service in configuration.services
            if service.engine is not None
        }
        vms = [_Watcher(self._vm_id)]
        vms += [_Watcher(vm_id) for vm_id in self._news.entry_vm_ids()]
        return [
            endpoint
            for endpoint in self._directory.present_endpoints()
            if endpoint.pool in pools and self._ranks_first(endpoint, vms)
        ]

    def _ranks_first(self, endpoint, vms):
        ranked = rendezvous.rank(endpoint.id.encode('utf-8'), vms)
        return self._vm_id in [vm.id for vm in ranked[:WATCHERS]]
