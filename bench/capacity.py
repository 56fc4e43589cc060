"""Measures the slopes behind docs/CAPACITY.md: ``make capacity``.

Each slope comes from at least three sizes and a straight fit; the error
is the largest residual as a share of the largest value.
"""

import argparse
import json
import os
import pathlib
import secrets
import statistics
import sys
import threading
import time
import tracemalloc
import uuid

import fleet as fleets
import relay
import replication
import urllib3

from carobwood import document
from carobwood_daemon.membership import directory
from carobwood_daemon.replication import claims
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import state_store
from carobwood_daemon.routing import breakers
from carobwood_daemon.routing import chooser
from carobwood_daemon.routing import loads
from carobwood_daemon.routing import placements
from carobwood_daemon.routing import policies
from carobwood_daemon.routing import prefill_rate
from carobwood_daemon.routing import prefix

TICKS = os.sysconf('SC_CLK_TCK')
WINDOW_SECONDS = 8.0
# Four of the router's pieces at three bytes a token.
PROMPT = 'x' * 24000
CHOICES = 200


class Usage:
    """What a VM's process has used since a moment."""

    def __init__(self, fleet, vm_id):
        self._fleet = fleet
        self._vm_id = vm_id
        self._started = time.monotonic()
        self._cpu = self._read_cpu()
        self._bytes = self._read_bytes()

    def rates(self):
        """Return core share and link bytes a second since the start."""
        elapsed = time.monotonic() - self._started
        cpu = (self._read_cpu() - self._cpu) / elapsed
        return cpu, (self._read_bytes() - self._bytes) / elapsed

    def totals(self):
        """Return processor seconds and link bytes since the start."""
        return self._read_cpu() - self._cpu, self._read_bytes() - self._bytes

    def _read_cpu(self):
        pid = self._fleet.vms_by_id[self._vm_id].process.pid
        fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
        return (int(fields[13]) + int(fields[14])) / TICKS

    def _read_bytes(self):
        status = self._fleet.status(self._vm_id)
        return status['link_bytes_sent'] + status['link_bytes_received']


