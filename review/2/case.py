"""One invalid configuration ends all changes and reads of the configuration.

A service names the address of its store as a list. The configuration is
stored all the same; applying it fails on every core process, in the thread
that applies the replicated log.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import configurations  # noqa: E402
import fleet as fleets  # noqa: E402

# Time in which the operator sends a change again, and then reads.
RESEND_SECONDS = 20.0
READ_SECONDS = 10.0
# Time between two calls of the operator.
PAUSE_SECONDS = 0.3
BODY = b'hello'


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
    operator.put_until_acked(fleet.cores, _configuration(1, ['orders']))
    for number in (1, 2, 3):
        fleet.start_engine('stores', number)
    for front in fleet.fronts:
        fleet.await_ready(front)
    time.sleep(4.0)
    _send(fleet, record, '/orders/1')
    if fleets.TROUBLE:
        _send_invalid(fleet, operator)
    time.sleep(fleets.BOUNDS['contact_ms'] / 1000)
    _send(fleet, record, '/status/1')
    is_acked = _send_change(fleet, operator)
    versions = _read(fleet, operator)
    ran = fleet.runs()
    record(f'run by engines: {ran}')
    broken = []
    if not is_acked:
        broken.append('a valid change is not acknowledged')
    if not versions:
        broken.append('no configuration is read back')
    if 'status' in ran:
        broken.append('a route of the invalid configuration is in force')
    for text in broken:
        record(f'{text}: RULE BROKEN')
    if not broken:
        record('the rule held')
    return 1 if broken else 0


def _configuration(version, route_names):
    routes = [
        configurations.route(name, 'stores', 'safe', f'/{name}/')
        for name in route_names
    ]
    return configurations.configuration(
        version, routes, [configurations.plain_service('stores')]
    )


def _send_invalid(fleet, operator):
    """Send the invalid configuration until it is refused or accepted."""
    configuration = _configuration(2, ['orders', 'status'])
    store = {
        'name': 'larder',
        # A text in the pages.
        'kv_store_addr': [f'{fleet.network}.250:8604'],
        'zone': fleets.ZONES[0],
        'kv_capacity': 999711,
        'bandwidth_mbps': 240000.0,
        'max_inflight': 12,
    }
    configuration['services'].append(store)
    for core in fleet.cores:
        status = operator.put_status(core, configuration)
        if status is not None and status < 500:
            return
        time.sleep(PAUSE_SECONDS)


def _send_change(fleet, operator):
    """Send a valid change to one core after the other until it is acked."""
    configuration = _configuration(3, ['orders'])
    ends_at = time.monotonic() + RESEND_SECONDS
    while time.monotonic() < ends_at:
        for core in fleet.cores:
            if operator.put(core, configuration):
                return True
            time.sleep(PAUSE_SECONDS)
    return False


def _read(fleet, operator):
    """Read from all cores; return the versions that came."""
    versions = set()
    ends_at = time.monotonic() + READ_SECONDS
    while time.monotonic() < ends_at:
        for core in fleet.cores:
            versions.add(operator.read(core))
            time.sleep(PAUSE_SECONDS)
    versions.discard(None)
    return versions


def _send(fleet, record, path):
    """Send a request to each front; its id is the first part of the path."""
    for front in fleet.fronts:
        status, _ = fleets.call(
            front.address('front'),
            'POST',
            path,
            BODY,
            3.0,
            {
                'Host': 'stores.example',
                'X-Carobwood-Request-Id': path.split('/')[1],
                'X-Carobwood-Deadline-Ms': '3000',
            },
        )
        record(f'client: POST {path} to {front.name}: {status}')


if __name__ == '__main__':
    sys.exit(main())
