"""Sends streaming requests from many threads; prints the results as JSON.

A program of its own, so that benchmarks can spread load over processes.
"""

import argparse
import http.client
import json
import threading
import time


class Caller(threading.Thread):
    """Sends one streaming request at a set time.

    Attributes:
        first_event_seconds: seconds from the request to the first
            received bytes of the stream, or None.
        events: number of received events.
        bytes: number of received bytes.
        failure: what went wrong, or an empty string.
    """

    def __init__(self, arguments, number, start_at):
        super().__init__(daemon=True)
        self._arguments = arguments
        self._number = number
        self._start_at = start_at
        self.first_event_seconds = None
        self.events = 0
        self.bytes = 0
        self.failure = ''

    def run(self):
        """Wait for the start time, send the request and read the stream."""
        time.sleep(max(0.0, self._start_at - time.monotonic()))
        try:
            self._stream()
        except (OSError, http.client.HTTPException) as error:
            self.failure = repr(error)

    def _stream(self):
        arguments = self._arguments
        host, _, port = arguments.address.partition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=60)
        prompt = f'{self._number % arguments.prompts} ' + 'x' * (
            arguments.prompt_bytes
        )
        body = {
            'model': 'ruling-8b',
            'stream': True,
            'max_tokens': arguments.max_tokens,
            'prompt': prompt,
        }
        started = time.monotonic()
        connection.request(
            'POST',
            '/v1/completions',
            json.dumps(body),
            {
                'Content-Type': 'application/json',
                'Authorization': f'Bearer {arguments.key}',
                'Carobwood-Customer': 'abyssinia-bole',
            },
        )
        answer = connection.getresponse()
        if answer.status != 200:
            self.failure = f'{answer.status} {answer.read()[:200]}'
            return
        tail = b''
        while True:
            data = answer.read1(65536)
            if not data:
                break
            if self.first_event_seconds is None:
                self.first_event_seconds = time.monotonic() - started
            self.events += data.count(b'\n\n')
            self.bytes += len(data)
            tail = (tail + data)[-64:]
        if not tail.endswith(b'data: [DONE]\n\n'):
            self.failure = f'stream ended without its final event: {tail!r}'


def main():
    """Run the callers and print their combined results."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--key', default='')
    parser.add_argument('--count', type=int, default=50)
    parser.add_argument('--rate', type=float, default=0.0)
    parser.add_argument('--max-tokens', type=int, default=16)
    parser.add_argument('--prompts', type=int, default=8)
    parser.add_argument('--prompt-bytes', type=int, default=64)
    arguments = parser.parse_args()
    start = time.monotonic() + 0.2
    interval_seconds = 1 / arguments.rate if arguments.rate else 0.0
    callers = [
        Caller(arguments, number, start + number * interval_seconds)
        for number in range(arguments.count)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    print(
        json.dumps(
            {
                'seconds': time.monotonic() - start,
                'events': sum(caller.events for caller in callers),
                'bytes': sum(caller.bytes for caller in callers),
                'first_event_seconds': [
                    caller.first_event_seconds
                    for caller in callers
                    if caller.first_event_seconds is not None
                ],
                'problems': [c.failure for c in callers if c.failure],
            }
        )
    )


if __name__ == '__main__':
    main()
