"""Upgrades a fleet from one build to another under load, and back.

The VMs of two builds run side by side while configurations change, engines
join and leave, and VMs are killed, paused and stopped. The exit code is 1 if
a promise was broken to callers, engines or the operator; then logs and
records stay in the named folder.
"""

import argparse
import contextlib
import dataclasses
import pathlib
import random
import shutil
import sys
import tempfile
import threading

_ROOT = pathlib.Path(__file__).resolve().parents[1]
for _folder in ('tests', 'platform'):
    sys.path.insert(0, str(_ROOT / _folder))

import builds  # noqa: E402 (needs the paths above)
import fleet as fleets  # noqa: E402 (needs the paths above)
import relay_builders  # noqa: E402 (needs the paths above)
import relay_processes  # noqa: E402 (needs the paths above)
import upgrade_callers  # noqa: E402 (needs the paths above)
import upgrade_checks  # noqa: E402 (needs the paths above)
import upgrade_endpoints  # noqa: E402 (needs the paths above)
import upgrade_operator  # noqa: E402 (needs the paths above)
import upgrade_records  # noqa: E402 (needs the paths above)
import upgrade_rollout  # noqa: E402 (needs the paths above)

GREEDY_PAUSE_SECONDS = 0.05
# Time in seconds in which all VMs must follow the last change.
FINAL_SECONDS = 30.0
JOIN_SECONDS = 60.0
MAX_PRINTED_BREAKS = 5
# Events that docs/OPERATIONS.md names as reasons to stop an upgrade.
WATCHED_EVENTS = (
    'link-refused',
    'command-failed',
    'configuration-unreadable',
    'listener-failed',
    'thread-failed',
    'disk-failed',
)


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a run does.

    Attributes:
        seed: seed of all random numbers.
        old: the ``Build`` that runs at first.
        new: the ``Build`` that it is upgraded to.
        upgraded_ids: IDs of the VMs that are replaced, or empty for all.
        with_time_bounds: whether promises with a time bound are judged.
    """

    seed: int
    old: builds.Build
    new: builds.Build
    upgraded_ids: tuple[str, ...] = ()
    with_time_bounds: bool = True


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of a run.

    Attributes:
        verdicts: the ``Verdict`` objects.
        records: the ``Records``.
        log_counts: number of log lines by the names in ``WATCHED_EVENTS``.
    """

    verdicts: list
    records: upgrade_records.Records
    log_counts: dict

    @property
    def is_kept(self):
        """Whether all promises were kept."""
        return all(verdict.is_kept for verdict in self.verdicts)


def run(plan, folder):
    """Carry a ``Plan`` out and return its ``Outcome``.

    Args:
        plan: the ``Plan``.
        folder: path of an empty folder for the VMs.
    """
    with relay_processes.RelayProcesses(folder) as processes:
        upgrade = _Upgrade(plan, processes)
        upgrade.run()
    verdicts = upgrade_checks.judge(upgrade.records, plan.with_time_bounds)
    return Outcome(
        verdicts, upgrade.records, processes.count_log_lines(WATCHED_EVENTS)
    )


