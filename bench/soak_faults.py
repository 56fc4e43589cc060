"""Faults of a soak, drawn from its seed and injected from outside.

There are four series, whose faults overlap: silences of endpoints, planned
work on entry VMs, kills and pauses of VMs, and restarts of all control VMs,
one after the other or all at once.
"""

import dataclasses
import signal
import threading

import upgrade_rollout

# More steps of a series than a run has time for.
STEPS = 100
SILENCE_SECONDS = (0.9, 2.5)
PAUSE_SECONDS = (0.5, 2.0)
# Pauses of each series between the end of a fault and the next one.
SILENCE_PERIOD_SECONDS = (1.0, 5.0)
PLANNED_PERIOD_SECONDS = (0.5, 2.0)
UNPLANNED_PERIOD_SECONDS = (5.0, 12.0)
CONTROL_PERIOD_SECONDS = (3.0, 8.0)
# Time from a SIGTERM to the silence beside it.
BESIDE_STOP_SECONDS = (-0.5, 3.5)
ALL_SILENT_SHARE = 0.4
RELOAD_SHARE = 0.2
SILENCE_BESIDE_STOP_SHARE = 0.6
# Share of the restarts of all control VMs that are a loss of power.
POWER_SHARE = 0.4
KINDS = (
    'silence',
    'stop',
    'reload',
    'kill',
    'pause',
    'change',
    'core',
    'power',
)


@dataclasses.dataclass(frozen=True)
class Silence:
    """A silence of one or all model endpoints.

    Attributes:
        numbers: numbers of the endpoints.
        seconds: its length.
    """

    numbers: tuple[int, ...]
    seconds: float


@dataclasses.dataclass(frozen=True)
class Stop:
    """A SIGTERM of an entry VM, which is started again.

    Attributes:
        vm_id: its ID.
        silence: the ``Silence`` beside it, or None.
        silence_after: seconds from the SIGTERM to the silence.
    """

    vm_id: str
    silence: Silence | None
    silence_after: float


@dataclasses.dataclass(frozen=True)
class Reload:
    """A SIGHUP of a VM.

    Attributes:
        vm_id: its ID.
    """

    vm_id: str


@dataclasses.dataclass(frozen=True)
class Kill:
    """A kill of a control VM, which is started again.

    Attributes:
        vm_id: its ID.
    """

    vm_id: str


@dataclasses.dataclass(frozen=True)
class Pause:
    """A pause of a VM.

    Attributes:
        vm_id: its ID.
        seconds: its length.
    """

    vm_id: str
    seconds: float


@dataclasses.dataclass(frozen=True)
class Core:
    """Control VMs get SIGTERM and are started again, one after the other.

    Attributes:
        vm_ids: their IDs in this order.
    """

    vm_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Power:
    """All control VMs are killed at once and started again.

    Attributes:
        vm_ids: their IDs.
    """

    vm_ids: tuple[str, ...]


def draw_schedule(rng, kinds, engine_count, entry_ids, control_ids):
    """Return three series of faults, each with the pause before it.

    Args:
        rng: random numbers.
        kinds: those of ``KINDS`` that occur.
        engine_count: number of model endpoints.
        entry_ids: IDs of the entry VMs.
        control_ids: IDs of the control VMs.
    """
    silences = [_draw_silence(rng, engine_count) for _ in range(STEPS)]
    planned = [
        _draw_planned(rng, kinds, engine_count, entry_ids[n % len(entry_ids)])
        for n in range(STEPS)
    ]
    unplanned = [
        _draw_unplanned(rng, kinds, entry_ids, control_ids)
        for _ in range(STEPS)
    ]
    return (
        _steps(
            rng,
            silences if 'silence' in kinds else [],
            *SILENCE_PERIOD_SECONDS,
        ),
        _steps(rng, planned, *PLANNED_PERIOD_SECONDS),
        _steps(rng, unplanned, *UNPLANNED_PERIOD_SECONDS),
    )


def draw_control_series(rng, kinds, control_ids):
    """Return the series of restarts of all control VMs.

    Args:
        rng: random numbers of this series alone.
        kinds: those of ``KINDS`` that occur.
        control_ids: IDs of the control VMs.
    """
    faults = [_draw_control(rng, kinds, control_ids) for _ in range(STEPS)]
    return _steps(rng, faults, *CONTROL_PERIOD_SECONDS)


