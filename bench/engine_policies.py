"""Compares the policies for choosing an engine on one arrival sequence.

Each policy gets a fresh fleet of real daemons and of fake engines with
small prefix caches. For comparison, an oracle reads every engine's cache
and queue before each request and sends it directly to the best engine.
"""

import argparse
import collections
import dataclasses
import http.client
import json
import pathlib
import random
import statistics
import sys
import threading
import time

import fleet as fleets
import plots
import yaml

DOCUMENT_PATH = (
    pathlib.Path(__file__).parents[1] / 'examples' / 'production.yaml'
)
RESULTS_FOLDER = pathlib.Path(__file__).parent / 'results'
POLICIES = ('round-robin', 'least-loaded', 'prefix-hash', 'expected-time')
ORACLE = 'oracle'
SEED = 20261204
VM_COUNT = 3
DATA_CENTRES = ('bole', 'kirkos', 'arada')
# A block of fake_engine.py: 2048 tokens of 4 bytes.
BLOCK_BYTES = 2048 * 4
PREFILL_SECONDS_PER_TOKEN = 0.00005
TOKEN_SECONDS = 0.004
OUTPUT_TOKENS = 12
CACHE_BLOCKS = 26
GREEDY_FACTOR = 6


@dataclasses.dataclass(frozen=True)
class TrafficProfile:
    """The traffic of one user of the router.

    Every prompt consists of its customer's common prefix, one of the
    customer's variants and a unique end. The last customer is greedy:
    it sends ``GREEDY_FACTOR`` times the requests of its share.

    Attributes:
        name: name of the user.
        engines: number of engines.
        rate: requests a second, without the greedy customer's excess.
        customers: share of the rate of each customer.
        variant_count: number of variants of each customer.
        common_blocks: blocks of a customer's common prefix.
        variant_blocks: blocks of each variant.
        shift_seconds: seconds after which other variants become the
            most frequent ones.
    """

    name: str
    engines: int
    rate: float
    customers: tuple[float, ...]
    variant_count: int
    common_blocks: int
    variant_blocks: int
    shift_seconds: float


