"""Measures the resource costs given in docs/CAPACITY.md.

``make capacity`` runs it. Each cost is the slope of a linear regression
over at least three sizes. Its error is the largest residual divided by
the largest value.
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
import proxy_overhead
import replication
from thrift.protocol import TCompactProtocol
from thrift import TSerialization
import urllib3

from carobwood import document
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.membership import stream_origin_links
from carobwood_daemon.replication import claims
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import state_store
from carobwood_daemon.routing import circuit_breakers
from carobwood_daemon.routing import endpoint_loads
from carobwood_daemon.routing import endpoint_selector
from carobwood_daemon.routing import policies
from carobwood_daemon.routing import prefill_time
from carobwood_daemon.routing import prefix
from carobwood_daemon.routing import prefix_cache_index
from carobwood_daemon.routing import stream_origins

CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
SAMPLING_SECONDS = 8.0
# Four blocks of up to 2048 tokens, at three bytes a token.
PROMPT = 'x' * 24000
CHOICES_PER_POINT = 200


class ResourceUsage:
    """Processor time and link traffic of a VM's daemon.

    Both are counted from the creation of the object.

    Args:
        fleet: the ``Fleet``.
        vm_id: ID of the VM.
    """

    def __init__(self, fleet, vm_id):
        self._fleet = fleet
        self._vm_id = vm_id
        self._started = time.monotonic()
        self._cpu = self._read_cpu()
        self._bytes = self._read_bytes()

    def rates(self):
        """Return used processor cores and link bytes a second."""
        elapsed = time.monotonic() - self._started
        cpu = (self._read_cpu() - self._cpu) / elapsed
        return cpu, (self._read_bytes() - self._bytes) / elapsed

    def totals(self):
        """Return processor seconds and link bytes."""
        return self._read_cpu() - self._cpu, self._read_bytes() - self._bytes

    def _read_cpu(self):
        pid = self._fleet.vms_by_id[self._vm_id].process.pid
        fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
        return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_SECOND

    def _read_bytes(self):
        status = self._fleet.status(self._vm_id)
        return status['link_bytes_sent'] + status['link_bytes_received']


def fit_line(points):
    """Return slope, intercept and error of a linear regression.

    Args:
        points: pairs of size and measured value.
    """
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    regression = statistics.linear_regression(sizes, values)
    residuals = [
        abs(value - regression.slope * size - regression.intercept)
        for size, value in points
    ]
    largest = max(abs(value) for value in values) or 1
    return {
        'slope': float(f'{regression.slope:.4g}'),
        'intercept': float(f'{regression.intercept:.4g}'),
        'error': round(max(residuals) / largest, 3),
        'points': [(size, float(f'{value:.4g}')) for size, value in points],
    }


def measure_peers():
    """Return cores and bytes/s of an idle VM by its number of peers."""
    cpu, traffic = [], []
    for count in (2, 4, 8):
        with fleets.Fleet() as fleet:
            replication.start_fleet(fleet, vms=count, voters=1)
            time.sleep(3)
            usage = ResourceUsage(fleet, f'vm{count}')
            time.sleep(SAMPLING_SECONDS)
            core_share, rate = usage.rates()
            cpu.append((count - 1, core_share))
            traffic.append((count - 1, rate))
    return {
        'core_per_peer': fit_line(cpu),
        'bytes_per_s_per_peer': fit_line(traffic),
    }


def measure_voters():
    """Return cores and bytes/s of an idle leader by number of voters."""
    cpu, traffic = [], []
    for count in (1, 3, 5):
        with fleets.Fleet() as fleet:
            replication.start_fleet(fleet, vms=count, voters=count)
            time.sleep(3)
            usage = ResourceUsage(fleet, 'vm1')
            time.sleep(SAMPLING_SECONDS)
            core_share, rate = usage.rates()
            cpu.append((count, core_share))
            traffic.append((count, rate))
    return {
        'core_per_voter': fit_line(cpu),
        'bytes_per_s_per_voter': fit_line(traffic),
    }


def _announce_endpoints(fleet, count, stopped):
    operator = fleet.vms_by_id['vm1'].operator_address
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
    """Return cores and bytes/s of a VM by number of endpoints in the fleet.

    Each endpoint announces itself to another VM once a second, so that
    this VM learns of it by gossip.
    """
    cpu, traffic = [], []
    for count in (20, 60, 180):
        with fleets.Fleet() as fleet:
            replication.start_fleet(fleet, vms=3, voters=1)
            stopped = threading.Event()
            thread = threading.Thread(
                target=_announce_endpoints, args=(fleet, count, stopped)
            )
            thread.start()
            time.sleep(5)
            usage = ResourceUsage(fleet, 'vm3')
            time.sleep(SAMPLING_SECONDS)
            core_share, rate = usage.rates()
            stopped.set()
            thread.join()
            cpu.append((count, core_share))
            traffic.append((count, rate))
    return {
        'core_per_endpoint': fit_line(cpu),
        'bytes_per_s_per_endpoint': fit_line(traffic),
    }


def measure_changes():
    """Return processor seconds and bytes of a committed change.

    Both are measured at the leader and at a follower, without what the
    idle VM uses.
    """
    result = {}
    points = {'vm4': ([], []), 'vm1': ([], [])}
    with fleets.Fleet() as fleet:
        replication.start_fleet(fleet, vms=4, voters=3)
        for count in (100, 200, 400):
            time.sleep(1)
            idle = _measure_idle_rates(fleet, points)
            usages = {vm_id: ResourceUsage(fleet, vm_id) for vm_id in points}
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
        result[f'{name}_cpu_s_per_change'] = fit_line(cpu)
        result[f'{name}_bytes_per_change'] = fit_line(traffic)
    return result


def _measure_idle_rates(fleet, vm_ids):
    usages = {vm_id: ResourceUsage(fleet, vm_id) for vm_id in vm_ids}
    time.sleep(4)
    return {vm_id: usage.rates() for vm_id, usage in usages.items()}


def measure_requests():
    """Return processor seconds of a VM by requests and by tokens."""
    by_requests, by_tokens = [], []
    with fleets.Fleet() as fleet:
        key = proxy_overhead.start_fleet(fleet, 1, token_seconds=0.002)
        address = fleet.vms_by_id['vm1'].caller_address
        for count in (100, 200, 400):
            usage = ResourceUsage(fleet, 'vm1')
            caller = proxy_overhead.start_callers(
                address, key, count=count, rate=50, max_tokens=2
            )
            proxy_overhead.finish_callers([caller])
            by_requests.append((count, usage.totals()[0]))
        for tokens in (200, 400, 800):
            usage = ResourceUsage(fleet, 'vm1')
            caller = proxy_overhead.start_callers(
                address, key, count=20, max_tokens=tokens
            )
            proxy_overhead.finish_callers([caller])
            by_tokens.append((tokens * 20, usage.totals()[0]))
    return {
        'cpu_s_per_request': fit_line(by_requests),
        'cpu_s_per_token': fit_line(by_tokens),
    }


def measure_placements():
    """Return processor seconds and bytes of a VM by new cached prefixes.

    The requests go to another VM, and each prompt has a prefix of its
    own, so that this VM learns of each by gossip.
    """
    cpu, traffic = [], []
    with fleets.Fleet() as fleet:
        key = proxy_overhead.start_fleet(fleet, 1, vms=2)
        sent = 0
        for count in (50, 100, 200):
            idle_cpu, idle_bytes = _measure_idle_rates(fleet, ['vm2'])['vm2']
            usage = ResourceUsage(fleet, 'vm2')
            started = time.monotonic()
            for number in range(sent, sent + count):
                _send_completion(fleet, key, f'prefix {number} {PROMPT}')
            sent += count
            # The last prefix arrives within one gossip period.
            time.sleep(1)
            elapsed = time.monotonic() - started
            seconds, size = usage.totals()
            cpu.append((count, seconds - idle_cpu * elapsed))
            traffic.append((count, size - idle_bytes * elapsed))
    return {
        'cpu_s_per_new_prefix': fit_line(cpu),
        'bytes_per_new_prefix': fit_line(traffic),
    }


def measure_choice():
    """Return processor seconds of choosing an engine, by known engines."""
    points = []
    pool = document.Pool('engines', document.ENGINE_KIND)
    prompt = prefix.hash_text(
        prefix.Scope('production', 'customer', 'model', '1', ''),
        PROMPT.encode('utf-8'),
        3,
    )
    for count in (20, 60, 180):
        known_endpoints = directory.Directory(
            directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, False), ()
        )
        cached_prefixes = prefix_cache_index.PrefixCacheIndex()
        for number in range(count):
            engine = endpoint_table.Endpoint(
                f'engine-{number}',
                1,
                1,
                '',
                'bole',
                'engines',
                'production',
                '1',
            )
            known_endpoints.merge_endpoint(engine)
            cached_prefixes.record_use(
                engine, [secrets.token_bytes(prefix.DIGEST_BYTES)]
            )
        engine_chooser = endpoint_selector.EndpointSelector(
            known_endpoints,
            state_store.StateStore(),
            endpoint_loads.EndpointLoads(),
            circuit_breakers.CircuitBreakers(),
            cached_prefixes,
            prefill_time.PrefillTimeEstimator(),
            'bole',
            policies.ExpectedTime(),
        )
        started = time.process_time()
        for _ in range(CHOICES_PER_POINT):
            engine_chooser.rank_engines('production', pool, {'1': prompt})
        points.append(
            (count, (time.process_time() - started) / CHOICES_PER_POINT)
        )
    return {'cpu_s_per_choice_per_engine': fit_line(points)}


def _send_completion(fleet, key, prompt):
    answer = fleet.http.request(
        'POST',
        f'http://{fleet.vms_by_id["vm1"].caller_address}/v1/completions',
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


def _measure_memory(build, sizes):
    points = []
    for size in sizes:
        tracemalloc.start()
        records = build(size)
        points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del records
    return fit_line(points)


def _build_keys(count):
    keys = {}
    for _ in range(count):
        digest = secrets.token_hex(32)
        keys[digest] = fleet_state.KeyRecord(digest, 'production', 'customer')
    return fleet_state.FleetState(keys_by_digest=keys)


def _build_claims(count):
    table = claims.ClaimTable(0, {})
    for number in range(count):
        open_claim = commands.OpenClaim(
            uuid.uuid4().hex, 'production/c', f'key-{number}', 'd' * 64, 1
        )
        table.apply(open_claim)
        table.apply(
            commands.SettleClaim(
                open_claim.claim_id,
                'production/c',
                f'key-{number}',
                201,
                (('Content-Type', 'application/json'),),
                secrets.token_bytes(100),
            )
        )
    return table


def _build_cached_blocks(count):
    table = prefix_cache_index.PrefixCacheIndex()
    for number in range(count // 1000):
        endpoint = endpoint_table.Endpoint(
            f'engine-{number}', 1, 1, '', '', 'engines', 'production'
        )
        table.record_use(
            endpoint, [secrets.token_bytes(12) for _ in range(1000)]
        )
    return table


def _build_endpoints(count):
    return {
        f'engine-{n}': endpoint_table.Endpoint(
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


def _build_streams(count):
    table = stream_origins.StreamOriginTable()
    for number in range(count):
        table.add(
            stream_origins.StreamKey(
                f'customer-{number % 5}', f'{number:016x}'
            ),
            stream_origins.StreamOrigin('engines', 'v1.2'),
        )
    return table


def measure_streams():
    """Return bytes and processor time of a stream that is reported."""
    byte_points, time_points = [], []
    for count in (10, 100, 1000):
        table = _build_streams(count)
        report = ttypes.StreamReport(
            stream_origin_links.to_thrift(table.records_after(0, count))
        )
        encoded = TSerialization.serialize(
            report, TCompactProtocol.TCompactProtocolAcceleratedFactory()
        )
        byte_points.append((count, len(encoded)))
        keeper = stream_origin_links.StreamOriginKeeper(
            stream_origins.StreamOriginTable(), None, 1
        )
        started = time.process_time()
        keeper.record_streams(report)
        time_points.append((count, time.process_time() - started))
    return {
        'bytes_per_stream': fit_line(byte_points),
        'keeper_cpu_s_per_stream': fit_line(time_points),
    }


def measure_memory():
    """Return the memory in bytes of each kind of record."""
    return {
        'bytes_per_key': _measure_memory(_build_keys, (1000, 4000, 16000)),
        'bytes_per_claim': _measure_memory(_build_claims, (1000, 4000, 16000)),
        'bytes_per_piece': _measure_memory(
            _build_cached_blocks, (10000, 40000, 160000)
        ),
        'bytes_per_endpoint': _measure_memory(
            _build_endpoints, (500, 1000, 4000)
        ),
        'bytes_per_stream': _measure_memory(
            _build_streams, (1000, 4000, 16000)
        ),
    }


def main():
    """Run the measurements and print each cost as a line of JSON."""
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
        ('streams', measure_streams),
    ):
        if arguments.only in ('', name):
            for metric, figures in measure().items():
                print(json.dumps({f'{name}.{metric}': figures}), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
