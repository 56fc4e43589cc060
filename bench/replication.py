"""Measures the replicated state at 5 voters and 8 VMs."""

import argparse
import json
import pathlib
import random
import secrets
import signal
import statistics
import subprocess
import sys
import threading
import time
import uuid

import fleet as fleets

from carobwood import errors
from carobwood_daemon.membership import link
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import proposer

DATA_CENTRES = ('bole', 'kirkos', 'arada', 'yeka')
DOCUMENT = pathlib.Path(__file__).parents[1] / 'examples' / 'production.yaml'
VMS = 8
VOTERS = 5
CLAIM_RATE = 1000
POLL_SECONDS = 0.005


def start_fleet(fleet, vms=VMS, voters=VOTERS, **flags):
    """Start and found a fleet and put a document in force."""
    for number in range(1, vms + 1):
        centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        fleet.plan_vm(
            f'vm{number}',
            centre,
            has_disk=number <= voters,
            log_level='warning',
            max_requests=64,
            **flags,
        )
    fleet.start_vms()
    fleet.found('vm1', voters)
    fleet.client('document', 'apply', str(DOCUMENT))
    fleet.await_ready()


def issue_key(fleet, vm_id):
    """Commit one change through a VM and return its version, or None."""
    answer = fleet.http.request(
        'POST',
        f'http://{fleet.vms_by_id[vm_id].operator}/v1/keys/issue',
        headers=fleet.operator_headers(),
        body=json.dumps(
            {
                'environment': 'production',
                'customer': 'abyssinia-bole',
                'digest': secrets.token_hex(32),
                'operation_id': uuid.uuid4().hex,
            }
        ),
    )
    if answer.status != 200:
        return None
    return json.loads(answer.data)['version']


def measure_in_force(fleet, count):
    """Return seconds from a change's start until all VMs hold it."""
    samples = []
    for _ in range(count):
        started = time.monotonic()
        version = issue_key(fleet, 'vm8')
        pending = set(fleet.vms_by_id)
        while pending:
            pending = {
                vm_id
                for vm_id in pending
                if fleet.status(vm_id)['version'] < version
            }
        samples.append(time.monotonic() - started)
    return _summary(samples)


def measure_restart(fleet, changes):
    """Return seconds from a VM's start until it serves every change."""
    for number in range(changes):
        issue_key(fleet, f'vm{number % VMS + 1}')
    target = fleet.status('vm1')['version']
    result = {'changes': changes}
    for vm_id in ('vm5', 'vm8'):
        fleet.stop_vm(vm_id, signal.SIGKILL)
        started = time.monotonic()
        fleet.start_vm(vm_id)
        fleets.wait_until(lambda: fleet.is_ready(vm_id), 'readiness')
        ready = time.monotonic() - started
        version = fleet.status(vm_id)['version']
        kind = 'voter' if vm_id == 'vm5' else 'diskless'
        result[f'{kind}_seconds'] = round(ready, 3)
        result[f'{kind}_behind'] = target - version
    return result


def measure_leader_loss(fleet):
    """Return seconds from a leader's kill until a change is accepted."""
    leader = next(
        vm_id
        for vm_id in fleet.vms_by_id
        if fleet.status(vm_id)['role'] == 'leader'
    )
    fleet.stop_vm(leader, signal.SIGKILL)
    started = time.monotonic()
    while issue_key(fleet, 'vm8') is None:
        pass
    seconds = time.monotonic() - started
    fleet.start_vm(leader)
    fleet.await_ready([leader])
    return round(seconds, 3)


class _Directory:
    """Tells a proposer where the log may be held."""

    def __init__(self, addresses):
        self._addresses = addresses

    def disk_addresses(self):
        """Return link addresses of the voters."""
        return self._addresses


