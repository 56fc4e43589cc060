"""Table of the endpoints that this VM knows of."""

import dataclasses
import threading

from carobwood import clocks
from carobwood import events

# Time without an announcement after which an endpoint is probed.
ENDPOINT_SILENCE_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint as described by its latest announcement.

    Attributes:
        id: name of the endpoint.
        incarnation: number that grows with each start of the endpoint.
        sequence: number that grows with each announcement.
        address: ``host:port`` of its HTTP interface.
        data_centre: data centre that it runs in.
        pool: id of the pool that it belongs to.
        environment: id of the environment that it belongs to.
        weights_version: version of the weights that it has loaded, of its
            first model if it has several; empty if it is no engine.
        leaving: whether it asks for no new requests.
        running: number of requests that it runs.
        waiting: number of requests that it queues.
        last_seen_at: time of the announcement by ``clocks.now``, in seconds.
        software_version: version of the software that it runs, or empty if
            it announces none.
        announced_weights: (model, version) of each model, if it has announced
            itself to this VM; other VMs are told by ``model_records``.
    """

    id: str
    incarnation: int
    sequence: int
    address: str
    data_centre: str
    pool: str
    environment: str
    weights_version: str = ''
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    last_seen_at: float = 0.0
    software_version: str = ''
    announced_weights: tuple[tuple[str, int], ...] = ()

    @property
    def instance(self):
        """Key that no other start of an endpoint has."""
        return (self.id, self.incarnation)

    @property
    def order(self):
        """Key that grows with each announcement of the endpoint."""
        return (self.incarnation, self.sequence)


class EndpointTable:
    """Table of endpoints, merged from gossip and announcements."""

    def __init__(self, clock=clocks.now):
        """Create an empty table.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._endpoints_by_id = {}
        self._tombstones_by_id = {}
        # When the dropped endpoints were last known to be silent.
        self._dropped_at_by_id = {}
        self._is_reread_due = False
        self._announced_here_at_by_id = {}
        # When a member of this VM's group has last sent news of an endpoint.
        self._member_news_at_by_id = {}
        # Times of successful probes, by announcement.
        self._probed_at_by_order = {}
        # When an aggregator named the endpoints that it does not hear.
        self._confirmed_at = float('-inf')
        self._unconfirmed_ids = frozenset()
        # The pools that the configuration names, or None before the first.
        self._named_pools = None
        self._endpoint_listeners = []

    def on_endpoint_change(self, listener):
        """Call ``listener(endpoint)`` after each change to gossip at once.

        A change of ``running`` or ``waiting`` alone does not count.
        """
        self._endpoint_listeners.append(listener)

    def set_named_pools(self, pools):
        """Set the pools that the configuration in force names.

        An endpoint of any other pool may come from another writer. It is
        kept, as its pool may be named later, but stands for no endpoint.
        """
        self._named_pools = frozenset(pools)

    def add_named_pools(self, pools):
        """Add the pools that the configuration to come names.

        Those of the one in force stay named until ``set_named_pools``.
        """
        if self._named_pools is not None:
            self._named_pools |= frozenset(pools)

    def is_named(self, endpoint):
        """Tell whether the configuration names an endpoint's pool.

        Before the first configuration, all pools count as named.
        """
        pools = self._named_pools
        return pools is None or endpoint.pool in pools

    def contradicts(self, endpoint):
        """Tell whether an announcement is not that of the known endpoint.

        It has the id of an endpoint of a named pool and names none itself.
        """
        known = self.find_endpoint(endpoint.id)
        return known is not None and (
            self.is_named(known) and not self.is_named(endpoint)
        )

    def merge_endpoint(self, endpoint, is_direct=False, is_from_member=False):
        """Merge an announcement.

        Args:
            endpoint: the ``Endpoint``.
            is_direct: whether the endpoint announced itself to this VM,
                rather than to another one.
            is_from_member: whether a member of this VM's group has sent it.

        Returns:
            Whether it was newer than the known announcement.
        """
        if self.contradicts(endpoint):
            return False
        with self._lock:
            if is_direct:
                self._announced_here_at_by_id[endpoint.id] = self._clock()
            known = self._endpoints_by_id.get(endpoint.id)
            tombstone = self._tombstones_by_id.get(endpoint.id, (0, 0))
            if endpoint.order <= tombstone:
                return False
            if known is not None and self._is_outdated(endpoint, known):
                return False
            if known is None and not self._may_return(endpoint, tombstone):
                return False
            silence = self._silence_of(known)
            self._endpoints_by_id[endpoint.id] = endpoint
            if is_from_member:
                self._member_news_at_by_id[endpoint.id] = self._clock()
            # Others may have dropped an endpoint that was silent here.
            is_heard_again = silence > ENDPOINT_SILENCE_SECONDS
            changed = (
                known is None
                or is_heard_again
                or _must_spread(known, endpoint)
            )
        if is_heard_again:
            events.emit(
                events.ENDPOINT_HEARD_AGAIN,
                endpoint=endpoint.id,
                silent_seconds=round(silence, 3),
            )
        if changed:
            self._log_change(endpoint)
            for listener in self._endpoint_listeners:
                listener(endpoint)
        return True

    def _may_return(self, endpoint, tombstone):
        """Tell whether an announcement may bring an endpoint back.

        The last one of an endpoint that has ended may have reached other VMs
        only, which keep it.
        """
        ended_incarnation, _ = tombstone
        if endpoint.incarnation != ended_incarnation:
            return True
        if (
            endpoint.id in self._unconfirmed_ids
            and self._silence_of(endpoint) > ENDPOINT_SILENCE_SECONDS
        ):
            return False
        if self._dropped_at_by_id.pop(endpoint.id, None) is not None:
            # What this VM knew of it was dropped as well.
            self._is_reread_due = True
        return True

    def announces_to_this_vm(self, endpoint):
        """Tell whether an endpoint announces itself to this VM."""
        announced_at = self._announced_here_at_by_id.get(
            endpoint.id, float('-inf')
        )
        return self._clock() - announced_at < ENDPOINT_SILENCE_SECONDS

    def refreshed_by_members(self, since):
        """Return the endpoints of which members have sent news.

        Args:
            since: time by the clock from which on it has come.
        """
        with self._lock:
            return [
                self._endpoints_by_id[endpoint_id]
                for endpoint_id, at in self._member_news_at_by_id.items()
                if at >= since and endpoint_id in self._endpoints_by_id
            ]

    def endpoints(self):
        """Return all known endpoints."""
        with self._lock:
            return list(self._endpoints_by_id.values())

    def serving_endpoints(self):
        """Return the endpoints that take work, one for each address.

        A new endpoint may reuse the address of one that ended without
        announcing it, so the one that started last at an address counts.
        """
        newest = self._newest_by_address(self.endpoints())
        return [e for e in newest.values() if not e.leaving]

    def _newest_by_address(self, endpoints):
        newest_by_address = {}
        for endpoint in endpoints:
            if not self.is_named(endpoint):
                continue
            known = newest_by_address.get(endpoint.address)
            if known is None or known.incarnation < endpoint.incarnation:
                newest_by_address[endpoint.address] = endpoint
        return newest_by_address

    def find_endpoint(self, endpoint_id):
        """Return an endpoint by id, or None."""
        with self._lock:
            return self._endpoints_by_id.get(endpoint_id)

    def silent_endpoints(self):
        """Return the endpoints whose announcements have stopped."""
        limit = self._clock() - ENDPOINT_SILENCE_SECONDS
        return [
            endpoint
            for endpoint in self.endpoints()
            if self._heard_at(endpoint) < limit
            and self._probed_at(endpoint) < limit
        ]

    def news_age(self, endpoint):
        """Return the seconds since a new start of an endpoint would be known.

        An aggregator passes on each start at once, and so does the endpoint
        itself if it announces to this VM. A probe does not count: it does
        not tell who has answered it.
        """
        heard_at = max(endpoint.last_seen_at, self._confirmed_at)
        return self._clock() - heard_at

    def _silence_of(self, endpoint):
        """Return for how many seconds an endpoint, or None, is silent."""
        if endpoint is None:
            return 0.0
        return self._clock() - self._heard_at(endpoint)

    def _heard_at(self, endpoint):
        if endpoint.id in self._unconfirmed_ids:
            return endpoint.last_seen_at
        return max(endpoint.last_seen_at, self._confirmed_at)

    def _probed_at(self, endpoint):
        key = (endpoint.id, endpoint.order)
        return self._probed_at_by_order.get(key, float('-inf'))

    def find_displaced(self, silent):
        """Return which of the silent endpoints no probe can prove alive.

        Another endpoint announces that it is at their address, so that it
        would answer; or they belong to no named pool, and one of a named pool
        is known there.

        Args:
            silent: the endpoints whose announcements have stopped.
        """
        silent_ids = {endpoint.id for endpoint in silent}
        known = self.endpoints()
        heard = [e for e in known if e.id not in silent_ids]
        newest = self._newest_by_address(heard)
        named_addresses = {e.address for e in known if self.is_named(e)}
        displaced = []
        for endpoint in silent:
            other = newest.get(endpoint.address)
            is_replaced = other and other.incarnation > endpoint.incarnation
            is_foreign = (
                not self.is_named(endpoint)
                and endpoint.address in named_addresses
            )
            if is_replaced or is_foreign:
                displaced.append(endpoint)
        return displaced

    def confirm_all_except(self, silent_ids):
        """Record that an aggregator hears all endpoints but some.

        Args:
            silent_ids: ids of the endpoints that it does not hear.
        """
        with self._lock:
            self._confirmed_at = self._clock()
            self._unconfirmed_ids = frozenset(silent_ids)
            self._review_dropped()

    def _review_dropped(self):
        """Find the dropped endpoints that the aggregator hears.

        It tells of each return, but not of what it has heard all the time.
        One that it has not heard since the drop becomes silent there.
        """
        now = self._confirmed_at
        for endpoint_id, dropped_at in list(self._dropped_at_by_id.items()):
            if endpoint_id in self._unconfirmed_ids:
                self._dropped_at_by_id[endpoint_id] = now
            elif now - dropped_at > ENDPOINT_SILENCE_SECONDS:
                del self._dropped_at_by_id[endpoint_id]
                self._is_reread_due = True

    def take_reread_due(self):
        """Tell once whether the aggregator has to send all records again.

        It may hold records of endpoints that this VM has dropped and that
        have not ended.
        """
        with self._lock:
            is_due = self._is_reread_due
            self._is_reread_due = False
        return is_due

    def confirm_alive(self, endpoint):
        """Reset the silence of an endpoint that answered a probe."""
        with self._lock:
            now = self._clock()
            self._probed_at_by_order = {
                key: probed_at
                for key, probed_at in self._probed_at_by_order.items()
                if probed_at > now - ENDPOINT_SILENCE_SECONDS
            }
            if self._endpoints_by_id.get(endpoint.id) == endpoint:
                key = (endpoint.id, endpoint.order)
                self._probed_at_by_order[key] = now

    def has_ended(self, endpoint_id, incarnation=None):
        """Tell whether an endpoint was removed and has not started again.

        Args:
            endpoint_id: id of the endpoint.
            incarnation: its incarnation, or None for the latest one.
        """
        with self._lock:
            ended, _ = self._tombstones_by_id.get(endpoint_id, (0, 0))
            if incarnation is not None:
                return incarnation <= ended
            return bool(ended) and endpoint_id not in self._endpoints_by_id

    def drop_endpoint(self, endpoint):
        """Remove an endpoint that did not answer a probe.

        A tombstone keeps its last announcement from bringing it back. There
        is none for an endpoint of no named pool, as an endpoint of one may
        have its id.
        """
        with self._lock:
            known = self._endpoints_by_id.get(endpoint.id)
            if known is None or known.order != endpoint.order:
                return
            del self._endpoints_by_id[endpoint.id]
            self._member_news_at_by_id.pop(endpoint.id, None)
            if self.is_named(endpoint):
                self._tombstones_by_id[endpoint.id] = endpoint.order
                self._dropped_at_by_id[endpoint.id] = self._clock()
        events.emit(events.ENDPOINT_EXPIRED, endpoint=endpoint.id)

    def drop_replaced(self, endpoint, found_id):
        """Remove an endpoint at whose address another instance answers.

        Those that had started there before it have ended before it, but for
        those that leave: they get no requests and end what they have.

        Args:
            endpoint: the ``Endpoint``.
            found_id: id of the instance that answers.
        """
        for other in self.endpoints():
            if (
                other.address == endpoint.address
                and other.incarnation <= endpoint.incarnation
                and other.id != found_id
                and not other.leaving
            ):
                self.drop_endpoint(other)

    def _is_outdated(self, endpoint, known):
        if self.is_named(endpoint) and not self.is_named(known):
            return False
        return endpoint.order <= known.order

    def _log_change(self, endpoint):
        event = events.ENDPOINT_SEEN
        if endpoint.leaving:
            event = events.ENDPOINT_LEAVING
        events.emit(
            event,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            address=endpoint.address,
            software=endpoint.software_version,
            is_named=self.is_named(endpoint),
        )


def _must_spread(known, endpoint):
    return (
        known.incarnation != endpoint.incarnation
        or known.leaving != endpoint.leaving
        or known.weights_version != endpoint.weights_version
        or known.address != endpoint.address
    )
