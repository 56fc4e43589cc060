"""Cached prompts of a tenant are still shared after it has become isolated."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import configurations  # noqa: E402
import fleet as fleets  # noqa: E402
import model_client  # noqa: E402

MODEL = model_client.MODEL
SHARED_PART = model_client.Part('5c1e07a2', 6300)
OWN_TOKENS = 2890
OUTPUT_TOKENS = 40
KEYS_BY_TENANT = {'walled': 'key-w', 'plain': 'key-p'}
WALLED = 'walled'
# Time from the acknowledgement of the change to the next request; it is
# in force everywhere after ``config_apply_ms``.
SETTLE_SECONDS = 4.0


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
    operator.put_until_acked(fleet.cores, _configuration(1, False))
    for number in (1, 2):
        fleet.start_model_engine('galley', number)
    for front in fleet.fronts:
        fleet.await_ready(front)
    time.sleep(4.0)
    _send(fleet, record, 'before', WALLED)
    if fleets.TROUBLE:
        operator.put_until_acked(fleet.cores, _configuration(2, True))
    time.sleep(SETTLE_SECONDS)
    _send(fleet, record, 'after', 'plain')
    walled = {WALLED} if fleets.TROUBLE else set()
    return model_client.check_walls(fleet, record, walled)


def _configuration(version, is_isolated):
    return configurations.configuration(
        version,
        [configurations.stream_route('costing', 'galley', '/costing/')],
        [configurations.model_service('galley', MODEL)],
        [
            configurations.tenant(
                name, key, is_isolated and name == WALLED
            )
            for name, key in KEYS_BY_TENANT.items()
        ],
    )


def _send(fleet, record, when, tenant):
    """Send a request of a tenant to each front, one after the other."""
    for front in fleet.fronts:
        request_id = f'{when}-{tenant}-{front.name}'
        own_part = model_client.Part(request_id.encode().hex(), OWN_TOKENS)
        model_client.exchange(
            record,
            front,
            model_client.Request(
                request_id,
                tenant,
                KEYS_BY_TENANT[tenant],
                (SHARED_PART, own_part),
                OUTPUT_TOKENS,
            ),
        )


if __name__ == '__main__':
    sys.exit(main())
