"""Evictions from the engines' caches, tracked through cache events.

Load pattern: the prefixes of all customers together just fit into the
engines' memory or exceed it, so engines evict blocks all the time. There
are dozens of entry VMs, while an engine serves few event polls at once.

If an engine has evicted a prefix that is still recorded as cached there,
the prefix is prefilled again or a fetch of it fails. Once the eviction is
known, the prefix is fetched from a store or goes to its affinity engine.

Each engine is polled by the few VMs of its data centre that rank highest for
it in rendezvous hash order; they send the evictions to the other VMs with the
placements.
Events only remove recorded placements. After a lost event the placement
remains until it expires, and a late event does not remove a placement that
was used since.
"""

from carobwood import clocks
from carobwood import events

from ..membership import periodic_tasks
from ..routing import rendezvous

from . import block_digests
from . import cache_event_poller

# VMs that poll each engine; more than one, as a VM may be dead or frozen.
VMS_PER_ENGINE = 2
# Upper bound of the delay of an eviction event. A block that was used within
# this time before the event arrives remains recorded as cached.
MAX_EVENT_DELAY_SECONDS = 0.4
# Pause between two polls, so that one poll returns several events: each poll
# costs CPU time on the VM and on the engine.
POLL_PAUSE_SECONDS = 0.4


class EngineCacheMonitor:
    """Removes the placements that one engine has evicted."""

    def __init__(self, endpoint, dialect, prefix_cache_index):
        self._endpoint = endpoint
        self._prefix_cache_index = prefix_cache_index
        self._is_up = True
        self.poller = cache_event_poller.CacheEventPoller(
            endpoint.address, dialect, self, POLL_PAUSE_SECONDS
        )

    def apply(self, batch):
        """Apply a ``CacheEventBatch`` of the engine's cache events."""
        if batch.has_gap:
            events.emit(
                events.CACHE_EVENTS_LOST,
                endpoint=self._endpoint.id,
                position=batch.next_position,
            )
        is_added_by_digest = {
            block_digests.block_digest(
                event.cache_salt, event.segment_id
            ): event.is_added
            for event in batch.events
        }
        evicted = [
            digest
            for digest, is_added in is_added_by_digest.items()
            if not is_added
            and self._prefix_cache_index.has_block(self._endpoint, digest)
        ]
        if evicted:
            evicted_at = clocks.now() - MAX_EVENT_DELAY_SECONDS
            self._prefix_cache_index.remove(
                self._endpoint, evicted, evicted_at
            )

    def set_availability(self, is_up, reason):
        """Record and log whether the engine answers polls."""
        if is_up == self._is_up:
            return
        self._is_up = is_up
        event = events.CACHE_REGAINED if is_up else events.CACHE_LOST
        events.emit(event, endpoint=self._endpoint.id, reason=reason)


class EngineCacheMonitors(periodic_tasks.PeriodicTask):
    """Polls the engines for which this VM ranks among the first."""

    def __init__(
        self,
        configuration_store,
        directory,
        dialect,
        prefix_cache_index,
    ):
        """Create the task.

        Args:
            configuration_store: has the ``configuration`` in force, or None.
            directory: the ``Directory``.
            dialect: the ``Dialect``.
            prefix_cache_index: the ``PrefixCacheIndex``.
        """
        super().__init__('engine-caches')
        self._configuration_store = configuration_store
        self._directory = directory
        self._dialect = dialect
        self._prefix_cache_index = prefix_cache_index
        self._monitors_by_key = {}

    def run_once(self):
        """Start and stop monitors as engines and VMs join and leave."""
        assigned = {(e.id, e.incarnation): e for e in self._assigned_engines()}
        for key in set(self._monitors_by_key) - set(assigned):
            self._monitors_by_key.pop(key).poller.stop()
        for key in set(assigned) - set(self._monitors_by_key):
            monitor = EngineCacheMonitor(
                assigned[key], self._dialect, self._prefix_cache_index
            )
            self._monitors_by_key[key] = monitor
            monitor.poller.start()

    def stop(self):
        """Stop this thread and all monitors."""
        super().stop()
        for monitor in list(self._monitors_by_key.values()):
            monitor.poller.stop()

    def _assigned_engines(self):
        """Return the engines that this VM has to poll."""
        configuration = self._configuration_store.configuration
        if configuration is None:
            return []
        pools = {
            service.name
            for service in configuration.services
            if service.engine is not None
        }
        vms = self._directory.entry_vms()
        return [
            endpoint
            for endpoint in self._directory.serving_endpoints()
            if endpoint.pool in pools and self._ranks_first(endpoint, vms)
        ]

    def _ranks_first(self, endpoint, vms):
        near = [vm for vm in vms if vm.data_centre == endpoint.data_centre]
        ranked = rendezvous.rank(endpoint.id.encode('utf-8'), near or vms)
        own_id = self._directory.own_vm.id
        return own_id in [vm.id for vm in ranked[:VMS_PER_ENGINE]]
