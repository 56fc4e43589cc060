"""A service that is rolled out, without a network: VMs, owners, endpoints."""

import dataclasses
import random

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory as directories
from carobwood_daemon.observe import metrics
from carobwood_daemon import relay_settings
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import state_store
from carobwood_daemon.rollouts import evidence
from carobwood_daemon.rollouts import owner
from carobwood_daemon.rollouts import rollout_tracker
from carobwood_platform import dialect
import relay_builders
import rollout_builders as builders

LIMITS = relay_settings.RolloutLimits(0.1, 50.0, 5.0)
TICK_SECONDS = 0.05
REPORT_TICKS = 5
OWNER_TICKS = 2
# Time after which VMs learn of a change of the replicated state.
SPREAD_SECONDS = 0.3
ANSWER_SECONDS = 0.1
FORMER = 'v1'
TARGET = 'v2'


@dataclasses.dataclass(frozen=True)
class Fault:
    """What is wrong with the target version.

    Attributes:
        failure_share: part of its answers that fail.
        factor: by how much its answers take longer.
        after: seconds after the order at which it begins.
        from_rate: requests a second that it must get for it.
    """

    failure_share: float = 0.0
    factor: float = 1.0
    after: float = 0.0
    from_rate: float = 0.0


class Replica:
    """Stands for the ``ReplicaRunner`` and the replica of one leader."""

    is_running = True
    leader_address = 'core-9:1'

    def __init__(self, simulation, term):
        self._simulation = simulation
        self.term = term
        self.replica = self

    @property
    def is_leader(self):
        """Whether no later leader was elected."""
        return self.term == self._simulation.term

    def holds_lease(self):
        """Tell whether it leads."""
        return self.is_leader and self._simulation.has_quorum

    def propose(self, payloads, timeout):
        """Commit commands if it leads."""
        del timeout
        if not self.holds_lease():
            raise errors.NotLeader('')
        return [self._simulation.commit(payload) for payload in payloads]


class EntryVm:
    """An entry VM that sends requests to the versions of a service.

    Attributes:
        vm: its ``Vm``.
        is_cut_off: whether it reaches no control VM.
        exposed: requests that it sent to the target.
        sent: requests that it sent.
    """

    def __init__(self, simulation, name, rate):
        self.vm = builders.vm(name)
        self.is_cut_off = False
        self.exposed = 0
        self.sent = 0
        self._simulation = simulation
        self._rate = rate
        self._units = []
        self._share = 0.0
        self._share_ends_at = 0.0
        self._results_by_version = {
            FORMER: evidence.RouteResults(),
            TARGET: evidence.RouteResults(),
        }
        self._last_record = None
        self._number = 0

    def serve(self):
        """Send the requests of a tick."""
        rng = self._simulation.random
        if not self.is_cut_off:
            self._last_record = self._simulation.seen_record
        for _ in range(int(self._rate * TICK_SECONDS + rng.random())):
            version = self._choose_version()
            self.sent += 1
            if version == TARGET:
                self.exposed += 1
            answer = self._simulation.answer(version)
            self._results_by_version[version] = self._results_by_version[
                version
            ].plus(answer)

    def report(self):
        """Report to the owner and take its grants."""
        record = self._last_record
        if self.is_cut_off or record is None or record.has_ended:
            return
        self._number += 1
        report = ttypes.RolloutReport(
            self.vm.id,
            self.vm.incarnation,
            self._number,
            [
                ttypes.VersionResults(
                    record.service,
                    version,
                    builders.ROUTE,
                    results.sent,
                    results.succeeded,
                    results.failed,
                    list(results.times),
                    list(results.pauses),
                    results.in_flight,
                )
                for version, results in self._results_by_version.items()
            ],
            {record.index: round(self._rate + 0.5)},
            {record.index: record.phase},
        )
        reply = self._simulation.owner.report_rollouts(report)
        for grant in reply.grants if reply.is_owner else ():
            self._take(grant)

    def _take(self, grant):
        ends_at = self._simulation.clock.now + grant.valid_ms / 1000
        if grant.requests == rollout_tracker.NO_COUNT:
            self._share, self._share_ends_at = grant.share, ends_at
        else:
            self._units += [ends_at] * grant.requests

    def _choose_version(self):
        now = self._simulation.clock.now
        self._units = [ends_at for ends_at in self._units if ends_at > now]
        match self._last_record and self._last_record.phase:
            case 'canary':
                return TARGET if self._units and self._units.pop() else FORMER
            case 'shifting':
                if now < self._share_ends_at:
                    is_drawn = self._simulation.random.random() < self._share
                    return TARGET if is_drawn else FORMER
            case 'settling' | 'succeeded':
                return TARGET
        return FORMER


