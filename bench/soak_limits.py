"""Cases of streams beside changes, on VMs that are near their limits.

Each starts a site of its own, with streams on kept connections and several
changes of the configuration a second, and prints how the streams ended. No
pause of a VM excuses a stream that has no whole answer.
"""

import argparse
import collections
import dataclasses
import functools
import pathlib
import resource
import sys
import tempfile
import threading

_ROOT = pathlib.Path(__file__).resolve().parents[1]
for _folder in ('tests', 'platform'):
    sys.path.insert(0, str(_ROOT / _folder))

import builds  # noqa: E402 (needs the paths above)
import fleet as fleets  # noqa: E402 (needs the paths above)
import limit_faults  # noqa: E402 (needs the paths above)
import relay_builders  # noqa: E402 (needs the paths above)
import relay_processes  # noqa: E402 (needs the paths above)
import soak_callers  # noqa: E402 (needs the paths above)
import soak_checks  # noqa: E402 (needs the paths above)
import soak_site  # noqa: E402 (needs the paths above)
import upgrade_checks  # noqa: E402 (needs the paths above)

CHANGE_PERIOD_SECONDS = 0.3
JOIN_SECONDS = 60.0
# Events of the streams, one each ``soak_site.EVENT_SECONDS``.
EVENT_COUNTS = range(10, 31)
KIBIBYTE = 1024
SECONDS = 15.0
# Lines of a case in which all streams were whole or refused.
TABLE_LINES = 3
# Ends of streams that VMs may not bring about.
BAD_ENDS = {'cut', 'no answer', 'whole with a gap'}


@dataclasses.dataclass(frozen=True)
class Case:
    """What is short, and what goes on beside the streams.

    Attributes:
        name: name in the table.
        kinds: names of the methods of ``limit_faults.Faults`` that run.
        caller_count: number of callers with streams.
        large_count: number of callers with large requests and answers.
        engine_count: number of model endpoints.
        memory_megabytes: memory limit of the entry VMs' settings, or 0.
        address_megabytes: limit of their address space, or 0.
        max_attempts: attempts of a stream that can be resumed.
    """

    name: str
    kinds: tuple[str, ...] = ()
    caller_count: int = 32
    large_count: int = 0
    engine_count: int = 3
    memory_megabytes: int = 0
    address_megabytes: int = 0
    max_attempts: int = 2


CASES = (
    Case('memory', large_count=48, memory_megabytes=150),
    Case('little-memory', large_count=48, memory_megabytes=96),
    Case('memory-reload-stop', ('reload', 'stop'), 32, 48, 3, 150),
    Case('address-space', large_count=32, address_megabytes=1200),
    Case('squeezed', ('squeeze',), large_count=32),
    Case('squeezed-silence', ('squeeze', 'silence'), 100, 8),
    Case('slow-leader', ('pause_leader',)),
    Case('slow-two', ('pause_two',)),
    Case('slow-any', ('pause_control', 'reload')),
    Case('full-disk', ('fill_disk',)),
    Case('slow-two-silence-stop', ('pause_two', 'silence', 'stop')),
    Case('backlog', ('burst', 'reload')),
    Case('backlog-stop', ('burst', 'reload', 'stop')),
    Case('paused', ('pause_entry',)),
    Case('paused-silence', ('pause_entry', 'silence')),
    Case('paused-silences', ('pause_entry', 'silence_all')),
    Case('paused-silence-one', ('pause_entry', 'silence'), engine_count=1),
    Case('paused-stop', ('pause_entry', 'silence', 'stop')),
    Case('busy', (), 300),
    Case('busy-silence', ('silence',), 300),
    Case(
        'all',
        ('pause_entry', 'pause_two', 'silence', 'reload', 'stop', 'burst'),
        48,
        24,
        memory_megabytes=150,
    ),
    Case('busy-paused', ('pause_entry', 'silence', 'reload'), 200),
)
CASES_BY_NAME = {case.name: case for case in CASES}


class LimitedProcesses(relay_processes.RelayProcesses):
    """VMs of which the entry VMs have little memory."""

    def __init__(self, folder, entry_vm_count, case):
        """See ``RelayProcesses``."""
        super().__init__(folder, entry_vm_count)
        self._case = case

    def start(self, vm_id, build):
        """See ``RelayProcesses``."""
        super().start(vm_id, build)
        vm = self.vms_by_id[vm_id]
        limit = self._case.address_megabytes * KIBIBYTE * KIBIBYTE
        if limit and not vm.is_control:
            resource.prlimit(
                vm.process.pid, resource.RLIMIT_AS, (limit, limit)
            )

    def _settings(self, vm, is_first_start):
        fields = super()._settings(vm, is_first_start)
        if self._case.memory_megabytes and not vm.is_control:
            fields['limits'] = {'memory_mb': self._case.memory_megabytes}
        return fields