def _draw_control(rng, kinds, control_ids):
    is_power = rng.random() < POWER_SHARE
    core = Core(tuple(rng.sample(control_ids, len(control_ids))))
    faults_by_kind = {'core': core, 'power': Power(tuple(control_ids))}
    preferred = 'power' if is_power else 'core'
    for kind in (preferred, 'core', 'power'):
        if kind in kinds:
            return faults_by_kind[kind]
    return None


def _steps(rng, faults, shortest, longest):
    return tuple(
        (rng.uniform(shortest, longest), fault)
        for fault in faults
        if fault is not None
    )


def _draw_silence(rng, engine_count):
    numbers = (rng.randrange(engine_count),)
    if rng.random() < ALL_SILENT_SHARE:
        numbers = tuple(range(engine_count))
    return Silence(numbers, rng.uniform(*SILENCE_SECONDS))


def _draw_planned(rng, kinds, engine_count, vm_id):
    silence = _draw_silence(rng, engine_count)
    after = rng.uniform(*BESIDE_STOP_SECONDS)
    draw = rng.random()
    if rng.random() < RELOAD_SHARE and 'reload' in kinds:
        return Reload(vm_id)
    if 'stop' not in kinds:
        return None
    if 'silence' not in kinds or draw > SILENCE_BESIDE_STOP_SHARE:
        silence = None
    return Stop(vm_id, silence, after)


def _draw_unplanned(rng, kinds, entry_ids, control_ids):
    kill = Kill(rng.choice(control_ids))
    vm_id = rng.choice([*entry_ids, *control_ids])
    pause = Pause(vm_id, rng.uniform(*PAUSE_SECONDS))
    faults_by_kind = {'kill': kill, 'pause': pause}
    allowed = [faults_by_kind[k] for k in faults_by_kind if k in kinds]
    return rng.choice(allowed) if allowed else None


class Injector:
    """Injects the series of a schedule until it is told to stop.

    Attributes:
        counts: number of injected faults by the name of their class.
    """

    def __init__(self, site):
        """Create the injector of a ``Site``."""
        self.counts = {}
        self._site = site
        self._ending = threading.Event()
        # Two series restart control VMs.
        self._control_lock = threading.Lock()
        self._rollout = upgrade_rollout.Rollout(
            site.processes, None, site.records, self._ending
        )
        self._threads = []

    def start(self, schedule):
        """Begin all series of a schedule."""
        for steps in schedule:
            self._start_thread(self._run, steps)

    def stop(self):
        """Begin no more faults, and wait until the last ones are over."""
        self._ending.set()
        # A series may add a thread for the silence beside a stop.
        while self._threads:
            self._threads.pop(0).join()

    def _start_thread(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _run(self, steps):
        for wait_seconds, fault in steps:
            if self._ending.wait(wait_seconds):
                return
            name = type(fault).__name__.lower()
            self.counts[name] = self.counts.get(name, 0) + 1
            try:
                self._inject(fault)
            except TimeoutError as error:
                self._site.records.timeouts.append(str(error))

    def _inject(self, fault):
        vms_by_id = self._site.processes.vms_by_id
        match fault:
            case Silence():
                self._silence(fault)
            case Stop():
                self._stop(fault)
            case Reload(vm_id):
                vms_by_id[vm_id].process.send_signal(signal.SIGHUP)
            case Kill(vm_id):
                self._restart_controls([vm_id], signal.SIGKILL)
            case Core(vm_ids):
                self._stop_in_turn(vm_ids)
            case Power(vm_ids):
                self._restart_controls(vm_ids, signal.SIGKILL)
            case Pause(vm_id, seconds):
                self._rollout.pause(vms_by_id[vm_id], seconds)

    def _stop(self, fault):
        if fault.silence is not None:
            self._start_thread(
                self._silence, fault.silence, max(0.0, fault.silence_after)
            )
            self._ending.wait(max(0.0, -fault.silence_after))
        self._restart(fault.vm_id, signal.SIGTERM)

    def _stop_in_turn(self, vm_ids):
        for vm_id in vm_ids:
            if self._ending.is_set():
                return
            self._restart_controls([vm_id], signal.SIGTERM)

    def _restart_controls(self, vm_ids, number):
        with self._control_lock:
            self._rollout.restart_together(
                vm_ids, number, self._site.layout.control_build
            )

    def _restart(self, vm_id, number):
        build = self._site.build_of(self._site.processes.vms_by_id[vm_id])
        self._rollout.restart(vm_id, number, build)

    def _silence(self, silence, after=0.0):
        self._ending.wait(after)
        engines = [self._site.engines[n] for n in silence.numbers]
        self._site.silence(engines, silence.seconds)
