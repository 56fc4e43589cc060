"""Measures the latency, throughput and memory cost of the daemon.

``make bench`` runs it. Latency and throughput are compared with the same
load sent directly to the fake engines in the same run.
"""

import argparse
import json
import pathlib
import statistics
import subprocess
import sys
import time

import fleet as fleets

BENCH_FOLDER = pathlib.Path(__file__).resolve().parent
DOCUMENT_PATH = BENCH_FOLDER.parent / 'examples' / 'production.yaml'
OPEN_STREAM_COUNT = 500
STREAM_COUNT = 50
ENGINE_COUNT = 5
REQUESTS_PER_SECOND = 50.0


def start_fleet(fleet, engines, vms=1, **engine_flags):
    """Start daemons and engines and return an API key.

    The document is the example with limits too high to take effect.

    Args:
        fleet: the ``Fleet``.
        engines: number of engines.
        vms: number of VMs; one of them is a voter.
        **engine_flags: flags of ``fake_engine.py``, with underscores.
    """
    for number in range(1, vms + 1):
        fleet.plan_vm(
            f'vm{number}',
            'bole',
            has_disk=number == 1,
            vm_slots=1,
            log_level='warning',
        )
    fleet.start_vms()
    fleet.found_fleet('vm1', voters=1)
    for number in range(engines):
        fleet.start_engine(f'engine-{number}', **engine_flags)
    text = DOCUMENT_PATH.read_text()
    text = text.replace(
        'rate_tokens_per_second: 40000', ('rate_tokens_per_second: 1000000000')
    )
    text = text.replace('burst_tokens: 400000', 'burst_tokens: 1000000000')
    text = text.replace('max_output_tokens: 512', 'max_output_tokens: 65536')
    document = fleet.folder / 'bench.yaml'
    document.write_text(text)
    fleet.run_client('document', 'apply', str(document))
    fleet.await_endpoints([f'engine-{n}' for n in range(engines)])
    fleet.await_ready()
    return fleet.run_client('key', 'issue', 'abyssinia-bole')['secret']


def start_callers(address, key, **flags):
    """Start ``stream_client.py`` and return the process.

    Args:
        address: ``host:port`` to send the requests to.
        key: API key.
        **flags: further flags, with underscores.
    """
    return subprocess.Popen(
        [
            sys.executable,
            str(BENCH_FOLDER / 'stream_client.py'),
            f'--address={address}',
            f'--key={key}',
        ]
        + [f'--{k.replace("_", "-")}={v}' for k, v in flags.items()],
        stdout=subprocess.PIPE,
    )


def finish_callers(processes):
    """Wait for caller processes and return their decoded results.

    Raises:
        RuntimeError: a request failed.
    """
    records = [json.loads(p.communicate()[0]) for p in processes]
    for record in records:
        if record['problems']:
            raise RuntimeError(record['problems'][:3])
    return records


def measure_first_token(quick):
    """Return the added time to the first token at 50 requests a second."""
    count = 150 if quick else 500
    with fleets.Fleet() as fleet:
        key = start_fleet(fleet, 1, token_seconds=0.005)
        targets = {
            'direct': f'127.0.0.1:{fleet.ports_by_id["engine-0"]}',
            'daemon': fleet.vms_by_id['vm1'].caller_address,
        }
        samples = {}
        for name, address in targets.items():
            callers = start_callers(
                address, key, count=count, rate=REQUESTS_PER_SECOND
            )
            record = finish_callers([callers])[0]
            samples[name] = sorted(record['first_event_seconds'])
    result = {'requests_per_second': REQUESTS_PER_SECOND, 'requests': count}
    for percent in (50, 95, 99):
        values = {
            name: _percentile(times, percent)
            for name, times in samples.items()
        }
        result[f'direct_p{percent}_ms'] = round(values['direct'] * 1000, 2)
        result[f'daemon_p{percent}_ms'] = round(values['daemon'] * 1000, 2)
        added = values['daemon'] - values['direct']
        result[f'added_p{percent}_ms'] = round(added * 1000, 2)
    return result


def measure_throughput(quick):
    """Return tokens a second over 50 concurrent streams."""
    tokens = 2000 if quick else 8000
    result = {'streams': STREAM_COUNT, 'tokens_per_stream': tokens}
    with fleets.Fleet() as fleet:
        key = start_fleet(fleet, ENGINE_COUNT, token_seconds=0)
        direct = [
            f'127.0.0.1:{fleet.ports_by_id[f"engine-{n}"]}'
            for n in range(ENGINE_COUNT)
        ]
        caller = fleet.vms_by_id['vm1'].caller_address
        for name, addresses in (
            ('direct', direct),
            ('daemon', [caller] * ENGINE_COUNT),
        ):
            processes = [
                start_callers(
                    address,
                    key,
                    count=STREAM_COUNT // ENGINE_COUNT,
                    max_tokens=tokens,
                    prompts=STREAM_COUNT,
                )
                for address in addresses
            ]
            records = finish_callers(processes)
            events = sum(record['events'] for record in records)
            seconds = max(record['seconds'] for record in records)
            result[f'{name}_tokens_per_second'] = round(events / seconds)
    return result


def measure_open_streams(quick):
    """Return the daemon's resident memory with 500 open streams."""
    with fleets.Fleet() as fleet:
        key = start_fleet(fleet, 2, token_seconds=0.5)
        vm = fleet.vms_by_id['vm1']
        idle_mib = _resident_mib(vm.process.pid)
        processes = [
            start_callers(
                vm.caller_address,
                key,
                count=OPEN_STREAM_COUNT // 2,
                rate=100,
                max_tokens=30 if quick else 60,
                prompts=OPEN_STREAM_COUNT,
            )
            for _ in range(2)
        ]
        peak_mib = 0.0
        max_in_flight = 0
        while processes[0].poll() is None:
            status = fleet.status('vm1')
            max_in_flight = max(max_in_flight, status['requests_in_flight'])
            peak_mib = max(peak_mib, _resident_mib(vm.process.pid))
            time.sleep(0.5)
        finish_callers(processes)
    return {
        'open_streams': max_in_flight,
        'idle_mib': round(idle_mib, 1),
        'peak_mib': round(peak_mib, 1),
    }


def _percentile(values, percent):
    return statistics.quantiles(values, n=100)[percent - 1]


def _resident_mib(pid):
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def main():
    """Run all measurements and print them as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--only', default='')
    arguments = parser.parse_args()
    for name, measure in (
        ('first_token', measure_first_token),
        ('throughput', measure_throughput),
        ('open_streams', measure_open_streams),
    ):
        if arguments.only in ('', name):
            figures = measure(arguments.quick)
            print(json.dumps({name: figures}), flush=True)


if __name__ == '__main__':
    main()