def claim(secret, addresses, seconds, rate):
    """Open and settle claims at a rate; print latencies as JSON."""
    brought = proposer.Proposer(
        None, link.Links(secret), _Directory(addresses)
    )
    brought.start()
    samples = []
    failures = []
    source = random.Random(1)
    start = time.monotonic() + 0.2

    def worker(offset):
        for number in range(int(seconds * rate / 32)):
            due = start + (number * 32 + offset) / rate
            time.sleep(max(0.0, due - time.monotonic()))
            key = f'{source.random()}-{offset}-{number}'
            opened = commands.OpenClaim(
                uuid.uuid4().hex, 'bench', key, 'digest', 3_600_000
            )
            begun = time.monotonic()
            try:
                brought.submit(opened, 5.0)
                samples.append(time.monotonic() - begun)
                brought.submit(
                    commands.SettleClaim(
                        opened.claim_id, 'bench', key, 201, (), b'{}'
                    ),
                    5.0,
                )
            except errors.ChangeUncertain:
                failures.append(key)

    workers = [
        threading.Thread(target=worker, args=(offset,)) for offset in range(32)
    ]
    for thread in workers:
        thread.start()
    for thread in workers:
        thread.join()
    elapsed = time.monotonic() - start
    print(
        json.dumps(
            {
                'samples': samples,
                'failures': len(failures),
                'seconds': elapsed,
            }
        )
    )


def measure_claims(fleet, seconds, rate=CLAIM_RATE, processes=2):
    """Return the rate and latency of claims, opened and settled."""
    secret = pathlib.Path(fleet.link_secret_file).read_text()
    voters = [vm.link for vm in fleet.vms_by_id.values() if vm.data_folder]
    callers = [
        subprocess.Popen(
            [
                sys.executable,
                __file__,
                '--claims',
                f'--secret={secret}',
                f'--voters={",".join(voters)}',
                f'--seconds={seconds}',
                f'--rate={rate / processes}',
            ],
            stdout=subprocess.PIPE,
        )
        for _ in range(processes)
    ]
    records = [json.loads(c.communicate()[0]) for c in callers]
    samples = [s for record in records for s in record['samples']]
    elapsed = max(record['seconds'] for record in records)
    return {
        'claims_per_second': round(len(samples) / elapsed),
        'failures': sum(record['failures'] for record in records),
        **_summary(samples),
    }


def measure_disk(fleet, operations):
    """Return bytes on disk while operations pile up."""
    before = fleet.status('vm1')['commit_index']
    sizes = []
    while fleet.status('vm1')['commit_index'] - before < operations:
        measure_claims(fleet, 8, rate=3000, processes=3)
        folder = pathlib.Path(fleet.vms_by_id['vm1'].data_folder)
        size = sum(f.stat().st_size for f in folder.iterdir())
        done = fleet.status('vm1')['commit_index'] - before
        sizes.append({'operations': done, 'mib': round(size / 2**20, 2)})
    return sizes


def _summary(samples):
    cuts = statistics.quantiles(samples, n=100)
    return {
        'count': len(samples),
        'p50_ms': round(cuts[49] * 1000, 1),
        'p95_ms': round(cuts[94] * 1000, 1),
        'p99_ms': round(cuts[98] * 1000, 1),
    }


def main():
    """Run all measurements and print them as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--claims', action='store_true')
    parser.add_argument('--secret', default='')
    parser.add_argument('--voters', default='')
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--rate', type=float, default=CLAIM_RATE)
    arguments = parser.parse_args()
    if arguments.claims:
        claim(
            arguments.secret.encode(),
            arguments.voters.split(','),
            arguments.seconds,
            arguments.rate,
        )
        return
    quick = arguments.quick
    with fleets.Fleet() as fleet:
        start_fleet(fleet)
        for name, measure in (
            ('claims', lambda: measure_claims(fleet, 5 if quick else 20)),
            (
                'in_force',
                lambda: measure_in_force(fleet, 30 if quick else 150),
            ),
            (
                'restart',
                lambda: measure_restart(fleet, 100 if quick else 1000),
            ),
            ('leader_loss_seconds', lambda: measure_leader_loss(fleet)),
        ):
            print(json.dumps({name: measure()}), flush=True)
        if not quick:
            sizes = measure_disk(fleet, 100_000)
            print(json.dumps({'disk': sizes}), flush=True)


if __name__ == '__main__':
    main()
