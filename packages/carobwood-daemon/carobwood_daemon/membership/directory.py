"""Tables of the VMs and endpoints that this VM knows of."""

import dataclasses

from carobwood import clocks
from carobwood import events
from carobwood.gen.links import ttypes

from . import endpoint_table

# Time without a message after which a VM counts as silent.
VM_SILENCE_SECONDS = 2.0
# Time after which a VM that is silent and has no disk is forgotten.
VM_FORGET_SECONDS = 120.0
# Silence of a VM after which its return is news: others may have forgotten it
# by the time that they hear of it.
VM_NEWS_AGAIN_SECONDS = VM_FORGET_SECONDS / 2
# Minimum time between two rosters that differ only in versions of the
# replicated state.
ROSTER_VERSIONS_SECONDS = 5.0


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
        takes_callers: whether it is an entry VM of the relay.
        last_seen_at: time of its last message by ``clocks.now``, in seconds;
            0.0 if it has sent none. In the result of ``Directory.vms``, time
            of the last message by which it was known to be alive.
        version: latest version of the replicated state that it reported.
        is_member: whether its messages come as a member of this VM's group.
        forward_address: ``host:port`` at which it takes requests that other
            VMs forward, or empty.
        features: names of the parts of the product that its build knows
            beyond those that every build knows.
    """

    id: str
    data_centre: str
    link_address: str
    operator_address: str
    incarnation: int
    has_disk: bool
    takes_callers: bool = False
    last_seen_at: float = 0.0
    version: int = 0
    is_member: bool = False
    forward_address: str = ''
    features: frozenset[str] = frozenset()

    def is_silent(self, now):
        """Tell whether the VM has sent no message for a while.

        Args:
            now: current time by ``clocks.now``, in seconds.
        """
        return now - self.last_seen_at > VM_SILENCE_SECONDS


class Directory(endpoint_table.EndpointTable):
    """Tables of VMs and endpoints, merged from gossip and announcements.

    A member gets messages only from its aggregator, and an aggregator only
    from its members and other aggregators. Of all other VMs they know by
    rosters: a VM is alive if it is on the roster of an aggregator that is.
    """

    def __init__(self, own_vm, seeds, clock=clocks.now):
        super().__init__(clock)
        self._own_vm = own_vm
        self._seeds = tuple(seeds)
        self._vms_by_id = {}
        self._vm_listeners = []
        self._roster_listeners = []
        self._rosters_by_id = {}
        self._roster_number = 0
        self._roster_sent_at = float('-inf')
        self._last_live_at_by_id = {}
        self._reviewed_at = clock()
        # Whether this VM aggregates the reports of others.
        self._is_aggregator = True

    @property
    def own_vm(self):
        """The ``Vm`` that describes this VM."""
        return self._own_vm

    def on_vm_change(self, listener):
        """Call ``listener(vm_id)`` after each start of a VM."""
        self._vm_listeners.append(listener)

    def on_roster_change(self, listener):
        """Call ``listener(aggregator_id)`` after each change of a roster."""
        self._roster_listeners.append(listener)

    @property
    def seeds(self):
        """Link addresses of VMs that the settings name."""
        return self._seeds

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

    def data_centres_by_address(self):
        """Return the data centres of all known VMs by link address."""
        with self._lock:
            vms = [self._own_vm, *self._vms_by_id.values()]
            return {vm.link_address: vm.data_centre for vm in vms}

    def add_seeds(self, seeds):
        """Add seeds: link addresses of VMs that the settings name."""
        with self._lock:
            self._seeds = tuple(sorted(set(self._seeds) | set(seeds)))

    def vms(self):
        """Return all known VMs, this one first."""
        with self._lock:
            live_at_by_id = self._live_at_by_id()
            others = [
                dataclasses.replace(
                    vm, last_seen_at=live_at_by_id.get(vm.id, vm.last_seen_at)
                )
                for vm in self._vms_by_id.values()
            ]
        own = dataclasses.replace(self._own_vm, last_seen_at=self._clock())
        return [own] + others

    def entry_vms(self):
        """Return the entry VMs that are not silent, this one included."""
        limit = self._clock() - VM_SILENCE_SECONDS
        own = [self._own_vm] if self._own_vm.takes_callers else []
        with self._lock:
            live_at_by_id = self._live_at_by_id()
            return own + [
                vm
                for vm in self._vms_by_id.values()
                if vm.takes_callers and live_at_by_id.get(vm.id, 0.0) >= limit
            ]

    def members(self):
        """Return the VMs that are members of the group of this VM."""
        now = self._clock()
        with self._lock:
            return [
                vm
                for vm in self._vms_by_id.values()
                if vm.is_member and not vm.is_silent(now)
            ]

    def find_vm(self, vm_id):
        """Return the ``Vm`` of another VM, or None if it is unknown."""
        with self._lock:
            return self._vms_by_id.get(vm_id)

    def find_roster(self, aggregator_id):
        """Return the thrift ``Roster`` of an aggregator, or None."""
        with self._lock:
            return self._rosters_by_id.get(aggregator_id)

    def note_message(self, vm, version, is_member=False):
        """Merge the descriptor of a VM that has sent a message to this one.

        Args:
            vm: the ``Vm``.
            version: version of the replicated state that it reported.
            is_member: whether it is a member of the group of this VM.
        """
        with self._lock:
            if vm.id == self._own_vm.id:
                self._exceed_incarnation(vm)
                return
            known = self._vms_by_id.get(vm.id)
            if known is not None and known.incarnation > vm.incarnation:
                return
            is_back = self._note_return(vm)
            self._vms_by_id[vm.id] = dataclasses.replace(
                vm,
                last_seen_at=self._clock(),
                version=version,
                is_member=is_member,
            )
        self._announce_start(vm, None if is_back else known)

    def merge_vm(self, vm):
        """Merge a VM's descriptor that another VM sent."""
        with self._lock:
            if vm.id == self._own_vm.id:
                self._exceed_incarnation(vm)
                return
            known = self._vms_by_id.get(vm.id)
            if known is not None and known.incarnation > vm.incarnation:
                return
            is_back = self._note_return(vm)
            if known is None or known.incarnation < vm.incarnation:
                self._vms_by_id[vm.id] = vm
            else:
                self._add_features(known, vm)
        self._announce_start(vm, None if is_back else known)

    def _note_return(self, vm):
        """Note that a VM has come back if it was silent for long.

        Returns:
            Whether others may have forgotten it.
        """
        now = self._clock()
        last_live_at = self._last_live_at_by_id.get(vm.id, now)
        is_back = now - last_live_at > VM_NEWS_AGAIN_SECONDS
        if is_back:
            # No roster may tell of it yet.
            self._last_live_at_by_id[vm.id] = now
        return is_back

    def _add_features(self, known, vm):
        """Add features that an aggregator of an older build had dropped."""
        if known.incarnation == vm.incarnation and vm.features:
            self._vms_by_id[vm.id] = dataclasses.replace(
                known, features=vm.features
            )

    def merge_roster(self, roster):
        """Merge the thrift ``Roster`` of another aggregator."""
        with self._lock:
            known = self._rosters_by_id.get(roster.aggregator_id)
            if roster.aggregator_id == self._own_vm.id:
                return
            if known is not None and _order(known) >= _order(roster):
                return
            self._rosters_by_id[roster.aggregator_id] = roster
            for entry in (*roster.members, *roster.peers):
                vm = self._vms_by_id.get(entry.vm_id)
                if vm is not None and entry.version > vm.version:
                    self._vms_by_id[entry.vm_id] = dataclasses.replace(
                        vm, version=entry.version
                    )
        for listener in self._roster_listeners:
            listener(roster.aggregator_id)

    def review_vms(self, is_aggregator):
        """Publish a new roster if it has changed, and forget lost VMs.

        Args:
            is_aggregator: whether this VM aggregates.
        """
        self._is_aggregator = is_aggregator
        with self._lock:
            self._require_reread_after_pause()
            self._forget_lost_vms()
            has_changed = is_aggregator and self._update_roster()
        if has_changed:
            for listener in self._roster_listeners:
                listener(self._own_vm.id)

    def _require_reread_after_pause(self):
        """Note that this VM may forget VMs that are alive.

        It has not run for long, and heard of none meanwhile.
        """
        now = self._clock()
        if now - self._reviewed_at > VM_NEWS_AGAIN_SECONDS:
            self._is_reread_due = True
        self._reviewed_at = now

    def _update_roster(self):
        """Replace this VM's roster if it has changed; return whether so."""
        now = self._clock()
        heard = [
            vm for vm in self._vms_by_id.values() if not vm.is_silent(now)
        ]
        members = [vm for vm in heard if vm.is_member]
        peers = [vm for vm in heard if not vm.is_member]
        roster = ttypes.Roster(
            self._own_vm.id,
            self._own_vm.incarnation,
            self._roster_number,
            [ttypes.RosterEntry(vm.id, vm.version) for vm in members],
            [ttypes.RosterEntry(vm.id, vm.version) for vm in peers],
        )
        known = self._rosters_by_id.get(self._own_vm.id)
        if known == roster:
            return False
        has_same_vms = known is not None and _vm_ids(known) == _vm_ids(roster)
        age = now - self._roster_sent_at
        if has_same_vms and age < ROSTER_VERSIONS_SECONDS:
            return False
        self._roster_sent_at = now
        self._roster_number += 1
        roster.number = self._roster_number
        self._rosters_by_id[self._own_vm.id] = roster
        return True

    def _forget_lost_vms(self):
        now = self._clock()
        live_at_by_id = self._live_at_by_id()
        for vm in list(self._vms_by_id.values()):
            live_at = live_at_by_id.get(vm.id, 0.0)
            last_live_at = max(
                live_at, self._last_live_at_by_id.setdefault(vm.id, now)
            )
            self._last_live_at_by_id[vm.id] = last_live_at
            if now - last_live_at > VM_FORGET_SECONDS and not vm.has_disk:
                del self._vms_by_id[vm.id]
                del self._last_live_at_by_id[vm.id]

    def _live_at_by_id(self):
        """Return when each VM was last known to be alive.

        An aggregator trusts the rosters of the aggregators that it hears. A
        member trusts the rosters of all that its own aggregator hears.
        """
        now = self._clock()
        live_at_by_id = {}
        heard = [
            vm for vm in self._vms_by_id.values() if not vm.is_silent(now)
        ]
        for vm in heard:
            self._add_live(live_at_by_id, vm.id, vm.last_seen_at)
            roster = self._rosters_by_id.get(vm.id)
            if vm.is_member or roster is None:
                continue
            for entry in roster.members:
                self._add_live(live_at_by_id, entry.vm_id, vm.last_seen_at)
            if self._is_aggregator:
                continue
            for peer in roster.peers:
                self._add_live(live_at_by_id, peer.vm_id, vm.last_seen_at)
                peer_roster = self._rosters_by_id.get(peer.vm_id)
                for entry in peer_roster.members if peer_roster else ():
                    self._add_live(live_at_by_id, entry.vm_id, vm.last_seen_at)
        return live_at_by_id

    @staticmethod
    def _add_live(live_at_by_id, vm_id, live_at):
        known_at = live_at_by_id.get(vm_id, live_at)
        live_at_by_id[vm_id] = max(known_at, live_at)

    def _announce_start(self, vm, known):
        if known is not None and known.incarnation == vm.incarnation:
            return
        if known is None:
            events.emit(events.VM_SEEN, vm=vm.id, address=vm.link_address)
        else:
            self._log_restart(vm, known)
        for listener in self._vm_listeners:
            listener(vm.id)

    def _log_restart(self, vm, known):
        with self._lock:
            live_at = self._last_live_at_by_id.get(vm.id)
        live_at = max(live_at or 0.0, known.last_seen_at)
        events.emit(
            events.VM_RESTARTED,
            vm=vm.id,
            former=known.incarnation,
            incarnation=vm.incarnation,
            heard=round(self._clock() - live_at, 2) if live_at else None,
        )

    def _exceed_incarnation(self, vm):
        # Gossip still carries an earlier start of this VM. If it has the
        # greater incarnation, the wall clock was stepped back in between:
        # exceed it, or peers would ignore this start.
        if vm.incarnation > self._own_vm.incarnation:
            self._own_vm = dataclasses.replace(
                self._own_vm, incarnation=vm.incarnation + 1
            )


def _order(roster):
    return (roster.incarnation, roster.number)


def _vm_ids(roster):
    return (
        {entry.vm_id for entry in roster.members},
        {entry.vm_id for entry in roster.peers},
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
        bool(descriptor.takes_callers),
        forward_address=descriptor.forward_address or '',
        features=frozenset(descriptor.features or ()),
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
        vm.takes_callers,
        vm.forward_address,
        sorted(vm.features) or None,
    )
