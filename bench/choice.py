"""Compares ways of choosing an engine on one arrival sequence.

Each way gets a fresh fleet of real daemons and fake engines with small
caches. An oracle that knows every cache and queue sends directly.
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

DOCUMENT = pathlib.Path(__file__).parents[1] / 'examples' / 'production.yaml'
RESULTS = pathlib.Path(__file__).parent / 'results'
POLICIES = ('round-robin', 'least-loaded', 'prefix-hash', 'expected-time')
ORACLE = 'oracle'
SEED = 20261204
VMS = 3
DATA_CENTRES = ('bole', 'kirkos', 'arada')
PIECE_BYTES = 2048 * 4
PREFILL_SECONDS_PER_TOKEN = 0.00005
TOKEN_SECONDS = 0.004
OUTPUT_TOKENS = 12
CACHE_PIECES = 26
GREEDY_FACTOR = 6


@dataclasses.dataclass(frozen=True)
class Shape:
    """A user's traffic.

    Attributes:
        name: the user.
        engines: number of engines.
        rate: requests a second, the greedy customer's extra apart.
        customers: shares of the customers; the last one is greedy.
        leaves: prefixes under each customer's common prefix.
        common_pieces: pieces that a customer's requests share.
        leaf_pieces: pieces of a leaf under it.
        shift_seconds: time after which other leaves become hot.
    """

    name: str
    engines: int
    rate: float
    customers: tuple[float, ...]
    leaves: int
    common_pieces: int
    leaf_pieces: int
    shift_seconds: float


SHAPES = (
    Shape('abyssinia', 5, 14.0, (0.4, 0.3, 0.15, 0.1, 0.05), 8, 2, 2, 6.0),
    Shape('tussock', 6, 10.0, (0.4, 0.3, 0.15, 0.1, 0.05), 6, 1, 4, 10.0),
)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of the sequence."""

    at: float
    customer: int
    prompt: str
    vm: int


@dataclasses.dataclass
class Record:
    """What became of an arrival."""

    arrival: Arrival
    status: int = 0
    first_token_seconds: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    best_cached_tokens: int = 0
    is_whole: bool = False
    has_error_event: bool = False
    failure: str = ''


def arrivals(shape, seconds):
    """Return the seeded sequence of a shape."""
    source = random.Random(SEED)
    found = []
    at = 0.0
    greedy = len(shape.customers) - 1
    weights = list(shape.customers)
    weights[greedy] *= GREEDY_FACTOR
    rate = shape.rate * sum(weights)
    while at < seconds:
        at += source.expovariate(rate)
        customer = source.choices(range(len(weights)), weights)[0]
        hot = int(at / shape.shift_seconds)
        rank = min(int(source.paretovariate(1.1)) - 1, shape.leaves - 1)
        leaf = (hot * 3 + rank) % shape.leaves
        prompt = _text(f'c{customer}', shape.common_pieces) + _text(
            f'c{customer} leaf{leaf}', shape.leaf_pieces
        )
        prompt += f' case {len(found)} ' + 'y' * source.randrange(200, 2000)
        found.append(Arrival(at, customer, prompt, source.randrange(VMS)))
    return found


