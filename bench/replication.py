"""Measures the replicated state with 8 VMs, of which 5 are voters."""

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
DOCUMENT_PATH = (
    pathlib.Path(__file__).parents[1] / 'examples' / 'production.yaml'
)
VM_COUNT = 8
VOTER_COUNT = 5
CLAIMS_PER_SECOND = 1000
POLL_SECONDS = 0.005


def start_fleet(fleet, vms=VM_COUNT, voters=VOTER_COUNT, **flags):
    """Start a fleet, found it and apply the example document.

    Args:
        fleet: the ``Fleet``.
        vms: number of VMs.
        voters: number of VMs with a disk, which become voters.
        **flags: further flags of ``carobwoodd``, with underscores.
    """
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
    fleet.found_fleet('vm1', voters)
    fleet.run_client('document', 'apply', str(DOCUMENT_PATH))
    fleet.await_ready()


def issue_key(fleet, vm_id):
    """Issue a key through a VM; return the new version, None if refused."""
    answer = fleet.http.request(
        'POST',
        f'http://{fleet.vms_by_id[vm_id].operator_address}/v1/keys/issue',
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


def measure_propagation(fleet, count):
    """Return the time from a change's request until all VMs applied it."""
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
    return _summarise_latencies(samples)


def measure_restart(fleet, changes):
    """Return seconds from a VM's start until it is ready.

    A voter and a VM without a disk are killed and restarted. The result
    also holds how many versions each is behind once it is ready.

    Args:
        fleet: the ``Fleet``.
        changes: number of changes to commit before.
    """
    for number in range(changes):
        issue_key(fleet, f'vm{number % VM_COUNT + 1}')
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
    """Return seconds from the leader's kill until a change is committed."""
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


class _VoterDirectory:
    """A fixed list of voters, in place of the membership directory."""

    def __init__(self, addresses):
        self._addresses = addresses

    def disk_addresses(self):
        """Return the link addresses of the voters."""
        return self._addresses


def run_claims(secret, addresses, seconds, rate):
    """Open and settle claims at a fixed rate; print latencies as JSON.

    Args:
        secret: link secret as bytes.
        addresses: link addresses of the voters.
        seconds: length of the run.
        rate: claims opened a second.
    """
    claim_proposer = proposer.Proposer(
        None, link.Links(secret), _VoterDirectory(addresses)
    )
    claim_proposer.start()
    samples = []
    failures = []
    rng = random.Random(1)
    start = time.monotonic() + 0.2

    # Thread ``offset`` of 32 opens every 32nd claim.
    def worker(offset):
        for number in range(int(seconds * rate / 32)):
            due_at = start + (number * 32 + offset) / rate
            time.sleep(max(0.0, due_at - time.monotonic()))
            key = f'{rng.random()}-{offset}-{number}'
            open_claim = commands.OpenClaim(
                uuid.uuid4().hex, 'bench', key, 'digest', 3_600_000
            )
            submitted_at = time.monotonic()
            try:
                claim_proposer.submit(open_claim, 5.0)
                samples.append(time.monotonic() - submitted_at)
                claim_proposer.submit(
                    commands.SettleClaim(
                        open_claim.claim_id, 'bench', key, 201, (), b'{}'
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


def measure_claims(fleet, seconds, rate=CLAIMS_PER_SECOND, processes=2):
    """Return rate and latency of claims that several processes open.

    Args:
        fleet: the ``Fleet``.
        seconds: length of the run.
        rate: claims opened a second by all processes together.
        processes: number of processes.
    """
    secret = pathlib.Path(fleet.link_secret_file).read_text()
    voters = [
        vm.link_address for vm in fleet.vms_by_id.values() if vm.data_folder
    ]
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
        **_summarise_latencies(samples),
    }


def measure_disk(fleet, operations):
    """Return the size of a voter's data folder as operations accumulate.

    Args:
        fleet: the ``Fleet``.
        operations: number of committed operations to reach.
    """
    before = fleet.status('vm1')['commit_index']
    sizes = []
    while fleet.status('vm1')['commit_index'] - before < operations:
        measure_claims(fleet, 8, rate=3000, processes=3)
        folder = pathlib.Path(fleet.vms_by_id['vm1'].data_folder)
        size = sum(f.stat().st_size for f in folder.iterdir())
        done = fleet.status('vm1')['commit_index'] - before
        sizes.append({'operations': done, 'mib': round(size / 2**20, 2)})
    return sizes


def _summarise_latencies(samples):
    percentiles = statistics.quantiles(samples, n=100)
    return {
        'count': len(samples),
        'p50_ms': round(percentiles[49] * 1000, 1),
        'p95_ms': round(percentiles[94] * 1000, 1),
        'p99_ms': round(percentiles[98] * 1000, 1),
    }


def main():
    """Run all measurements and print them as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--claims', action='store_true')
    parser.add_argument('--secret', default='')
    parser.add_argument('--voters', default='')
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--rate', type=float, default=CLAIMS_PER_SECOND)
    arguments = parser.parse_args()
    if arguments.claims:
        run_claims(
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
                lambda: measure_propagation(fleet, 30 if quick else 150),
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
