"""Entries of another writer take the engines of a service out of use for good.

The entries have the addresses of real engines and a service that no
configuration names. The engine that started last at an address hides the others
there, whatever its service is.
"""

import collections
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import configurations  # noqa: E402
import fleet as fleets  # noqa: E402

# Engines of each service; those of the second one have higher numbers.
ENGINES = 3
FIRST, LATER = 'orders', 'menus'
# Requests on each route, and the time between two of them.
REQUESTS = 100
GAP_SECONDS = 0.2
# The rule holds from this number of requests on.
MIN_REQUESTS = 20
DEADLINE_SECONDS = 3.0


def main():
    record = fleets.Record(HERE / 'record.txt')
    try:
        with fleets.Fleet(record, cores=3, fronts=2) as fleet:
            return run(fleet, record)
    except fleets.CannotRun as error:
        record(f'the case could not run: {error}')
        return 2


def run(fleet, record):
    operator = fleets.Operator(record)
    fleet.start()
    fleet.await_leader()
    operator.put_until_acked(fleet.cores, _configuration(1, [FIRST]))
    for number in range(1, 2 * ENGINES + 1):
        service = FIRST if number <= ENGINES else LATER
        fleet.start_engine(service, number)
    for front in fleet.fronts:
        fleet.await_ready(front)
    time.sleep(4.0)
    operator.put_until_acked(fleet.cores, _configuration(2, [FIRST, LATER]))
    time.sleep(fleets.BOUNDS['config_apply_ms'] / 1000)
    _send_all(fleet, record, 'before', 10)
    if fleets.TROUBLE:
        _announce_others(fleet, record)
    time.sleep(fleets.BOUNDS['contact_ms'] / 1000)
    served = _send_all(fleet, record, 'after', REQUESTS)
    return _check(served, record)


def _configuration(version, names):
    return configurations.configuration(
        version,
        [
            configurations.route(name, name, 'safe', f'/{name}/')
            for name in names
        ],
        [configurations.plain_service(name) for name in names],
    )


def _announce_others(fleet, record):
    """Send the entries of another writer, once each."""
    for number in range(ENGINES + 1, 2 * ENGINES + 1):
        body = {
            'service': 'not-named',
            'address': fleet.engine_address(number),
            'zone': fleets.ZONES[0],
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq_no': 1,
            'born': int(time.time() * 1000),
        }
        status, _ = fleets.call(
            fleet.cores[0].address('control'),
            'PUT',
            f'/v1/instances/other-{number}',
            json.dumps(body).encode(),
        )
        record(f'other writer: {body["address"]}: {status}')


def _send_all(fleet, record, when, count):
    """Send requests on both routes; return the counts of statuses by route."""
    counts_by_route = {name: collections.Counter() for name in (FIRST, LATER)}
    for number in range(count):
        front = fleet.fronts[number % len(fleet.fronts)]
        for name, counts in counts_by_route.items():
            status, _ = fleets.call(
                front.address('front'),
                'GET',
                f'/{name}/{number}',
                None,
                DEADLINE_SECONDS,
                {
                    'Host': 'stores.example',
                    'X-Carobwood-Request-Id': f'{when}-{name}-{number}',
                    'X-Carobwood-Deadline-Ms': str(
                        int(1000 * DEADLINE_SECONDS)
                    ),
                },
            )
            counts[status] += 1
            record(f'{when}: {name} {number} at {front.name}: {status}')
        time.sleep(GAP_SECONDS)
    for name, counts in counts_by_route.items():
        record(f'{when}: {name}: {dict(counts)}')
    return counts_by_route


def _check(counts_by_route, record):
    shares = {
        name: counts[200] / sum(counts.values())
        for name, counts in counts_by_route.items()
    }
    record(f'share served: {shares}')
    if sum(counts_by_route[LATER].values()) < MIN_REQUESTS:
        raise fleets.CannotRun('too few requests')
    if 4 * shares[LATER] < shares[FIRST]:
        record('the route that was added later is not served: RULE BROKEN')
        return 1
    record('the rule held')
    return 0


if __name__ == '__main__':
    sys.exit(main())
