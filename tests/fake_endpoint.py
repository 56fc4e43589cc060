"""A fake engine, which serves as a plain endpoint as well."""

import http.server
import json
import random
import socket
import struct
import sys
import threading
import time

import relay_builders as builders

# Events of a complete stream.
STREAM_EVENT_COUNT = 5
# Time between two events of a stream before a common silence.
COMMON_PACE_SECONDS = 0.05
# Time after which a freeze ends that its test has not ended.
MAX_FREEZE_SECONDS = 60.0
# Value of SO_LINGER with which closing a connection resets it.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class FakeEngine:
    """A fake engine whose behaviour the last part of the path selects.

    ``/…/reset-after-2`` closes the connection after two events,
    ``/…/stall-after-2`` sends nothing after two events until the connection
    ends, ``/…/odd-resume-ANSWER`` resets after two events and answers the
    resumption in an odd way, ``/…/full`` rejects the request without running
    it, ``/…/refused-without-id`` does so in an answer that names no request,
    ``/…/late-refusal`` after a response to another request,
    ``/…/unsigned`` sends a response without a signature, ``/…/silent``
    sends no response, ``/…/named`` sends the request's id, ``/…/large-N``
    that and points up to N bytes, ``/…/paced-N``
    sends N events that name it, with pauses, ``/…/unframed`` sends a stream
    that ends with the connection, ``/…/unframed-cut-after-N`` one that ends
    with it inside the event after N events, ``/…/chunked-cut-after-N`` one
    whose last chunk ends inside that event, ``/…/unframed-empty`` one
    without an event, ``/…/pause-MS-after-N`` is silent for MS milliseconds
    before the event after N events, ``/…/pause-MS-late-0`` before the head of
    a stream, ``/…/late-MS`` before a response of a declared length,
    ``/…/common-silence`` sends events until ``common_silence`` begins, and
    the last one after its end,
    ``/…/whole`` sends a response of a declared length, and any other path a
    complete event stream. A stream resumes after the event that
    ``Last-Event-Id`` names, and then it is complete.

    Attributes:
        name: id of the endpoint.
        instance_id: id of the instance that answers new requests; requests
            for another one are misdirected.
        born: when it started, as its announcements name it.
        service: name of the service that it belongs to.
        version: version of the weights that it has loaded.
        other_versions: versions of its further models by name.
        refused_models: models whose orders it refuses.
        software_version: version of its software.
        orders: bodies of the orders that it has received.
        requests: headers of the requests that it has received, by name in
            lower case.
        is_leaving: whether it says in its answers that it is leaving.
        retry_after: value of the header of its rejections, or empty. It
            rejects all requests while it is set.
        rate_limit: requests per second that it names in its answers, or
            empty.
        cancelled_ids: ids of silent requests whose connection has ended.
        received_at: monotonic times at which it has received requests.
        crashing_segment: id of the prompt segment that crashes it as soon as
            it begins to answer a request that has the segment.
        pause_seconds: time in seconds before each paced event.
        on_run: called with headers by name in lower case, path and body of
            each request that it runs, or None.
        on_end: called with the same headers once it has ended its work on
            the request, or None.
        on_pause: called without arguments before each silence within a
            stream.
        on_refusal: called without arguments before each rejection.
        common_silence: the ``CommonSilence`` of its streams, or None.
        on_report: called without arguments before each report.
        ends_freeze: while it is set, the engine accepts connections and
            answers nothing; once the ``Event`` is set, it closes them.
        failure_status: HTTP status of its answers, or 0 if it works.
        failure_share: share of its answers that have that status.
        report_status: HTTP status of its reports.
        health_status: HTTP status of its answers to health checks.
        max_connections: connections beyond which it resets new ones, or None.
        connection_resets: connections that it has reset for that.
        address: ``host:port`` that it listens on.
    """

    def __init__(self, name, service):
        self.name = name
        self.instance_id = name
        self.born = 1_700_000_000_000
        self.service = service
        self.version = 1
        self.other_versions = {}
        self.refused_models = set()
        self.software_version = 'v1'
        self.orders = []
        self.requests = []
        self.crashing_segment = ''
        self.is_leaving = False
        self.retry_after = ''
        self.rate_limit = ''
        self.cancelled_ids = []
        self.received_at = []
        self.pause_seconds = 0.0
        self.on_run = None
        self.on_pause = lambda: None
        self.on_end = None
        self.on_refusal = lambda: None
        self.common_silence = None
        self.on_report = lambda: None
        self.ends_freeze = None
        self.failure_status = 0
        self.failure_share = 1.0
        self.report_status = 200
        self.health_status = 200
        self.max_connections = None
        self.connection_resets = 0
        self._server = None
        self._serve(0)
        self.address = '127.0.0.1:%d' % self._server.server_address[1]

    def versions(self):
        """Return the version of each of its models, the first one first."""
        return {builders.MODEL: self.version, **self.other_versions}

    def load(self, model, version):
        """Load weights of one of its models."""
        if model in self.other_versions:
            self.other_versions[model] = version
        else:
            self.version = version

    def list_models(self):
        """Return its models as announcements and reports list them."""
        return [
            {'name': model, 'version': version}
            for model, version in self.versions().items()
        ]

    def fails_next(self):
        """Return whether the next answer has the failure status."""
        is_drawn = random.random() < self.failure_share
        return bool(self.failure_status) and is_drawn

    def _serve(self, port):
        self._server = _Server(
            ('127.0.0.1', port), type('Handler', (_Handler,), {'engine': self})
        )
        self._server.engine = self
        self._server.daemon_threads = True
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    @property
    def is_serving(self):
        """Whether it accepts connections."""
        return self._server.socket.fileno() >= 0

    def restart(self):
        """Serve again at the same address after a crash."""
        self._serve(self._server.server_address[1])

    def announcement(self, sequence=1, state='ready'):
        """Return the announcement that the engine sends to control VMs."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'bole',
            'state': state,
            'models': self.list_models(),
            'seq_no': sequence,
            'born': self.born,
            'version': self.software_version,
        }

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop()

    def stop(self):
        """Stop serving."""
        if self.ends_freeze is not None:
            self.ends_freeze.set()
        self._server.shutdown()
        self._server.server_close()


class _Server(http.server.ThreadingHTTPServer):
    """A server that accepts many connections at the same moment."""

    # With the default of 5, the kernel drops connections beyond and the
    # caller's next try comes after a second.
    request_queue_size = 128
    engine = None

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._open = set()

    def verify_request(self, request, client_address):
        """Reset a connection beyond the limit."""
        limit = self.engine.max_connections
        if limit is None or len(self._open) < limit:
            self._open.add(request)
            return True
        self.engine.connection_resets += 1
        request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        request.close()
        return False

    def shutdown_request(self, request):
        """Count a connection that ends no longer."""
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Print errors, but not that a VM has closed its connection."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Handles one connection to a fake engine."""

    protocol_version = 'HTTP/1.1'
    engine = None
    _body = b''
    _is_chunked = True
    # Id of the instance that has accepted the connection.
    _accepting_id = ''

    def setup(self):
        """Note which instance accepts the connection."""
        super().setup()
        self._accepting_id = self.engine.instance_id

    def parse_request(self):
        """Know no connection of an earlier instance, as the system does."""
        if self._accepting_id != self.engine.instance_id:
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            self.connection.close()
            self.close_connection = True
            return False
        return super().parse_request()

    def log_message(self, *arguments):
        """Log nothing."""

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Respond with a report or cache events, or handle a request."""
        if self._is_frozen():
            return
        if self.path.startswith('/v1/kv-events?'):
            body = {'boot_epoch': 1, 'next': 1, 'lost': False, 'events': []}
            self._send_response(200, json.dumps(body).encode())
            return
        if self.path == '/v1/report':
            self.engine.on_report()
            body = {
                'models': self.engine.list_models(),
                'busy': False,
                'seq_no': len(self.engine.orders),
            }
            status = self.engine.report_status
            self._send_response(status, json.dumps(body).encode())
            return
        if self.path == builders.HEALTH_PATH:
            self._answer_health()
            return
        self._handle_request()

    def _answer_health(self):
        """Respond with the id of the instance, as if it had started anew."""
        headers = {'X-Carobwood-Instance-Id': self.engine.instance_id}
        status = self.engine.health_status
        if self._is_misdirected():
            status = 421
        self._send_response(status, b'', headers)

    def _is_misdirected(self):
        expected = self.headers.get('X-Carobwood-Expect-Instance')
        if expected not in (None, self.engine.instance_id):
            return True
        if not self.engine.other_versions:
            return False
        versions = self.engine.versions()
        version = versions.get(self.headers.get('X-Carobwood-Model'))
        expected = self.headers.get('X-Carobwood-Expect-Version')
        return expected not in (None, str(version))

    def do_POST(self):  # noqa: N802 (named by http.server)
        """Accept an order, or handle a request."""
        length = int(self.headers.get('Content-Length', 0))
        self._body = self.rfile.read(length)
        if self._is_frozen():
            self.engine.requests.append(dict(self.headers))
            return
        if self.path == '/v1/order':
            order = json.loads(self._body)
            self.engine.orders.append(order)
            if order['model'] in self.engine.refused_models:
                self._send_response(400, b'')
                return
            self.engine.load(order['model'], order['version'])
            self._send_response(202, b'')
            return
        self._handle_request()

    def _is_frozen(self):
        """Wait for the end of a freeze; return whether there was one."""
        ends_freeze = self.engine.ends_freeze
        if ends_freeze is None:
            return False
        ends_freeze.wait(MAX_FREEZE_SECONDS)
        self.close_connection = True
        return True

    def _handle_request(self):
        if self._is_misdirected():
            headers = {'X-Carobwood-Instance-Id': self.engine.instance_id}
            self._send_response(421, b'', headers)
            return
        headers = {name.lower(): value for name, value in self.headers.items()}
        self.engine.requests.append(headers)
        self.engine.received_at.append(time.monotonic())
        if self._is_crashing():
            self.engine.stop()
            self.close_connection = True
            return
        action = self.path.rpartition('/')[2]
        if action == 'full' or self.engine.retry_after:
            headers = {'X-Carobwood-Not-Run': '1'}
            if self.engine.retry_after:
                headers['Retry-After'] = self.engine.retry_after
            self.engine.on_refusal()
            self._send_response(503, b'', headers)
            return
        if self.engine.fails_next():
            status = self.engine.failure_status
            self._send_response(status, b'', self._signature_headers())
            return
        if self.engine.on_run is not None:
            self.engine.on_run(headers, self.path, self._body)
        try:
            self._run(action)
        finally:
            if self.engine.on_end is not None:
                self.engine.on_end(headers)

    def _run(self, action):
        if action == 'silent':
            self._await_cancellation()
        elif action == 'named':
            name = self.headers['X-Carobwood-Request-Id'].encode()
            self._send_response(200, name, self._signature_headers())
        elif action.startswith('large-'):
            name = self.headers['X-Carobwood-Request-Id'].encode()
            body = name.ljust(int(action.removeprefix('large-')), b'.')
            self._send_response(200, body, self._signature_headers())
        elif action.startswith('paced-'):
            self._send_paced_events(int(action.removeprefix('paced-')))
        elif action == 'common-silence':
            self._send_events_beside_silence()
        elif action.startswith('pause-'):
            self._send_events_with_pause(action)
        elif action.startswith('large-'):
            content = bytes(int(action.removeprefix('large-')))
            self._send_response(200, content, self._signature_headers())
        elif action.startswith('late-') and action[5:].isdigit():
            time.sleep(int(action.removeprefix('late-')) / 1000)
            self._send_response(200, b'whole', self._signature_headers())
        elif action == 'unregistered-status':
            self._send_response(599, b'odd', self._signature_headers())
        elif action == 'late-answer':
            late = dict(self._signature_headers())
            late['X-Carobwood-Request-Id'] = 'r-0'
            self._send_response(200, b'of another request', late)
            self._send_response(200, b'whole', self._signature_headers())
        elif action == 'refused-without-id':
            self._refuse_without_id()
        elif action == 'late-refusal':
            late = {'X-Carobwood-Request-Id': 'r-0'}
            self._send_response(503, b'', late)
            self._refuse_without_id()
        elif action == 'unsigned':
            self._send_response(200, b'not an engine')
        elif action == 'whole':
            self._send_response(200, b'whole', self._signature_headers())
        elif action.startswith('odd-resume-'):
            self._answer_resumption(action.removeprefix('odd-resume-'))
        else:
            self._send_events(action)

    def _answer_resumption(self, answer):
        """Break a stream off, and answer its resumption in an odd way."""
        signature = self._signature_headers()
        stream = {'Content-Type': 'text/event-stream'}
        if 'Last-Event-Id' not in self.headers:
            self._send_events('reset-after-2')
        elif answer == 'error':
            self._send_response(500, b'odd answer', signature)
        elif answer == 'plain':
            self._send_response(200, b'odd answer', signature)
        elif answer == 'unsigned-stream':
            self._send_response(200, b'id: 3\ndata: 3\n\n', stream)
        elif answer == 'from-the-beginning':
            body = b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n'
            self._send_response(200, body, signature | stream)
        else:
            body = b'HTTP/1.1 500 odd answer\r\nServer: x\r\n\r\n'
            self._send_response(200, body, signature | stream)

    def _await_cancellation(self):
        """Send nothing until the connection ends."""
        self.close_connection = True
        try:
            self.connection.recv(1)
        except ConnectionResetError:
            # The sender resets a connection that it gives up.
            pass
        self.engine.cancelled_ids.append(
            self.headers['X-Carobwood-Request-Id']
        )

    def _refuse_without_id(self):
        """Write an earlier refusal again, which names no request."""
        self.wfile.write(
            b'HTTP/1.1 503 Busy\r\nX-Carobwood-Not-Run: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )

    def _is_crashing(self):
        prompt = self.headers.get('X-Carobwood-Prompt-Prefix', '')
        segments = [entry.partition(':')[0] for entry in prompt.split(',')]
        return self.engine.crashing_segment in segments[:-1]

    def _signature_headers(self):
        headers = {
            'X-Carobwood-Request-Id': self.headers['X-Carobwood-Request-Id'],
            'X-Carobwood-Response-Stamp': self.engine.name,
            'X-Carobwood-Weight-Versions': str(self._answering_version()),
        }
        if self.engine.is_leaving:
            headers['Server-Leaving'] = '1'
        if self.engine.rate_limit:
            headers['Server-Limit'] = self.engine.rate_limit
        return headers

    def _answering_version(self):
        model = self.headers.get('X-Carobwood-Model')
        return self.engine.other_versions.get(model, self.engine.version)

    def _send_response(self, status, body, headers=None):
        self.send_response(status)
        if 'X-Carobwood-Request-Id' not in (headers or {}):
            self._echo_request_id()
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _echo_request_id(self):
        request_id = self.headers['X-Carobwood-Request-Id']
        if request_id:
            self.send_header('X-Carobwood-Request-Id', request_id)

    def _send_paced_events(self, count):
        name = self.headers['X-Carobwood-Request-Id'].encode()
        first = int(self.headers.get('Last-Event-Id', 0)) + 1
        self._start_stream()
        try:
            for number in range(first, count + 1):
                time.sleep(self.engine.pause_seconds)
                event = (number, name, number)
                self._send_chunk(b'id: %d\ndata: %s/%d\n\n' % event)
            self.wfile.write(b'0\r\n\r\n')
        except OSError:
            self.close_connection = True

    def _send_events_with_pause(self, action):
        _, milliseconds, place, count = action.split('-')
        seconds = int(milliseconds) / 1000
        first = int(self.headers.get('Last-Event-Id', 0)) + 1
        if place == 'late':
            time.sleep(seconds)
        self._start_stream()
        try:
            for number in range(first, STREAM_EVENT_COUNT + 1):
                if place == 'after' and number == int(count) + 1:
                    self.engine.on_pause()
                    time.sleep(seconds)
                self._send_event(number)
            self.wfile.write(b'0\r\n\r\n')
        except OSError:
            self.close_connection = True

    def _send_events_beside_silence(self):
        silence = self.engine.common_silence
        number = int(self.headers.get('Last-Event-Id', 0)) + 1
        self._start_stream()
        try:
            self._send_event(number)
            silence.add_stream()
            while not silence.has_begun(COMMON_PACE_SECONDS):
                number += 1
                self._send_event(number)
            silence.await_end()
            self._send_event(number + 1)
            self.wfile.write(b'0\r\n\r\n')
        except OSError:
            self.close_connection = True

    def _send_event(self, number):
        self._send_chunk(b'id: %d\ndata: %d\n\n' % (number, number))

    def _start_stream(self):
        self.send_response(200)
        for name, value in self._signature_headers().items():
            self.send_header(name, value)
        self.send_header('Content-Type', 'text/event-stream')
        if self._is_chunked:
            self.send_header('Transfer-Encoding', 'chunked')
        else:
            self.send_header('Connection', 'close')
            self.close_connection = True
        self.end_headers()

    def _send_events(self, action):
        cut_after = action.partition('-cut-after-')[2]
        self._is_chunked = not action.startswith('unframed')
        self._start_stream()
        if action == 'unframed-empty':
            return
        first = int(self.headers.get('Last-Event-Id', 0)) + 1
        cut_at = int(cut_after) + 1 if cut_after and first == 1 else 0
        for number in range(first, STREAM_EVENT_COUNT + 1):
            if number == cut_at:
                self._send_piece(b'id: %d\ndata: par' % number)
                break
            if action == 'reset-after-2' and number == 3 and first == 1:
                self._send_chunk(b'id: 3\ndata: par')
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            if action == 'stall-after-2' and number == 3 and first == 1:
                self._await_cancellation()
                return
            if action == 'trickle-after-2' and number == 3 and first == 1:
                self._trickle()
                return
            self._send_piece(b'id: %d\ndata: %d\n\n' % (number, number))
        if self._is_chunked:
            self.wfile.write(b'0\r\n\r\n')

    def _trickle(self):
        """Send a byte of an event now and then until the caller leaves."""
        never_set = threading.Event()
        try:
            while not never_set.wait(0.1):
                self._send_chunk(b':')
        except OSError:
            self.close_connection = True

    def _send_piece(self, data):
        if self._is_chunked:
            self._send_chunk(data)
        else:
            self.wfile.write(data)

    def _send_chunk(self, data):
        self.wfile.write(b'%x\r\n%s\r\n' % (len(data), data))
