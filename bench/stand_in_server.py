"""Base of the stand-ins: an HTTP server that announces itself.

The server is an endpoint of the router. It sends announcements to the
operators' API of a VM, as real engines and services do.
"""

import argparse
import http.server
import json
import signal
import socket
import sys
import threading
import time

import urllib3

ANNOUNCE_PERIOD_SECONDS = 0.5
READ_LIMIT_BYTES = 64 * 1024 * 1024


class Handler(http.server.BaseHTTPRequestHandler):
    """Reads request bodies and sends JSON responses and event streams.

    Every response repeats the request's ``X-Request-Id``.
    """

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = 0

    def log_message(self, format, *args):
        """Log nothing."""

    def read_body(self):
        """Return the complete request body, also of a chunked request."""
        length = self.headers.get('Content-Length')
        if length is not None:
            return self.rfile.read(int(length))
        if self.headers.get('Transfer-Encoding') != 'chunked':
            return b''
        parts = []
        while True:
            size = int(self.rfile.readline(), 16)
            parts.append(self.rfile.read(size))
            self.rfile.readline()
            if size == 0:
                return b''.join(parts)

    def send_body(self, status, body, content_type, extra_headers=None):
        """Send a complete response.

        Args:
            status: HTTP status code.
            body: body as bytes.
            content_type: value of ``Content-Type``.
            extra_headers: further headers by name.
        """
        self.send_response(status)
        self.send_header('Content-Type', content_type)
        self.send_header('Content-Length', str(len(body)))
        self._send_extra_headers(extra_headers)
        self.end_headers()
        self.wfile.write(body)

    def send_json(self, status, value, extra_headers=None):
        """Send a complete response whose body is a value as JSON."""
        body = json.dumps(value).encode('utf-8')
        self.send_body(status, body, 'application/json', extra_headers)

    def start_stream(self, extra_headers=None):
        """Send the status line and headers of a chunked event stream."""
        self.send_response(200)
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        self._send_extra_headers(extra_headers)
        self.end_headers()

    def send_chunk(self, data):
        """Send one chunk; a chunk without data ends the stream."""
        self.wfile.write(b'%x\r\n%s\r\n' % (len(data), data))

    def _send_extra_headers(self, extra_headers):
        request_id = self.headers.get('X-Request-Id')
        if request_id:
            self.send_header('X-Request-Id', request_id)
        for name, value in (extra_headers or {}).items():
            self.send_header(name, value)


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server whose threads end with the process."""

    daemon_threads = True
    request_queue_size = 1024
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """Log nothing, as tests break connections on purpose."""


class Announcer(threading.Thread):
    """Announces an endpoint periodically.

    Args:
        operators: addresses of the operators' API of the VMs.
        token: bearer token for announcements.
        get_fields: function that returns the fields of an announcement
            but ``incarnation`` and ``sequence``.
    """

    def __init__(self, operators, token, get_fields):
        super().__init__(name='announcer', daemon=True)
        self._operators = operators
        self._get_fields = get_fields
        self._incarnation = time.time_ns() // 1000
        self._sequence = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._http = urllib3.PoolManager(
            timeout=1.0,
            retries=False,
            headers={
                'Authorization': f'Bearer {token}',
                'Content-Type': 'application/json',
            },
        )

    def run(self):
        """Announce once a period until ``stop`` is called."""
        while not self._stopped.is_set():
            self.announce()
            self._stopped.wait(ANNOUNCE_PERIOD_SECONDS)

    def announce(self):
        """Send one announcement, to the first VM that accepts it."""
        with self._lock:
            self._sequence += 1
            message = dict(
                self._get_fields(),
                incarnation=self._incarnation,
                sequence=self._sequence,
            )
        for operator in self._operators:
            try:
                answer = self._http.request(
                    'POST',
                    f'http://{operator}/v1/announcements',
                    body=json.dumps(message).encode('utf-8'),
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                return

    def stop(self):
        """Stop the periodic announcements."""
        self._stopped.set()


def make_parser(description):
    """Return a parser with the flags that all stand-ins have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--id', required=True)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--data-centre', default='bole')
    parser.add_argument('--pool', required=True)
    parser.add_argument('--environment', default='production')
    parser.add_argument('--operators', default='')
    parser.add_argument('--announce-token', default='')
    parser.add_argument('--advertise', default='')
    return parser


def serve(arguments, handler, get_fields):
    """Serve until SIGTERM, then announce leaving and exit.

    The listening port is printed as a line of JSON, and announcements
    start if ``--operators`` is given.

    Args:
        arguments: parsed flags.
        handler: request handler class.
        get_fields: function that returns the fields of an announcement
            that the kind of stand-in adds.
    """
    server = Server(('127.0.0.1', arguments.port), handler)
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    port = server.server_address[1]
    address = arguments.advertise or f'127.0.0.1:{port}'
    state = {'leaving': False}

    def build_announcement():
        return dict(
            get_fields(),
            endpoint_id=arguments.id,
            address=address,
            data_centre=arguments.data_centre,
            pool=arguments.pool,
            environment=arguments.environment,
            leaving=state['leaving'],
        )

    operators = [o for o in arguments.operators.split(',') if o]
    announcer = Announcer(
        operators, arguments.announce_token, build_announcement
    )
    if operators:
        announcer.start()

    def stop(*args):
        state['leaving'] = True
        threading.Thread(target=server.shutdown).start()

    signal.signal(signal.SIGTERM, stop)
    print(json.dumps({'port': port}), flush=True)
    server.serve_forever(poll_interval=0.05)
    if operators:
        announcer.stop()
        announcer.announce()
    sys.exit(0)
