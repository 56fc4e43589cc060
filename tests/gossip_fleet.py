"""A fleet of VMs that gossip in one thread, in simulated time.

Messages are passed by calls; no socket is opened. Links between VMs may be
cut, and VMs may be stopped or frozen.
"""

import concurrent.futures

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import gossip
from carobwood_daemon.membership import gossip_peers
from carobwood_daemon.membership import leaving_confirmation
from carobwood_daemon.membership import withdrawals
from carobwood_daemon.relay import control_operations
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import gossip_topic
from carobwood_daemon.relay import past_usage
from carobwood_daemon.relay import quota
from carobwood_daemon.replication import state_store
from carobwood_daemon.routing import crash_suspects
from carobwood_daemon.routing import prefix_cache_index
import relay_builders as builders
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

STEP_SECONDS = 0.05
WINDOW_SECONDS = 8.0
# Control VMs that may be lost at the same time.
TOLERATED_LOSSES = 1


class GossipVm:
    """One VM: its tables, its gossip, and the exchanges that are due.

    Attributes:
        address: its link address.
        control: the operations that endpoints call on it.
        calls: number of calls that it has made.
        served: number of calls that it has served.
        sent_bytes: size of the messages and replies that it has sent.
        received_bytes: size of those that it has received.
    """

    def __init__(self, fleet, own_vm, seeds):
        self.own_vm = own_vm
        self.address = own_vm.link_address
        self.directory = directory.Directory(own_vm, seeds, fleet.clock)
        self.loads = fleet_loads.FleetLoads(fleet.clock)
        self.withdrawals = withdrawals.Withdrawals()
        self.crash_suspects = crash_suspects.CrashSuspects(fleet.clock)
        self.prefix_cache_index = prefix_cache_index.PrefixCacheIndex(
            fleet.clock
        )
        self.quota = quota.FleetQuota(
            builders.tolerance(), fleet.is_first_start, fleet.clock
        )
        self.quota.set_limits([builders.customer()])
        self.past_usage_table = past_usage.PastUsageTable(
            WINDOW_SECONDS, fleet.clock
        )
        topic = gossip_topic.RelayGossipTopic(
            self.directory,
            self.loads,
            self.quota,
            self.past_usage_table,
            WINDOW_SECONDS,
            lambda: None,
        )
        self.gossip = gossip.Gossip(
            self.directory,
            self.withdrawals,
            self.crash_suspects,
            self.prefix_cache_index,
            state_store.StateStore(),
            FakeLinks(fleet, self),
            topics=(topic,),
        )
        self.gossip._uplink._search._executor = SynchronousExecutor()
        self.gossip.leader_contact_age = lambda: fleet.leader_contact_age(
            own_vm
        )
        confirmation = leaving_confirmation.LeavingConfirmation(
            self.directory, self.gossip.send_endpoint, TOLERATED_LOSSES
        )
        self.control = control_operations.ControlOperations(
            None,
            self.directory,
            None,
            engine_weights.EngineWeights(),
            confirmation.confirm,
            is_cut_off=self.gossip.is_cut_off,
        )
        self.calls = 0
        self.served = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._due_at_by_thread = {}
        self._check_due_at = 0.0

    @property
    def peers(self):
        """The threads that exchange messages with other aggregators."""
        return list(self.gossip._peers_by_address.values())

    def step(self, now):
        """Do the exchanges that are due."""
        if now >= self._check_due_at:
            self._check_due_at = now + gossip.CHECK_PERIOD_SECONDS
            self.gossip._check_peers()
        for thread in (self.gossip._uplink, *self.peers):
            due_at = self._due_at_by_thread.get(id(thread), 0.0)
            if now >= due_at or thread._is_woken:
                thread._is_woken = False
                thread.exchange()
                self._due_at_by_thread[id(thread)] = now + thread.period

    def live_ids(self, now):
        """Return the ids of the VMs that it takes for alive."""
        return {vm.id for vm in self.directory.vms() if not vm.is_silent(now)}


class SynchronousExecutor:
    """Runs what it is given at once, on the thread that asks for it."""

    def submit(self, function, *arguments):
        """Call a function and return a future that is done."""
        future = concurrent.futures.Future()
        future.set_result(function(*arguments))
        return future


class FakeLinks:
    """Links of one VM, which pass calls to the other VM directly."""

    def __init__(self, fleet, vm):
        self._fleet = fleet
        self._vm = vm

    def to(self, address):
        """Return the link to an address."""
        return FakeLink(self._fleet, self._vm, address)


class FakeLink:
    """A link that passes calls to another VM unless it is cut."""

    def __init__(self, fleet, vm, address):
        self._fleet = fleet
        self._vm = vm
        self.address = address

    def call(self, method, message, timeout, connect_timeout=1.0):
        """Pass a message on and return the reply."""
        assert method == 'gossip'
        self._vm.calls += 1
        target = self._fleet.reachable_vm(self._vm, self.address)
        if target is None:
            raise errors.LinkFailed(f'{self.address}: cut')
        received, size = transmit(message)
        self._vm.sent_bytes += size
        target.received_bytes += size
        reply, size = transmit(target.gossip.receive(received))
        target.served += 1
        target.sent_bytes += size
        self._vm.received_bytes += size
        return reply