TRAFFIC_PROFILES = (
    TrafficProfile(
        'abyssinia', 5, 14.0, (0.4, 0.3, 0.15, 0.1, 0.05), 8, 2, 2, 6.0
    ),
    TrafficProfile(
        'tussock', 6, 10.0, (0.4, 0.3, 0.15, 0.1, 0.05), 6, 1, 4, 10.0
    ),
)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of the sequence.

    Attributes:
        offset_seconds: seconds from the start of the run.
        customer: index of the customer.
        prompt: text of the prompt.
        vm: number of the VM that receives the request.
    """

    offset_seconds: float
    customer: int
    prompt: str
    vm: int


@dataclasses.dataclass
class RequestRecord:
    """The result of a request.

    Attributes:
        arrival: the ``Arrival``.
        status: HTTP status, 0 before a response and -1 if there is none.
        first_token_seconds: seconds from sending to the first bytes of
            the body.
        prompt_tokens: tokens of the prompt, as the engine reports them.
        cached_tokens: how many of them the engine had cached.
        best_cached_tokens: the most of them that any engine had cached
            when the request was sent.
        is_complete: whether the stream ended with its final event.
        has_error_event: whether the stream contains an error event.
        failure: why the request failed, or an empty string.
    """

    arrival: Arrival
    status: int = 0
    first_token_seconds: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    best_cached_tokens: int = 0
    is_complete: bool = False
    has_error_event: bool = False
    failure: str = ''


def generate_arrivals(profile, seconds):
    """Return the arrivals of a traffic profile, in order of time.

    They are random, but the same in each call, as the seed is fixed.

    Args:
        profile: the ``TrafficProfile``.
        seconds: length of the sequence.
    """
    rng = random.Random(SEED)
    sequence = []
    offset_seconds = 0.0
    greedy_customer = len(profile.customers) - 1
    weights = list(profile.customers)
    weights[greedy_customer] *= GREEDY_FACTOR
    rate = profile.rate * sum(weights)
    while offset_seconds < seconds:
        offset_seconds += rng.expovariate(rate)
        customer = rng.choices(range(len(weights)), weights)[0]
        phase = int(offset_seconds / profile.shift_seconds)
        rank = min(int(rng.paretovariate(1.1)) - 1, profile.variant_count - 1)
        variant = (phase * 3 + rank) % profile.variant_count
        prompt = _repeat_text(
            f'c{customer}', profile.common_blocks
        ) + _repeat_text(f'c{customer} leaf{variant}', profile.variant_blocks)
        prompt += f' case {len(sequence)} ' + 'y' * rng.randrange(200, 2000)
        sequence.append(
            Arrival(offset_seconds, customer, prompt, rng.randrange(VM_COUNT))
        )
    return sequence


def _repeat_text(name, block_count):
    sentence = f'{name} says one face and a plain background; '
    return (sentence * (block_count * BLOCK_BYTES // len(sentence) + 1))[
        : block_count * BLOCK_BYTES
    ]


def start_engine(fleet, engine_id, number):
    """Start an engine in the data centre that its number selects."""
    fleet.start_engine(
        engine_id,
        DATA_CENTRES[number % len(DATA_CENTRES)],
        cache_pieces=CACHE_BLOCKS,
        prefill_seconds_per_token=PREFILL_SECONDS_PER_TOKEN,
        token_seconds=TOKEN_SECONDS,
    )


class Caller(threading.Thread):
    """Sends the request of one arrival at its time."""

    def __init__(self, trial, record, start):
        super().__init__(daemon=True)
        self._trial = trial
        self._record = record
        self._start_time = start + record.arrival.offset_seconds

    def run(self):
        """Send the request at the arrival time and record the result."""
        time.sleep(max(0.0, self._start_time - time.monotonic()))
        record = self._record
        try:
            peeks = self._trial.peek(record.arrival)
            best_cached_tokens = max(
                peek['cached_tokens'] for peek in peeks.values()
            )
            record.best_cached_tokens = best_cached_tokens
            self._send(*self._trial.choose_target(record.arrival, peeks))
        except (OSError, http.client.HTTPException, ValueError) as error:
            record.status = record.status or -1
            print(f'request failed: {error!r}', file=sys.stderr)

    def _send(self, address, headers):
        record = self._record
        host, _, port = address.partition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=60)
        body = {
            'model': 'ruling-8b',
            'stream': True,
            'max_tokens': OUTPUT_TOKENS,
            'prompt': record.arrival.prompt,
        }
        started = time.monotonic()
        headers['Content-Type'] = 'application/json'
        connection.request(
            'POST', '/v1/completions', json.dumps(body), headers
        )
        answer = connection.getresponse()
        record.status = answer.status
        data = b''
        while chunk := answer.read1(65536):
            if not data:
                record.first_token_seconds = time.monotonic() - started
            data += chunk
        connection.close()
        if answer.status == 200:
            events = data.split(b'\n\n')
            record.is_complete = data.endswith(b'data: [DONE]\n\n')
            record.has_error_event = b'\nevent: error\n' in data
            if not record.is_complete:
                return
            usage = json.loads(events[-3].partition(b'data: ')[2])['usage']
            record.prompt_tokens = usage['prompt_tokens']
            details = usage['prompt_tokens_details']
            record.cached_tokens = details['cached_tokens']


class PolicyTrial:
    """A trial of one policy on a fleet of its own.

    Attributes:
        voters: number of voters among the VMs.
    """

    voters = 1

    def __init__(self, fleet, profile, policy):
        self._fleet = fleet
        self._policy = policy
        self._engines = [f'engine-{n}' for n in range(profile.engines)]
        for number in range(VM_COUNT):
            fleet.plan_vm(
                f'vm{number}',
                DATA_CENTRES[number],
                has_disk=number < self.voters,
                vm_slots=VM_COUNT,
                log_level='error',
                choice='expected-time' if policy == ORACLE else policy,
            )
        fleet.start_vms()
        fleet.found_fleet('vm0', self.voters)
        for number, engine in enumerate(self._engines):
            start_engine(fleet, engine, number)
        self._keys = self._configure(profile)
        fleet.await_endpoints(self._engines)
        fleet.await_ready()
        # Token buckets start empty. Wait until they are full.
        time.sleep(3)

    def _configure(self, profile):
        fields = yaml.safe_load(DOCUMENT_PATH.read_text())
        tokens = (
            (profile.common_blocks + profile.variant_blocks + 1) * 2048 * 4 / 3
        )
        fields['customers'] = []
        for number, share in enumerate(profile.customers):
            rate = 3 * share * profile.rate * tokens
            fields['customers'].append(
                {
                    'id': f'customer-{number}',
                    'rate_tokens_per_second': rate,
                    'burst_tokens': max(rate * 3, tokens * 6),
                }
            )
        path = self._fleet.folder / 'bench.yaml'
        path.write_text(yaml.safe_dump(fields))
        self._fleet.run_client('document', 'apply', str(path))
        return [
            self._fleet.run_client('key', 'issue', customer['id'])['secret']
            for customer in fields['customers']
        ]

    def peek(self, arrival):
        """Return cached and queued tokens by engine ID.

        Args:
            arrival: the ``Arrival`` whose prompt is looked up.
        """
        body = json.dumps(
            {
                'prompt': arrival.prompt,
                'customer': f'customer-{arrival.customer}',
            }
        )
        cached_and_queued = {}
        for engine in self._engines:
            port = self._fleet.ports_by_id[engine]
            url = f'http://127.0.0.1:{port}/peek'
            answer = self._fleet.http.request('POST', url, body=body)
            cached_and_queued[engine] = json.loads(answer.data)
        return cached_and_queued

    def choose_target(self, arrival, peeks):
        """Return the address to send a request to, and its headers.

        Args:
            arrival: the ``Arrival``.
            peeks: result of ``peek``; only the oracle uses it.
        """
        if self._policy != ORACLE:
            vm = self._fleet.vms_by_id[f'vm{arrival.vm}']
            key = self._keys[arrival.customer]
            return vm.caller_address, {'Authorization': f'Bearer {key}'}
        best_engine = min(
            peeks,
            key=lambda engine: (
                peeks[engine]['queued_tokens'] - peeks[engine]['cached_tokens']
            ),
        )
        headers = {'Carobwood-Customer': f'customer-{arrival.customer}'}
        return f'127.0.0.1:{self._fleet.ports_by_id[best_engine]}', headers


def run(profile, policy, seconds):
    """Run the arrivals against one policy and return the records."""
    sequence = generate_arrivals(profile, seconds)
    if policy == ORACLE:
        # The oracle bypasses the router's rate limits, which are three
        # times a customer's share. Keep only as many of the greedy
        # customer's requests as they admit in the long run.
        greedy_customer = len(profile.customers) - 1
        rng = random.Random(SEED)
        sequence = [
            arrival
            for arrival in sequence
            if arrival.customer != greedy_customer
            or rng.random() < 3 / GREEDY_FACTOR
        ]
    records = [RequestRecord(arrival) for arrival in sequence]
    with fleets.Fleet() as fleet:
        trial = PolicyTrial(fleet, profile, policy)
        start = time.monotonic() + 0.5
        callers = [Caller(trial, record, start) for record in records]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
    return records


def summarise(profile, records):
    """Return the figures of one policy by name."""
    served = [record for record in records if record.status == 200]
    greedy_customer = len(profile.customers) - 1
    regular_records = [
        r for r in records if r.arrival.customer != greedy_customer
    ]
    first_token_times = [record.first_token_seconds for record in served]
    by_customer = collections.defaultdict(list)
    for record in served:
        by_customer[record.arrival.customer].append(record.first_token_seconds)
    p95_by_customer = {
        customer: percentile(values, 95)
        for customer, values in by_customer.items()
        if customer != greedy_customer
    }
    prompt_tokens = sum(record.prompt_tokens for record in served)
    return {
        'served': len(served),
        'hit_rate': round(
            sum(r.cached_tokens for r in served) / prompt_tokens, 4
        ),
        'p50_ms': round(percentile(first_token_times, 50) * 1000),
        'p95_ms': round(percentile(first_token_times, 95) * 1000),
        'p99_ms': round(percentile(first_token_times, 99) * 1000),
        'wasted_tokens': sum(
            max(0, record.best_cached_tokens - record.cached_tokens)
            for record in served
        ),
        'worst_to_median_customer_p95': round(
            max(p95_by_customer.values())
            / statistics.median(p95_by_customer.values()),
            2,
        ),
        'refused_inside_rate': sum(r.status == 429 for r in regular_records),
        'refused_greedy': sum(r.status == 429 for r in records)
        - sum(r.status == 429 for r in regular_records),
        'other_failures': sum(r.status not in (200, 429) for r in records),
        'streams_not_whole': sum(not r.is_complete for r in served),
    }


def percentile(values, percent):
    """Return a percentile of values.

    Args:
        values: the values, at least two.
        percent: the percentile, from 1 to 99.
    """
    return statistics.quantiles(values, n=100)[percent - 1]


def main():
    """Run all policies on all profiles; print, store and plot the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--only', default='')
    arguments = parser.parse_args()
    seconds = 12 if arguments.quick else 25
    profiles = TRAFFIC_PROFILES[:1] if arguments.quick else TRAFFIC_PROFILES
    RESULTS_FOLDER.mkdir(exist_ok=True)
    for profile in profiles:
        figures = {}
        for policy in POLICIES + (ORACLE,):
            if arguments.only not in ('', policy):
                continue
            records = run(profile, policy, seconds)
            figures[policy] = summarise(profile, records)
            print(
                profile.name, policy, json.dumps(figures[policy]), flush=True
            )
        path = RESULTS_FOLDER / f'choice-{profile.name}.json'
        path.write_text(json.dumps(figures, indent=2) + '\n')
        plots.plot_choice(figures, path.with_suffix('.png'))


if __name__ == '__main__':
    main()
