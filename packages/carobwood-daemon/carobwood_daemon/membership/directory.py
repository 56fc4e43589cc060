"""Tables of the VMs and endpoints that this VM knows of."""

import dataclasses
import threading

from carobwood import clocks
from carobwood import events
from carobwood.gen.links import ttypes

# Time without a message after which a VM counts as silent.
VM_SILENCE_SECONDS = 2.0
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
        weights_version: version of the weights that it has loaded; empty
            if it is no engine.
        leaving: whether it asks for no new requests.
        running: number of requests that it runs.
        waiting: number of requests that it queues.
        last_seen_at: time of the announcement by ``clocks.now``, in seconds.
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

    @property
    def order(self):
        """Key that grows with each announcement of the endpoint."""
        return (self.incarnation, self.sequence)


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM of the fleet.

    Attributes:
        id: name of the VM.
        data_centre: data centre that it runs in.
        link_address: ``host:port`` of its listener for links.
        operator_address: ``host:port`` of the operators' API.
        incarnation: number that grows with each start.
        has_disk: whether it has a data folder.
        last_seen_at: time of its last message by ``clocks.now``, in seconds;
            0.0 if it has sent none.
        version: latest version of the replicated state that it reported.
    """

    id: str
    data_centre: str
    link_address: str
    operator_address: str
    incarnation: int
    has_disk: bool
    last_seen_at: float = 0.0
    version: int = 0

    def is_silent(self, now):
        """Tell whether the VM has sent no message for a while.

        Args:
            now: current time by ``clocks.now``, in seconds.
        """
        return now - self.last_seen_at > VM_SILENCE_SECONDS


class Directory:
    """Tables of VMs and endpoints, merged from gossip and announcements."""

    def __init__(self, own_vm, seeds, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._own_vm = own_vm
        self._seeds = tuple(seeds)
        self._vms_by_id = {}
        self._endpoints_by_id = {}
        self._tombstones_by_id = {}
        self._announced_here_at_by_id = {}
        self._listeners = []

    @property
    def own_vm(self):
        """The ``Vm`` that describes this VM."""
        return self._own_vm

    def on_endpoint_change(self, listener):
        """Call ``listener(endpoint)`` after each change to gossip at once.

        A change of ``running`` or ``waiting`` alone does not count.
        """
        self._listeners.append(listener)

    def peer_addresses(self):
        """Return the link addresses of all other VMs."""
        with self._lock:
            known = {vm.link_address for vm in self._vms_by_id.values()}
        own = self._own_vm.link_address
        return sorted((known | set(self._seeds)) - {own})

    def disk_addresses(self):
        """Return the link addresses of VMs that may hold a replicated log.

        These are the VMs with a data folder. If none is known, the seeds.
        """
        with self._lock:
            found = [
                vm.link_address
                for vm in self._vms_by_id.values()
                if vm.has_disk
            ]
        return found or list(self._seeds)

    def add_seeds(self, seeds):
        """Add seeds: link addresses of VMs that the settings name."""
        with self._lock:
            self._seeds = tuple(sorted(set(self._seeds) | set(seeds)))

    def live_disk_addresses(self):
        """Return the ``disk_addresses`` of VMs that are not silent.

        If all of them are silent, all are returned.
        """
        now = self._clock()
        with self._lock:
            live = [
                vm.link_address
                for vm in self._vms_by_id.values()
                if vm.has_disk and not vm.is_silent(now)
            ]
        return live or self.disk_addresses()

    def vms(self):
        """Return all known VMs, this one included."""
        with self._lock:
            others = list(self._vms_by_id.values())
        own = dataclasses.replace(self._own_vm, last_seen_at=self._clock())
        return [own] + others

    def merge_vm(self, vm, is_from_sender, version=0):
        """Merge a VM's descriptor.

        Args:
            vm: the ``Vm``.
            is_from_sender: whether the VM itself sent the message.
            version: version of the replicated state that it reported.
        """
        with self._lock:
            if vm.id == self._own_vm.id:
                self._exceed_incarnation(vm)
                return
            known = self._vms_by_id.get(vm.id)
            if known is not None and known.incarnation > vm.incarnation:
                return
            last_seen_at = known.last_seen_at if known else 0.0
            if is_from_sender:
                last_seen_at = self._clock()
            version = max(version, known.version if known else 0)
            self._vms_by_id[vm.id] = dataclasses.replace(
                vm, last_seen_at=last_seen_at, version=version
            )
        if known is None:
            events.emit(events.VM_SEEN, vm=vm.id, address=vm.link_address)

    def merge_endpoint(self, endpoint, is_direct=False):
        """Merge an announcement.

        Args:
            endpoint: the ``Endpoint``.
            is_direct: whether the endpoint announced itself to this VM,
                rather than to another one.

        Returns:
            Whether it was newer than the known announcement.
        """
        with self._lock:
            if is_direct:
                self._announced_here_at_by_id[endpoint.id] = self._clock()
            known = self._endpoints_by_id.get(endpoint.id)
            tombstone = self._tombstones_by_id.get(endpoint.id, (0, 0))
            if endpoint.order <= tombstone:
                return False
            if known is not None and endpoint.order <= known.order:
                return False
            self._endpoints_by_id[endpoint.id] = endpoint
            changed = known is None or _must_spread(known, endpoint)
        if changed:
            self._log_change(endpoint)
            for listener in self._listeners:
                listener(endpoint)
        return True

    def announces_to_this_vm(self, endpoint):
        """Tell whether an endpoint announces itself to this VM."""
        announced_at = self._announced_here_at_by_id.get(
            endpoint.id, float('-inf')
        )
        return self._clock() - announced_at < ENDPOINT_SILENCE_SECONDS

    def endpoints(self):
        """Return all known endpoints."""
        with self._lock:
            return list(self._endpoints_by_id.values())

    def serving_endpoints(self):
        """Return the endpoints that take work, one for each address.

        A new endpoint may reuse the address of one that ended without
        announcing it, so the one that started last at an address counts.
        """
        newest_by_address = {}
        for endpoint in self.endpoints():
            known = newest_by_address.get(endpoint.address)
            if known is None or known.incarnation < endpoint.incarnation:
                newest_by_address[endpoint.address] = endpoint
        return [e for e in newest_by_address.values() if not e.leaving]

    def find_endpoint(self, endpoint_id):
        """Return an endpoint by id, or None."""
        with self._lock:
            return self._endpoints_by_id.get(endpoint_id)

    def silent_endpoints(self):
        """Return the endpoints whose announcements have stopped."""
        limit = self._clock() - ENDPOINT_SILENCE_SECONDS
        return [e for e in self.endpoints() if e.last_seen_at < limit]

    def confirm_alive(self, endpoint):
        """Reset the silence of an endpoint that answered a probe."""
        with self._lock:
            if self._endpoints_by_id.get(endpoint.id) == endpoint:
                self._endpoints_by_id[endpoint.id] = dataclasses.replace(
                    endpoint, last_seen_at=self._clock()
                )

    def drop_endpoint(self, endpoint):
        """Remove an endpoint that did not answer a probe.

        A tombstone keeps its last announcement from bringing it back.
        """
        with self._lock:
            known = self._endpoints_by_id.get(endpoint.id)
            if known is None or known.order != endpoint.order:
                return
            del self._endpoints_by_id[endpoint.id]
            self._tombstones_by_id[endpoint.id] = endpoint.order
        events.emit(events.ENDPOINT_EXPIRED, endpoint=endpoint.id)

    def _exceed_incarnation(self, vm):
        # Gossip still carries an earlier start of this VM. If it has the
        # greater incarnation, the wall clock was stepped back in between:
        # exceed it, or peers would ignore this start.
        if vm.incarnation > self._own_vm.incarnation:
            self._own_vm = dataclasses.replace(
                self._own_vm, incarnation=vm.incarnation + 1
            )

    def _log_change(self, endpoint):
        event = events.ENDPOINT_SEEN
        if endpoint.leaving:
            event = events.ENDPOINT_LEAVING
        events.emit(
            event,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            address=endpoint.address,
        )


def _must_spread(known, endpoint):
    return (
        known.incarnation != endpoint.incarnation
        or known.leaving != endpoint.leaving
        or known.weights_version != endpoint.weights_version
        or known.address != endpoint.address
    )


def vm_from_thrift(descriptor):
    """Return the ``Vm`` of a thrift descriptor."""
    return Vm(
        descriptor.vm_id,
        descriptor.data_centre,
        descriptor.link_address,
        descriptor.operator_address,
        descriptor.incarnation,
        bool(descriptor.has_disk),
    )


def vm_to_thrift(vm):
    """Return the thrift descriptor of a ``Vm``."""
    return ttypes.VmDescriptor(
        vm.id,
        vm.data_centre,
        vm.link_address,
        vm.operator_address,
        vm.incarnation,
        vm.has_disk,
    )