class Simulation:
    """A fleet in which v2 of a service is rolled out.

    Attributes:
        clock: the simulated clock.
        random: source of random numbers.
        vms: the ``EntryVm`` objects.
        owner: the ``RolloutOwner`` of the present leader.
        term: its term.
        has_quorum: whether it can commit.
        seen_record: the ``RolloutRecord`` that VMs in touch know.
        phases: the phases that were committed, in their order.
        configuration: the configuration in force.
    """

    def __init__(self, seed=1, vm_count=8, rate=200.0, ramp=10.0, fault=None):
        self.clock = relay_builders.Clock()
        self.random = random.Random(seed)
        self.term = 0
        self.has_quorum = True
        self.seen_record = None
        self.phases = []
        self.fault = fault or Fault()
        self.configuration = dialect.PlatformDialect().parse_configuration(
            relay_builders.configuration_body()
        )
        self.store = state_store.StateStore()
        self._spreading = []
        self._ticks = 0
        self._exposed_lately = []
        self.directory = directories.Directory(
            builders.vm('core-0', takes_callers=False), (), self.clock
        )
        self.vms = [
            EntryVm(self, f'front-{number}', rate / vm_count)
            for number in range(vm_count)
        ]
        self.announce(FORMER)
        self.announce(TARGET)
        self.elect()
        self.owner.run_once()
        self._ordered_at = self.clock.now
        self._ramp = ramp
        order = commands.StartRollout(
            builders.SERVICE, TARGET, int(ramp * 1000)
        )
        self.commit(commands.encode(order))

    @property
    def record(self):
        """The committed ``RolloutRecord``."""
        return self.store.fleet.rollouts_by_service[builders.SERVICE]

    @property
    def sent(self):
        """Requests that all VMs have sent."""
        return sum(vm.sent for vm in self.vms)

    @property
    def exposed(self):
        """Requests that the target version got."""
        return sum(vm.exposed for vm in self.vms)

    def announce(self, version):
        """Let an endpoint of a version join."""
        self.directory.merge_endpoint(
            relay_builders.endpoint(
                f'engine-{version}',
                address=f'10.0.0.{version[1:]}:8000',
                software_version=version,
            )
        )

    def elect(self):
        """Let another VM lead, which knows nothing but the log."""
        self.term += 1
        self.owner = owner.RolloutOwner(
            Replica(self, self.term),
            self.store,
            self.directory,
            self,
            metrics.Metrics(),
            LIMITS,
            self.clock,
        )

    def commit(self, payload):
        """Apply a command and return its encoded result."""
        command = commands.decode_command(payload)
        index = self.store.version + 1
        fleet, result = self.store.fleet.apply(index, command)
        self.store.update(fleet, ((index, payload),))
        seen_at = self.clock.now + SPREAD_SECONDS
        self._spreading.append((seen_at, self.record))
        if not self.phases or self.phases[-1] != self.record.phase:
            self.phases.append(self.record.phase)
        return commands.encode(result)

    def answer(self, version):
        """Return the ``RouteResults`` of one request to a version."""
        seconds = ANSWER_SECONDS * self.random.lognormvariate(0, 0.4)
        if version == FORMER:
            return builders.results([seconds])
        self._exposed_lately.append(self.clock.now)
        if self._has_fault():
            if self.random.random() < self.fault.failure_share:
                return builders.results(failed=1)
            seconds *= self.fault.factor
        return builders.results([seconds])

    def run(self, seconds, each_tick=lambda: None):
        """Play some seconds, or until the rollout has ended."""
        for _ in range(int(seconds / TICK_SECONDS)):
            self.step()
            each_tick()
            if self.record.has_ended:
                return

    def step(self):
        """Play one tick."""
        self.clock.advance(TICK_SECONDS)
        self._ticks += 1
        while self._spreading and self._spreading[0][0] <= self.clock.now:
            self.seen_record = self._spreading.pop(0)[1]
        for number, vm in enumerate(self.vms):
            vm.serve()
            if not vm.is_cut_off:
                self.directory.note_message(vm.vm, 0)
            if (self._ticks + number) % REPORT_TICKS == 0:
                vm.report()
        if self._ticks % OWNER_TICKS == 0:
            self.owner.run_once()

    def _has_fault(self):
        now = self.clock.now
        lately = [at for at in self._exposed_lately if now - at < 1.0]
        self._exposed_lately = lately
        return (
            now - self._ordered_at >= self.fault.after
            and len(lately) >= self.fault.from_rate
        )
