"""Proper requests are answered 400 after a 404 on the same connection.

A configuration removes a route. A request on it is answered 404 before its body
is read. The front leaves a chunked body on the connection, takes it for the next
request, and answers that with 400. The client takes this for the answer to its
next request, a proper one, which is not read.
"""

import dataclasses
import pathlib
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import configurations  # noqa: E402
import fleet as fleets  # noqa: E402

CLIENTS = 20
# Time between an answer and the next request of a client.
IDLE_SECONDS = 0.8
RUN_SECONDS = 20.0
CHANGE_AT_SECONDS = 6.0
DEADLINE_SECONDS = 3.0
ROUTES = ('orders', 'status')
# The rule: "more than 5 + one in 500 of all requests".
ALLOWED = 5
ALLOWED_SHARE = 1 / 500


@dataclasses.dataclass(frozen=True)
class Result:
    """A request on a route, and the status of its answer, or None."""

    sent_at: float
    request_id: str
    route: str
    status: int | None


class Client(threading.Thread):
    """A client that uses the routes in turn, on one connection."""

    def __init__(self, number, address, began_at, results):
        super().__init__(daemon=True)
        self._number = number
        self._address = address
        self._began_at = began_at
        self._results = results

    def run(self):
        """Send requests until the end."""
        time.sleep(IDLE_SECONDS * self._number / CLIENTS)
        connection = None
        count = 0
        while time.monotonic() < self._began_at + RUN_SECONDS:
            count += 1
            route = ROUTES[count % len(ROUTES)]
            if connection is None:
                connection = socket.create_connection(self._address, 1.0)
                connection.settimeout(DEADLINE_SECONDS)
            request_id = f'r-{self._number}-{count}'
            sent_at = time.monotonic() - self._began_at
            status, is_kept = _exchange(connection, request_id, route)
            self._results.append(Result(sent_at, request_id, route, status))
            if not is_kept:
                connection.close()
                connection = None
            time.sleep(IDLE_SECONDS)


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
    operator.put_until_acked(fleet.cores, _configuration(1, ROUTES))
    for number in (1, 2, 3):
        fleet.start_engine('stores', number)
    for front in fleet.fronts:
        fleet.await_ready(front)
    time.sleep(4.0)
    began_at = time.monotonic()
    results = []
    clients = []
    for number in range(CLIENTS):
        front = fleet.fronts[number % len(fleet.fronts)]
        host, _, port = front.address('front').partition(':')
        clients.append(
            Client(number, (host, int(port)), began_at, results)
        )
    for client in clients:
        client.start()
    if fleets.TROUBLE:
        time.sleep(CHANGE_AT_SECONDS)
        operator.put_until_acked(fleet.cores, _configuration(2, ROUTES[:1]))
    for client in clients:
        client.join()
    return _check(fleet, results, record)


def _configuration(version, route_names):
    routes = [
        configurations.route(name, 'stores', 'unsafe', f'/{name}/')
        for name in route_names
    ]
    return configurations.configuration(
        version, routes, [configurations.plain_service('stores')]
    )


def _exchange(connection, request_id, route):
    """Send a request; return its status and whether to keep the connection."""
    head = (
        f'POST /{route}/1 HTTP/1.1\r\n'
        'Host: stores.example\r\n'
        f'X-Carobwood-Request-Id: {request_id}\r\n'
        f'X-Carobwood-Deadline-Ms: {int(1000 * DEADLINE_SECONDS)}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    try:
        connection.sendall(head.encode() + b'5\r\nhello\r\n0\r\n\r\n')
        answer = _read_answer(connection)
    except OSError:
        return None, False
    if not answer:
        return None, False
    is_kept = b'connection: close' not in answer.lower()
    return int(answer.split()[1]), is_kept


def _read_answer(connection):
    """Return the bytes of one answer, or none if the connection ended."""
    answer = b''
    while True:
        head, separator, body = answer.partition(b'\r\n\r\n')
        if separator:
            length = _content_length(head)
            if len(body) >= length:
                return head + separator + body[:length]
        data = connection.recv(1)
        if not data:
            return b''
        answer += data


def _content_length(head):
    for line in head.lower().split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name == b'content-length':
            return int(value)
    return 0


def _check(fleet, results, record):
    """Count the requests on the route that all configurations have."""
    for result in sorted(results, key=lambda r: r.sent_at):
        record(
            f'{result.request_id} on {result.route} sent at '
            f'{result.sent_at:.2f} s: {result.status}'
        )
    runs = set(fleet.run_times())
    denied = [
        r
        for r in results
        if r.route == ROUTES[0]
        and r.status is not None
        and 300 <= r.status < 500
        and r.status not in (408, 421, 429)
    ]
    not_run = [r for r in denied if r.request_id not in runs]
    allowed = ALLOWED + ALLOWED_SHARE * len(results)
    record(
        f'{len(results)} requests; {len(denied)} on {ROUTES[0]} ended with '
        f'4xx, {len(not_run)} of them never ran; allowed: {allowed:.1f}'
    )
    if len(denied) > allowed:
        record('proper requests are denied: RULE BROKEN')
        return 1
    record('the rule held')
    return 0


if __name__ == '__main__':
    sys.exit(main())
