"""A stand-in for a plain service of orders and records.

Counts the runs of every idempotency key, so that a proof can tell
whether a request ran more than once.
"""

import collections
import json
import threading
import time

import http_stand_in


class Book:
    """Orders by idempotency key, and how often each ran."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs_by_key = collections.Counter()
        self.headers_seen = []
        self.fault = ''
        self.released = threading.Event()


class Handler(http_stand_in.Handler):
    """Takes orders, returns records and echoes bodies."""

    book = None
    delay = 0.0

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Return counters, or a record."""
        if self.path == '/runs':
            with self.book.lock:
                runs = dict(self.book.runs_by_key)
                seen = list(self.book.headers_seen)
            self.send_json(200, {'runs': runs, 'headers': seen})
            return
        self.send_json(200, {'path': self.path})

    def do_POST(self):  # noqa: N802 (named by http.server)
        """Run an order, echo a body, or set a fault."""
        body = self.read_body()
        if self.path == '/fault':
            self.book.fault = json.loads(body)['fault']
            if self.book.fault == 'release':
                self.book.fault = ''
                self.book.released.set()
            self.send_json(200, {})
            return
        if self.path.startswith('/echo'):
            self.send_body(200, body, 'application/octet-stream')
            return
        self._run(body)

    do_PUT = do_POST  # noqa: N815 (named by http.server)

    def _run(self, body):
        key = self.headers.get('Idempotency-Key', '')
        with self.book.lock:
            self.book.runs_by_key[key] += 1
            run = self.book.runs_by_key[key]
            self.book.headers_seen.append(dict(self.headers.items()))
            del self.book.headers_seen[:-50]
            fault, self.book.fault = self.book.fault, ''
        if fault == 'drop':
            # The order ran, and its answer is lost.
            self.close_connection = True
            return
        if fault == 'hang':
            time.sleep(3600)
        if fault == 'hold':
            self.book.released.wait()
        time.sleep(self.delay)
        self.send_json(201, {'order': key, 'run': run, 'bytes': len(body)})


def main():
    """Run the service until SIGTERM."""
    parser = http_stand_in.make_parser(__doc__.splitlines()[0])
    parser.add_argument('--delay', type=float, default=0.0)
    arguments = parser.parse_args()
    Handler.book = Book()
    Handler.delay = arguments.delay
    http_stand_in.serve(arguments, Handler, dict)


if __name__ == '__main__':
    main()