class _Upgrade:
    """One run, with its threads."""

    def __init__(self, plan, processes):
        self._plan = plan
        self._processes = processes
        self._rng = random.Random(plan.seed)
        # Drawn before anything that depends on time.
        self._forward = self._draw_replacements()
        self._back = self._draw_replacements()
        self._stopped = threading.Event()
        self._threads = []
        self.records = upgrade_records.Records()
        self._operator = upgrade_operator.Operator(
            processes, self.records, self._new_rng(), self._stopped
        )
        self._balancer = relay_processes.Balancer(processes, self._stopped)
        self._callers = [
            self._new_caller() for _ in range(upgrade_callers.CALLER_COUNT)
        ]
        self._greedy_caller = self._new_caller()
        self._checking_caller = self._new_caller()

    def run(self):
        """Start the fleet, upgrade it and go back under load."""
        processes = self._processes
        for vm_id in processes.vms_by_id:
            processes.start(vm_id, self._plan.old)
        self._operator.put_first()
        for vm_id in processes.vms_by_id:
            processes.await_ready(vm_id)
        endpoints = upgrade_endpoints.Endpoints(
            processes, self.records, self._new_rng()
        )
        self._await_service()
        self._start_load()
        rollout = upgrade_rollout.Rollout(
            processes, endpoints, self.records, self._stopped
        )
        with self._noting_timeouts():
            rollout.run(self._forward, self._plan.new)
            rollout.run(self._back, self._plan.old)
        self._stop_load()
        with self._noting_timeouts():
            self._check_end()
        endpoints.stop()

    @contextlib.contextmanager
    def _noting_timeouts(self):
        try:
            yield
        except TimeoutError as error:
            self.records.timeouts.append(str(error))

    def _draw_replacements(self):
        all_ids = list(self._processes.vms_by_id)
        return upgrade_rollout.draw_replacements(
            self._rng, self._plan.upgraded_ids or all_ids, all_ids
        )

    def _new_rng(self):
        return random.Random(self._rng.random())

    def _start_thread(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _start_load(self):
        self._start_thread(self._balancer.run)
        self._start_thread(self._operator.change_periodically)
        self._start_thread(self._operator.read_periodically)
        for caller in self._callers:
            self._start_thread(caller.run)
        self._start_thread(
            self._greedy_caller.run_greedily, GREEDY_PAUSE_SECONDS
        )

    def _new_caller(self):
        return upgrade_callers.Caller(
            self._processes,
            self._balancer,
            self.records,
            self._rng.random(),
            self._stopped,
        )

    def _stop_load(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(JOIN_SECONDS)

    def _await_service(self):
        for vm in self._processes.entry_vms:
            for route in ('checks', 'orders'):
                fleets.wait_until(
                    lambda: self._try(vm.id, route).status == 200,
                    f'{vm.id} to serve {route}',
                )
        self.records.attempts.clear()
        self.records.runs.clear()

    def _try(self, vm_id, route, key=relay_builders.KEY):
        attempt = upgrade_records.Attempt(
            self.records.new_request_id(),
            vm_id,
            route,
            key,
            upgrade_callers.CUSTOMER,
        )
        self._checking_caller.send(attempt)
        return attempt

    def _check_end(self):
        """Record what the VMs answer once they follow the last change."""
        newest = self.records.changes[-1]
        wanted_by_key = {relay_builders.KEY: 200, newest.added_key: 200}
        if newest.withdrawn_key:
            wanted_by_key[newest.withdrawn_key] = 401
        for vm in self._processes.entry_vms:
            for key, status in wanted_by_key.items():
                self._record_final_attempt(vm.id, key, status)
        for vm in self._processes.control_vms:
            found = fleets.wait_until(
                lambda: self._operator.read_back(vm), f'{vm.id} to answer'
            )
            self.records.final_read_backs.append(found)

    def _record_final_attempt(self, vm_id, key, status):
        attempts = []

        def is_as_wanted():
            attempts.append(self._try(vm_id, 'orders', key))
            return attempts[-1].status == status

        try:
            fleets.wait_until(is_as_wanted, 'the last keys', FINAL_SECONDS)
        except TimeoutError:
            pass
        self.records.final_attempts.append(attempts[-1])


def print_table(title, outcome):
    """Print the verdicts of a run as a table."""
    print(f'\n{title}')
    for verdict in outcome.verdicts:
        word = 'kept' if verdict.is_kept else f'BROKEN {len(verdict.breaks)}x'
        print(f'  {verdict.promise:<40} {verdict.cases:>7}  {word}')
        for text in verdict.breaks[:MAX_PRINTED_BREAKS]:
            print(f'      {text}')
    counts = upgrade_checks.count_statuses(outcome.records)
    print(f'  answers to proper requests by status: {counts}')
    print(f'  watched log lines: {dict(outcome.log_counts) or "none"}')
    share = upgrade_checks.served_share(outcome.records)
    print(f'  VMs replaced or disturbed: {len(outcome.records.disruptions)}')
    print(f'  served share: {share:.4f}', flush=True)


def _parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--old', default=builds.DEFAULT_OLD_COMMIT)
    parser.add_argument('--new', default=builds.WORKING_TREE)
    parser.add_argument('--without-comparison', action='store_true')
    parser.add_argument('--log-folder', default='/tmp/carobwood-upgrade')
    return parser.parse_args()


def main():
    """Run the upgrade and print the verdicts.

    Returns:
        The exit code: 1 if a promise was broken, else 0.
    """
    arguments = _parse_arguments()
    with tempfile.TemporaryDirectory(prefix='carobwood-builds-') as folder:
        old = builds.prepare(arguments.old, folder)
        new = builds.prepare(arguments.new, folder)
        for build in (old, new):
            build.check_imports(sys.executable)
        pairs = [(old, new)]
        if not arguments.without_comparison:
            pairs.append((old, old))
        is_kept = True
        for pair in pairs:
            plan = Plan(arguments.seed, *pair)
            is_kept &= _run_once(plan, arguments.log_folder)
    return 0 if is_kept else 1


def _run_once(plan, log_folder):
    names = f'{plan.old.name}-{plan.new.name}'
    target = pathlib.Path(log_folder) / f'seed-{plan.seed}-{names}'
    target.parent.mkdir(parents=True, exist_ok=True)
    folder = tempfile.mkdtemp(prefix=f'{target.name}-', dir=target.parent)
    print(f'logs: {folder}', flush=True)
    outcome = run(plan, folder)
    print_table(
        f'{plan.old.name} -> {plan.new.name} -> back, seed {plan.seed}',
        outcome,
    )
    if not outcome.is_kept:
        outcome.records.keep(folder)
        return False
    shutil.rmtree(folder)
    return True


if __name__ == '__main__':
    sys.exit(main())
