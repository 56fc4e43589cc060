"""A stand-in for a plain service that takes orders and returns records.

It counts how often an order with each idempotency key is executed, so
that tests can detect repeated execution.

A POST to ``/fault`` sets a fault for the next order:

- ``drop``: execute the order, then close the connection unanswered.
- ``hang``: do not answer for an hour.
- ``hold``: answer only after the fault ``release`` is set.
"""

import collections
import json
import threading
import time

import stand_in_server


class ServiceState:
    """State that the request threads share.

    Attributes:
        lock: guards the counters, headers and fault.
        runs_by_key: number of executions of each idempotency key.
        headers_seen: headers of the last 50 orders.
        fault: fault to apply to the next order, or an empty string.
        released: set once held orders may be answered.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.runs_by_key = collections.Counter()
        self.headers_seen = []
        self.fault = ''
        self.released = threading.Event()


class Handler(stand_in_server.Handler):
    """Takes orders, returns records and echoes bodies.

    Attributes:
        state: the ``ServiceState``, shared by all requests.
        delay_seconds: seconds that the execution of an order takes.
    """

    state = None
    delay_seconds = 0.0

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Return the execution counters (``/runs``) or a record."""
        if self.path == '/runs':
            with self.state.lock:
                runs = dict(self.state.runs_by_key)
                seen = list(self.state.headers_seen)
            self.send_json(200, {'runs': runs, 'headers': seen})
            return
        self.send_json(200, {'path': self.path})

    def do_POST(self):  # noqa: N802 (named by http.server)
        """Execute an order, echo a body (``/echo``) or set a fault."""
        body = self.read_body()
        if self.path == '/fault':
            self.state.fault = json.loads(body)['fault']
            if self.state.fault == 'release':
                self.state.fault = ''
                self.state.released.set()
            self.send_json(200, {})
            return
        if self.path.startswith('/echo'):
            self.send_body(200, body, 'application/octet-stream')
            return
        self._run(body)

    do_PUT = do_POST  # noqa: N815 (named by http.server)

    def _run(self, body):
        key = self.headers.get('Idempotency-Key', '')
        with self.state.lock:
            self.state.runs_by_key[key] += 1
            run = self.state.runs_by_key[key]
            self.state.headers_seen.append(dict(self.headers.items()))
            del self.state.headers_seen[:-50]
            fault, self.state.fault = self.state.fault, ''
        if fault == 'drop':
            # The order has been executed, but the response is lost.
            self.close_connection = True
            return
        if fault == 'hang':
            time.sleep(3600)
        if fault == 'hold':
            self.state.released.wait()
        time.sleep(self.delay_seconds)
        self.send_json(201, {'order': key, 'run': run, 'bytes': len(body)})


def main():
    """Run the service until SIGTERM."""
    parser = stand_in_server.make_parser(__doc__.splitlines()[0])
    parser.add_argument('--delay', type=float, default=0.0)
    arguments = parser.parse_args()
    Handler.state = ServiceState()
    Handler.delay_seconds = arguments.delay
    stand_in_server.serve(arguments, Handler, dict)


if __name__ == '__main__':
    main()
