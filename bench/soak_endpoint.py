"""A fake endpoint in a process of its own, which signals can silence.

It announces itself, and writes a line of JSON for the begin and the end of
its work on each request.
"""

import argparse
import json
import os
import pathlib
import sys
import threading
import time

_ROOT = pathlib.Path(__file__).resolve().parents[1]
for _folder in ('tests', 'platform'):
    sys.path.insert(0, str(_ROOT / _folder))

import fake_endpoint  # noqa: E402 (needs the paths above)
import relay_test_fleet  # noqa: E402 (needs the paths above)
import upgrade_endpoints  # noqa: E402 (needs the paths above)


# A longer pause between two looks at the clock is a pause of the process.
LOOK_SECONDS = 0.05
LAG_SECONDS = 0.1
# What stands in the record for a larger body, which no check compares.
MAX_RECORDED_BYTES = 4096
LARGE_BODY = b'large'


class _Record:
    """The record of what the endpoint works on."""

    def __init__(self, path):
        self._file = open(path, 'a', buffering=1)
        self._lock = threading.Lock()

    def note_begin(self, headers, path, body):
        if len(body) > MAX_RECORDED_BYTES:
            body = LARGE_BODY
        self._write(
            headers,
            customer=headers.get('x-carobwood-tenant', ''),
            path=path,
            body=body.decode(),
        )

    def note_end(self, headers):
        self._write(headers)

    def note_pauses(self):
        """Note for ever when the process did not run."""
        looked_at = time.monotonic()
        while True:
            time.sleep(LOOK_SECONDS)
            now = time.monotonic()
            if now - looked_at > LAG_SECONDS:
                self._write_line({'pause': [looked_at, now]})
            looked_at = now

    def _write(self, headers, **fields):
        fields['request_id'] = headers.get('x-carobwood-request-id', '')
        # The same thread begins and ends the work on a request.
        fields['thread'] = threading.get_ident()
        fields['at'] = time.monotonic()
        self._write_line(fields)

    def _write_line(self, fields):
        with self._lock:
            self._file.write(json.dumps(fields) + '\n')


def _announce_periodically(endpoint, controls):
    """Announce the endpoint until the process that started it has ended."""
    starter = os.getppid()
    sequence = 0
    while os.getppid() == starter:
        sequence += 1
        host, _, port = controls[sequence % len(controls)].partition(':')
        reply = relay_test_fleet.ask(
            int(port),
            'PUT',
            f'/v1/instances/{endpoint.name}',
            json.dumps(endpoint.announcement(sequence)).encode(),
            host=host,
            timeout=upgrade_endpoints.CALL_TIMEOUT_SECONDS,
        )
        time.sleep(
            upgrade_endpoints.HEARTBEAT_SECONDS
            if reply.status == 200
            else upgrade_endpoints.RETRY_SECONDS
        )


def main():
    """Serve until the process is killed or its starter ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--pause-seconds', type=float, required=True)
    parser.add_argument('--record', required=True)
    parser.add_argument('--controls', nargs='+', required=True)
    arguments = parser.parse_args()
    endpoint = fake_endpoint.FakeEngine(arguments.name, arguments.service)
    endpoint.pause_seconds = arguments.pause_seconds
    record = _Record(arguments.record)
    endpoint.on_run = record.note_begin
    endpoint.on_end = record.note_end
    threading.Thread(target=record.note_pauses, daemon=True).start()
    _announce_periodically(endpoint, arguments.controls)


if __name__ == '__main__':
    main()