class StreamCaller(soak_callers.KeepingCaller):
    """A caller that keeps its connections and reads streams to their end."""

    leaving_share = 0.0

    def _new_attempt(self):
        attempt = super()._new_attempt()
        if attempt is not None:
            attempt.route = self._rng.choice(('checks', 'captions'))
            attempt.event_count = self._rng.choice(EVENT_COUNTS)
            attempt.key = relay_builders.KEY
        return attempt


def run(case, control_build, entry_build, seconds, seed, folder):
    """Run a ``Case`` and return its table as lines.

    Args:
        case: the ``Case``.
        control_build: the ``Build`` of the control VMs.
        entry_build: the ``Build`` of the entry VMs.
        seconds: its length.
        seed: its seed.
        folder: path of an empty folder.
    """
    layout = soak_site.Layout(
        2, case.engine_count, control_build, entry_build, case.max_attempts
    )
    processes = LimitedProcesses(folder, layout.entry_vm_count, case)
    with soak_site.Site(layout, folder, seed, processes) as site:
        faults = limit_faults.Faults(site, seed)
        threads = _start_load(case, site, seed)
        faults.start(case.kinds)
        faults.start_large(case.large_count)
        site.stopped.wait(seconds)
        faults.end()
        site.stopped.set()
        for thread in threads:
            thread.join(JOIN_SECONDS)
        site.await_service()
        for vm in site.processes.control_vms:
            found = fleets.wait_until(
                lambda: site.operator.read_back(vm), f'{vm.id} to answer'
            )
            site.records.final_read_backs.append(found)
        return _describe(site, faults)


def _start_load(case, site, seed):
    balancer = relay_processes.Balancer(site.processes, site.stopped)
    targets = [
        balancer.run,
        functools.partial(
            site.operator.change_periodically, CHANGE_PERIOD_SECONDS
        ),
    ]
    targets += [
        StreamCaller(site, balancer, seed * 1000 + number).run
        for number in range(case.caller_count)
    ]
    threads = [threading.Thread(target=t, daemon=True) for t in targets]
    for thread in threads:
        thread.start()
    return threads


def _describe(site, faults):
    records = site.records
    ends_by_id = {a.id: _name_end(records, a) for a in records.attempts}
    lines = [
        str(dict(collections.Counter(ends_by_id.values()))),
        f'{len(records.changes)} changes, faults {dict(faults.counts)}',
    ]
    for vm in site.processes.vms_by_id.values():
        if vm.has_ended_by_itself:
            lines.append(f'{vm.id} has ended: {vm.process.returncode}')
    peaks = [
        limit_faults.read_status(vm, 'VmHWM')
        for vm in site.processes.entry_vms
    ]
    lines.append(f'entry VMs: {peaks} MB at most')
    lines += records.timeouts
    lines += [
        upgrade_checks.describe(attempt)
        for attempt in records.attempts
        if ends_by_id[attempt.id] in BAD_ENDS
    ]
    for verdict in soak_checks.judge(site, site.read_works()):
        if not verdict.is_kept:
            lines += [verdict.promise, *verdict.breaks]
    return lines


def _name_end(records, attempt):
    if attempt.is_served:
        whole = attempt.last_event() == attempt.event_count
        return 'whole' if whole else 'whole with a gap'
    if attempt.is_complete:
        return f'status {attempt.status}'
    excuse = soak_checks.excuse(records, attempt, has_run=True)
    return excuse or ('cut' if attempt.status else 'no answer')


def main():
    """Run the cases and print their tables.

    Returns:
        The exit code: 1 if a case has more to tell than its table.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--control', default=builds.WORKING_TREE)
    parser.add_argument('--entry', default=builds.WORKING_TREE)
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--folder', default='/tmp/carobwood-limits')
    parser.add_argument('names', nargs='*')
    arguments = parser.parse_args()
    pathlib.Path(arguments.folder).mkdir(parents=True, exist_ok=True)
    is_kept = True
    with tempfile.TemporaryDirectory(prefix='carobwood-builds-') as folder:
        control = builds.prepare(arguments.control, folder)
        entry = builds.prepare(arguments.entry, folder)
        for name in arguments.names or CASES_BY_NAME:
            site_folder = tempfile.mkdtemp(
                prefix=f'{name}-', dir=arguments.folder
            )
            lines = run(
                CASES_BY_NAME[name],
                control,
                entry,
                arguments.seconds,
                arguments.seed,
                site_folder,
            )
            print(f'{name}, seed {arguments.seed}, {entry.name}')
            print(*(f'  {line}' for line in lines), sep='\n')
            print(f'  logs: {site_folder}', flush=True)
            is_kept &= len(lines) == TABLE_LINES
    return 0 if is_kept else 1


if __name__ == '__main__':
    sys.exit(main())