def fit(points):
    """Return slope, intercept and error of (size, value) points."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    residuals = [
        abs(value - line.slope * size - line.intercept)
        for size, value in points
    ]
    largest = max(abs(value) for value in values) or 1
    return {
        'slope': float(f'{line.slope:.4g}'),
        'intercept': float(f'{line.intercept:.4g}'),
        'error': round(max(residuals) / largest, 3),
        'points': [(size, float(f'{value:.4g}')) for size, value in points],
    }


def measure_peers():
    """Return core share and bytes/s of an idle VM against its peers."""
    cpu, traffic = [], []
    for count in (2, 4, 8):
        with fleets.Fleet() as fleet:
            replication.start_fleet(fleet, vms=count, voters=1)
            time.sleep(3)
            usage = Usage(fleet, f'vm{count}')
            time.sleep(WINDOW_SECONDS)
            share, rate = usage.rates()
            cpu.append((count - 1, share))
            traffic.append((count - 1, rate))
    return {'core_per_peer': fit(cpu), 'bytes_per_s_per_peer': fit(traffic)}


def measure_voters():
    """Return core share and bytes/s of an idle leader by voters."""
    cpu, traffic = [], []
    for count in (1, 3, 5):
        with fleets.Fleet() as fleet:
            replication.start_fleet(fleet, vms=count, voters=count)
            time.sleep(3)
            usage = Usage(fleet, 'vm1')
            time.sleep(WINDOW_SECONDS)
            share, rate = usage.rates()
            cpu.append((count, share))
            traffic.append((count, rate))
    return {
        'core_per_voter': fit(cpu),
        'bytes_per_s_per_voter': fit(traffic),
    }


def _announce(fleet, count, stopped):
    operator = fleet.vms_by_id['vm1'].operator
    http = urllib3.PoolManager(retries=False)
    headers = fleet.operator_headers()
    headers['Authorization'] = f'Bearer {fleet.announce_token}'
    sequence = 0
    while not stopped.is_set():
        sequence += 1
        started = time.monotonic()
        for number in range(count):
            body = {
                'endpoint_id': f'engine-{number}',
                'incarnation': 1,
                'sequence': sequence,
                'address': f'127.0.0.1:{2000 + number}',
                'data_centre': 'bole',
                'pool': 'engines',
                'weights_version': '2026-11',
                'running': number % 50,
            }
            http.request(
                'POST',
                f'http://{operator}/v1/announcements',
                body=json.dumps(body),
                headers=headers,
            )
        stopped.wait(max(0.0, 1.0 - (time.monotonic() - started)))


def measure_endpoints():
    """Return core share and bytes/s of a VM that hears of endpoints.

    Each endpoint announces itself to another VM once a second.
    """
    cpu, traffic = [], []
    for count in (20, 60, 180):
        with fleets.Fleet() as fleet:
            replication.start_fleet(fleet, vms=3, voters=1)
            stopped = threading.Event()
            thread = threading.Thread(
                target=_announce, args=(fleet, count, stopped)
            )
            thread.start()
            time.sleep(5)
            usage = Usage(fleet, 'vm3')
            time.sleep(WINDOW_SECONDS)
            share, rate = usage.rates()
            stopped.set()
            thread.join()
            cpu.append((count, share))
            traffic.append((count, rate))
    return {
        'core_per_endpoint': fit(cpu),
        'bytes_per_s_per_endpoint': fit(traffic),
    }


def measure_changes():
    """Return seconds and bytes of a change at a follower and a leader."""
    result = {}
    points = {'vm4': ([], []), 'vm1': ([], [])}
    with fleets.Fleet() as fleet:
        replication.start_fleet(fleet, vms=4, voters=3)
        for count in (100, 200, 400):
            time.sleep(1)
            idle = _idle_rates(fleet, points)
            usages = {vm_id: Usage(fleet, vm_id) for vm_id in points}
            started = time.monotonic()
            for _ in range(count):
                replication.issue_key(fleet, 'vm2')
            elapsed = time.monotonic() - started
            for vm_id, (cpu, traffic) in points.items():
                seconds, size = usages[vm_id].totals()
                idle_cpu, idle_bytes = idle[vm_id]
                cpu.append((count, seconds - idle_cpu * elapsed))
                traffic.append((count, size - idle_bytes * elapsed))
    for name, vm_id in (('leader', 'vm1'), ('follower', 'vm4')):
        cpu, traffic = points[vm_id]
        result[f'{name}_cpu_s_per_change'] = fit(cpu)
        result[f'{name}_bytes_per_change'] = fit(traffic)
    return result


def _idle_rates(fleet, vm_ids):
    usages = {vm_id: Usage(fleet, vm_id) for vm_id in vm_ids}
    time.sleep(4)
    return {vm_id: usage.rates() for vm_id, usage in usages.items()}


def measure_requests():
    """Return processor seconds of an entry VM by requests and tokens."""
    by_requests, by_tokens = [], []
    with fleets.Fleet() as fleet:
        key = relay.start_fleet(fleet, 1, token_seconds=0.002)
        address = fleet.vms_by_id['vm1'].caller
        for count in (100, 200, 400):
            usage = Usage(fleet, 'vm1')
            caller = relay.start_callers(
                address, key, count=count, rate=50, max_tokens=2
            )
            relay.finish_callers([caller])
            by_requests.append((count, usage.totals()[0]))
        for tokens in (200, 400, 800):
            usage = Usage(fleet, 'vm1')
            caller = relay.start_callers(
                address, key, count=20, max_tokens=tokens
            )
            relay.finish_callers([caller])
            by_tokens.append((tokens * 20, usage.totals()[0]))
    return {
        'cpu_s_per_request': fit(by_requests),
        'cpu_s_per_token': fit(by_tokens),
    }


def measure_placements():
    """Return seconds and bytes of a VM that hears of new prefixes.

    Each prompt has a prefix of its own, so that each is a placement.
    """
    cpu, traffic = [], []
    with fleets.Fleet() as fleet:
        key = relay.start_fleet(fleet, 1, vms=2)
        sent = 0
        for count in (50, 100, 200):
            idle_cpu, idle_bytes = _idle_rates(fleet, ['vm2'])['vm2']
            usage = Usage(fleet, 'vm2')
            started = time.monotonic()
            for number in range(sent, sent + count):
                _ask(fleet, key, f'prefix {number} {PROMPT}')
            sent += count
            # The last news travels within a period of gossip.
            time.sleep(1)
            elapsed = time.monotonic() - started
            seconds, size = usage.totals()
            cpu.append((count, seconds - idle_cpu * elapsed))
            traffic.append((count, size - idle_bytes * elapsed))
    return {
        'cpu_s_per_new_prefix': fit(cpu),
        'bytes_per_new_prefix': fit(traffic),
    }


def measure_choice():
    """Return processor seconds of a choice by the engines known."""
    points = []
    pool = document.Pool('engines', document.ENGINE_KIND)
    prompt = prefix.hash_text(
        prefix.Scope('production', 'customer', 'model', '1', ''),
        PROMPT.encode('utf-8'),
        3,
    )
    for count in (20, 60, 180):
        known = directory.Directory(
            directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, False), ()
        )
        table = placements.Placements()
        for number in range(count):
            engine = directory.Endpoint(
                f'engine-{number}',
                1,
                1,
                '',
                'bole',
                'engines',
                'production',
                '1',
            )
            known.note_endpoint(engine)
            table.note(engine, [secrets.token_bytes(prefix.DIGEST_BYTES)])
        choose = chooser.Chooser(
            known,
            state_store.StateStore(),
            loads.Loads(),
            breakers.Breakers(),
            table,
            prefill_rate.PrefillRates(),
            'bole',
            policies.ExpectedTime(),
        )
        started = time.process_time()
        for _ in range(CHOICES):
            choose.order_engines('production', pool, {'1': prompt})
        points.append((count, (time.process_time() - started) / CHOICES))
    return {'cpu_s_per_choice_per_engine': fit(points)}


def _ask(fleet, key, prompt):
    answer = fleet.http.request(
        'POST',
        f'http://{fleet.vms_by_id["vm1"].caller}/v1/completions',
        body=json.dumps(
            {'model': 'ruling-8b', 'prompt': prompt, 'max_tokens': 1}
        ),
        headers={
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
        },
    )
    if answer.status != 200:
        raise RuntimeError(f'status {answer.status}: {answer.data!r}')


def _memory(build, sizes):
    points = []
    for size in sizes:
        tracemalloc.start()
        kept = build(size)
        points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del kept
    return fit(points)


def _keys(count):
    keys = {}
    for _ in range(count):
        digest = secrets.token_hex(32)
        keys[digest] = fleet_state.KeyRecord(digest, 'production', 'customer')
    return fleet_state.FleetState(keys_by_digest=keys)


def _claims(count):
    table = claims.ClaimTable(0, {})
    for number in range(count):
        opened = commands.OpenClaim(
            uuid.uuid4().hex, 'production/c', f'key-{number}', 'd' * 64, 1
        )
        table.apply(opened)
        table.apply(
            commands.SettleClaim(
                opened.claim_id,
                'production/c',
                f'key-{number}',
                201,
                (('Content-Type', 'application/json'),),
                secrets.token_bytes(100),
            )
        )
    return table


def _pieces(count):
    table = placements.Placements()
    for number in range(count // 1000):
        endpoint = directory.Endpoint(
            f'engine-{number}', 1, 1, '', '', 'engines', 'production'
        )
        table.note(endpoint, [secrets.token_bytes(12) for _ in range(1000)])
    return table


def _endpoints(count):
    return {
        f'engine-{n}': directory.Endpoint(
            f'engine-{n}',
            n + 2**40,
            n + 1000,
            f'127.0.0.1:{n}',
            f'data-centre-{n % 7}',
            'engines',
            'production',
        )
        for n in range(count)
    }


def measure_memory():
    """Return bytes of each kind of record."""
    return {
        'bytes_per_key': _memory(_keys, (1000, 4000, 16000)),
        'bytes_per_claim': _memory(_claims, (1000, 4000, 16000)),
        'bytes_per_piece': _memory(_pieces, (10000, 40000, 160000)),
        'bytes_per_endpoint': _memory(_endpoints, (500, 1000, 4000)),
    }


def main():
    """Run the measurements and print a line of JSON for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--only', default='')
    arguments = parser.parse_args()
    for name, measure in (
        ('memory', measure_memory),
        ('choice', measure_choice),
        ('requests', measure_requests),
        ('changes', measure_changes),
        ('voters', measure_voters),
        ('peers', measure_peers),
        ('endpoints', measure_endpoints),
        ('placements', measure_placements),
    ):
        if arguments.only in ('', name):
            for line, figures in measure().items():
                print(json.dumps({f'{name}.{line}': figures}), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