class GossipFleet:
    """Control VMs, one in each data centre, and entry VMs.

    Attributes:
        clock: the simulated clock.
        vms_by_id: the running ``GossipVm`` by id.
    """

    def __init__(
        self, monkeypatch, data_centres, entry_vms, is_first_start=True
    ):
        """Create the VMs.

        Args:
            monkeypatch: pytest's fixture; replaces the clock, and keeps
                threads from being started.
            data_centres: number of data centres.
            entry_vms: number of entry VMs of all data centres together.
            is_first_start: whether nothing was admitted before.
        """
        self.clock = builders.Clock(1000.0)
        self.is_first_start = is_first_start
        monkeypatch.setattr(clocks, 'now', self.clock)
        monkeypatch.setattr(
            gossip_peers.GossipThread, 'start', lambda thread: None
        )
        self.vms_by_id = {}
        self._incarnation = 0
        self._cut_data_centres = set()
        self._separated_at_by_id = {}
        self.frozen_ids = set()
        self.has_leader = True
        self._data_centres = data_centres
        for number in range(data_centres):
            self.start(f'core-{number}')
        for number in range(entry_vms):
            self.start(f'front-{number}')

    def start(self, vm_id):
        """Start a VM, or restart it without what it knew."""
        kind, number = vm_id.split('-')
        is_core = kind == 'core'
        self._incarnation += 1
        seeds = tuple(
            _address(f'core-{n}') for n in range(min(3, self._data_centres))
        )
        own_vm = directory.Vm(
            vm_id,
            f'dc-{int(number) % self._data_centres}',
            _address(vm_id),
            '',
            self._incarnation,
            is_core,
            not is_core,
        )
        vm = GossipVm(self, own_vm, seeds)
        self.vms_by_id[vm_id] = vm
        return vm

    def stop(self, vm_id):
        """Stop a VM for good."""
        del self.vms_by_id[vm_id]

    def cut(self, data_centre):
        """Cut a data centre off from the others."""
        self._cut_data_centres.add(data_centre)

    def heal(self, data_centre):
        """Join a data centre with the others again."""
        self._cut_data_centres.discard(data_centre)

    def separate(self, *vm_ids):
        """Cut control VMs off from the other control VMs only.

        The leader of the replicated state is among the others.
        """
        for vm_id in vm_ids:
            self._separated_at_by_id[vm_id] = self.clock.now

    def rejoin(self):
        """End the separation of all control VMs."""
        self._separated_at_by_id.clear()

    def leader_contact_age(self, own_vm):
        """Return what ``Gossip.leader_contact_age`` of a VM returns."""
        if not own_vm.has_disk:
            return None
        if not self.has_leader:
            return self.clock.now
        separated_at = self._separated_at_by_id.get(own_vm.id)
        return 0.0 if separated_at is None else self.clock.now - separated_at

    def reachable_vm(self, vm, address):
        """Return the VM at an address, or None if it cannot be reached."""
        target = self.vms_by_id.get(address.split(':')[0])
        if target is None or target.own_vm.id in self.frozen_ids:
            return None
        if vm.own_vm.has_disk and target.own_vm.has_disk:
            separated = self._separated_at_by_id
            if (vm.own_vm.id in separated) != (target.own_vm.id in separated):
                return None
        ends = {vm.own_vm.data_centre, target.own_vm.data_centre}
        if len(ends) > 1 and ends & self._cut_data_centres:
            return None
        return target

    def run(self, seconds, on_step=lambda: None):
        """Simulate some seconds; ``on_step()`` is called at each step."""
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            self.clock.advance(STEP_SECONDS)
            on_step()
            for vm in list(self.vms_by_id.values()):
                if vm.own_vm.id not in self.frozen_ids:
                    vm.step(self.clock.now)

    def entry_vms(self):
        """Return the running entry VMs."""
        return [
            vm for vm in self.vms_by_id.values() if vm.own_vm.takes_callers
        ]

    def core_vms(self):
        """Return the running control VMs."""
        return [vm for vm in self.vms_by_id.values() if vm.own_vm.has_disk]


def transmit(message):
    """Encode and decode a thrift message.

    Returns:
        The decoded message and its size in bytes.
    """
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    data = buffer.getvalue()
    received = type(message)()
    received.read(
        TCompactProtocol.TCompactProtocolAccelerated(
            TTransport.TMemoryBuffer(data)
        )
    )
    return received, len(data)


def broadcast_message(own_vm, digests):
    """Return a message that carries withdrawn digests only."""
    return ttypes.GossipMessage(
        directory.vm_to_thrift(own_vm),
        0,
        '',
        ttypes.SenderRole.BROADCASTER,
        list(digests),
        ttypes.Records(),
    )


def _address(vm_id):
    return f'{vm_id}:1'