def _text(name, pieces):
    unit = f'{name} says one face and a plain background; '
    return (unit * (pieces * PIECE_BYTES // len(unit) + 1))[
        : pieces * PIECE_BYTES
    ]


def start_engine(fleet, engine_id, number):
    """Start an engine of the measurement in a data centre by number."""
    fleet.start_engine(
        engine_id,
        DATA_CENTRES[number % len(DATA_CENTRES)],
        cache_pieces=CACHE_PIECES,
        prefill_seconds_per_token=PREFILL_SECONDS_PER_TOKEN,
        token_seconds=TOKEN_SECONDS,
    )


class Caller(threading.Thread):
    """Sends one arrival at its moment."""

    def __init__(self, arm, record, start):
        super().__init__(daemon=True)
        self._arm = arm
        self._record = record
        self._start_at = start + record.arrival.at

    def run(self):
        """Wait, send and record."""
        time.sleep(max(0.0, self._start_at - time.monotonic()))
        record = self._record
        try:
            peeks = self._arm.peek(record.arrival)
            best = max(peek['cached_tokens'] for peek in peeks.values())
            record.best_cached_tokens = best
            self._send(*self._arm.target(record.arrival, peeks))
        except (OSError, http.client.HTTPException, ValueError) as error:
            record.status = record.status or -1
            print(f'arrival failed: {error!r}', file=sys.stderr)

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
        while part := answer.read1(65536):
            if not data:
                record.first_token_seconds = time.monotonic() - started
            data += part
        connection.close()
        if answer.status == 200:
            events = data.split(b'\n\n')
            record.is_whole = data.endswith(b'data: [DONE]\n\n')
            record.has_error_event = b'\nevent: error\n' in data
            if not record.is_whole:
                return
            usage = json.loads(events[-3].partition(b'data: ')[2])['usage']
            record.prompt_tokens = usage['prompt_tokens']
            details = usage['prompt_tokens_details']
            record.cached_tokens = details['cached_tokens']


class Arm:
    """One way of choosing, with a fleet of its own."""

    voters = 1

    def __init__(self, fleet, shape, policy):
        self._fleet = fleet
        self._policy = policy
        self._engines = [f'engine-{n}' for n in range(shape.engines)]
        for number in range(VMS):
            fleet.plan_vm(
                f'vm{number}',
                DATA_CENTRES[number],
                has_disk=number < self.voters,
                vm_slots=VMS,
                log_level='error',
                choice='expected-time' if policy == ORACLE else policy,
            )
        fleet.start_vms()
        fleet.found('vm0', self.voters)
        for number, engine in enumerate(self._engines):
            start_engine(fleet, engine, number)
        self._keys = self._configure(shape)
        fleet.await_endpoints(self._engines)
        fleet.await_ready()
        # Buckets start empty; the measurement starts with full ones.
        time.sleep(3)

    def _configure(self, shape):
        fields = yaml.safe_load(DOCUMENT.read_text())
        tokens = (shape.common_pieces + shape.leaf_pieces + 1) * 2048 * 4 / 3
        fields['customers'] = []
        for number, share in enumerate(shape.customers):
            rate = 3 * share * shape.rate * tokens
            fields['customers'].append(
                {
                    'id': f'customer-{number}',
                    'rate_tokens_per_second': rate,
                    'burst_tokens': max(rate * 3, tokens * 6),
                }
            )
        path = self._fleet.folder / 'bench.yaml'
        path.write_text(yaml.safe_dump(fields))
        self._fleet.client('document', 'apply', str(path))
        return [
            self._fleet.client('key', 'issue', customer['id'])['secret']
            for customer in fields['customers']
        ]

    def peek(self, arrival):
        """Return what every engine has cached and queued."""
        body = json.dumps(
            {
                'prompt': arrival.prompt,
                'customer': f'customer-{arrival.customer}',
            }
        )
        found = {}
        for engine in self._engines:
            port = self._fleet.ports_by_id[engine]
            url = f'http://127.0.0.1:{port}/peek'
            answer = self._fleet.http.request('POST', url, body=body)
            found[engine] = json.loads(answer.data)
        return found

    def target(self, arrival, peeks):
        """Return the address to send to, and the headers."""
        if self._policy != ORACLE:
            vm = self._fleet.vms_by_id[f'vm{arrival.vm}']
            key = self._keys[arrival.customer]
            return vm.caller, {'Authorization': f'Bearer {key}'}
        best = min(
            peeks,
            key=lambda engine: (
                peeks[engine]['queued_tokens'] - peeks[engine]['cached_tokens']
            ),
        )
        headers = {'Carobwood-Customer': f'customer-{arrival.customer}'}
        return f'127.0.0.1:{self._fleet.ports_by_id[best]}', headers


def run(shape, policy, seconds):
    """Return the records of one way of choosing."""
    sequence = arrivals(shape, seconds)
    if policy == ORACLE:
        # Limits are the router's; the oracle gets what they let pass.
        greedy = len(shape.customers) - 1
        kept = random.Random(SEED)
        sequence = [
            arrival
            for arrival in sequence
            if arrival.customer != greedy or kept.random() < 3 / GREEDY_FACTOR
        ]
    records = [Record(arrival) for arrival in sequence]
    with fleets.Fleet() as fleet:
        arm = Arm(fleet, shape, policy)
        start = time.monotonic() + 0.5
        callers = [Caller(arm, record, start) for record in records]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
    return records


def summarise(shape, records):
    """Return the figures of one way of choosing."""
    served = [record for record in records if record.status == 200]
    greedy = len(shape.customers) - 1
    ordinary = [r for r in records if r.arrival.customer != greedy]
    firsts = [record.first_token_seconds for record in served]
    by_customer = collections.defaultdict(list)
    for record in served:
        by_customer[record.arrival.customer].append(record.first_token_seconds)
    worst = {
        customer: percentile(values, 95)
        for customer, values in by_customer.items()
        if customer != greedy
    }
    prompt = sum(record.prompt_tokens for record in served)
    return {
        'served': len(served),
        'hit_rate': round(sum(r.cached_tokens for r in served) / prompt, 4),
        'p50_ms': round(percentile(firsts, 50) * 1000),
        'p95_ms': round(percentile(firsts, 95) * 1000),
        'p99_ms': round(percentile(firsts, 99) * 1000),
        'wasted_tokens': sum(
            max(0, record.best_cached_tokens - record.cached_tokens)
            for record in served
        ),
        'worst_to_median_customer_p95': round(
            max(worst.values()) / statistics.median(worst.values()), 2
        ),
        'refused_inside_rate': sum(r.status == 429 for r in ordinary),
        'refused_greedy': sum(r.status == 429 for r in records)
        - sum(r.status == 429 for r in ordinary),
        'other_failures': sum(r.status not in (200, 429) for r in records),
        'streams_not_whole': sum(not r.is_whole for r in served),
    }


def percentile(values, share):
    """Return the value that a share (in percent) stays below."""
    return statistics.quantiles(values, n=100)[share - 1]


def main():
    """Run all ways on all shapes; print and store the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--only', default='')
    arguments = parser.parse_args()
    seconds = 12 if arguments.quick else 25
    shapes = SHAPES[:1] if arguments.quick else SHAPES
    RESULTS.mkdir(exist_ok=True)
    for shape in shapes:
        figures = {}
        for policy in POLICIES + (ORACLE,):
            if arguments.only not in ('', policy):
                continue
            records = run(shape, policy, seconds)
            figures[policy] = summarise(shape, records)
            print(shape.name, policy, json.dumps(figures[policy]), flush=True)
        path = RESULTS / f'choice-{shape.name}.json'
        path.write_text(json.dumps(figures, indent=2) + '\n')
        plots.plot_choice(figures, path.with_suffix('.png'))


if __name__ == '__main__':
    main()
