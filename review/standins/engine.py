"""A stand-in for an engine of a plain service, as PROTOCOL.md describes it.

It runs as a process: engine.py ADDRESS SERVICE ZONE ID HEARTBEAT_SECONDS
WORK_SECONDS RECORD CONTROL_ADDRESS...
"""

import http.server
import json
import socketserver
import sys
import threading
import time

import fleet


class Engine:
    """State of the engine: what it has run."""

    def __init__(self, arguments):
        address, self.service, self.zone, self.id = arguments[:4]
        self.address = address
        self.heartbeat_seconds = float(arguments[4])
        self.work_seconds = float(arguments[5])
        self._record_path = arguments[6]
        self.controls = arguments[7:]
        self.born = int(time.time() * 1000)
        self._lock = threading.Lock()

    def note(self, text):
        """Append a line to the record of what was run."""
        with self._lock, open(self._record_path, 'a') as file:
            print(f'{time.monotonic():.3f} {self.id} {text}', file=file)

    def description(self):
        """Return further fields of the heartbeats."""
        return {'slots': 6}

    def announce(self):
        """Send heartbeats for ever, to the next control address on failure."""
        number = 0
        turn = 0
        while True:
            number += 1
            body = {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'state': 'ready',
                'cold_left_ms': 0,
                'seq_no': number,
                'born': self.born,
                **self.description(),
            }
            for _ in self.controls:
                status, _ = fleet.call(
                    self.controls[turn % len(self.controls)],
                    'PUT',
                    f'/v1/instances/{self.id}',
                    json.dumps(body).encode(),
                )
                if status is not None and 200 <= status < 300:
                    break
                turn += 1
            time.sleep(self.heartbeat_seconds)


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers one request after the other on a connection."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    engine = None

    def handle_any(self):
        """Run a request, or reject it without running it."""
        length = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(length)
        if self.path == '/health':
            self._answer(200, b'')
            return
        expected = self.headers.get('X-Carobwood-Expect-Instance')
        request_id = self.headers.get('X-Carobwood-Request-Id')
        if expected not in (None, self.engine.id):
            self._answer(421, b'', {'X-Carobwood-Not-Run': '1'})
            return
        if not request_id:
            self._answer(400, b'', {'X-Carobwood-Not-Run': '1'})
            return
        self.run(request_id, body)

    do_GET = do_POST = do_PUT = do_DELETE = handle_any

    def run(self, request_id, body):
        """Run a request and answer it."""
        self.engine.note(f'runs {request_id} {self.command} {self.path}')
        time.sleep(self.engine.work_seconds)
        answer = f'{request_id} {len(body)}'.encode()
        self._answer(200, answer, {'X-Carobwood-Response-Stamp': 'stamp'})

    def _answer(self, status, body, headers=None):
        self.send_response(status)
        request_id = self.headers.get('X-Carobwood-Request-Id')
        if request_id:
            self.send_header('X-Carobwood-Request-Id', request_id)
        self.send_header('X-Carobwood-Instance-Id', self.engine.id)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Write no log lines."""


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """Serves each connection on a thread."""

    daemon_threads = True
    request_queue_size = 512


def serve(engine, handler):
    """Announce an engine and serve its requests with a handler class."""
    handler.engine = engine
    host, _, port = engine.address.partition(':')
    server = Server((host, int(port)), handler)
    threading.Thread(target=engine.announce, daemon=True).start()
    server.serve_forever()


def main():
    """Announce the engine and serve its requests."""
    serve(Engine(sys.argv[1:]), Handler)


if __name__ == '__main__':
    main()
