"""Engines are cut off for some seconds each, one after the other."""

import os
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'fleet2'))

import lab  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'booths.example'
FIRST, LATER = 'app-one', 'app-two'
# The site's largest dose of node_cut, and the time between two cuts.
CUT_SECONDS = float(os.environ.get('CUT', '5.5'))
PAUSE_SECONDS = 4.0
# Time after the last cut, contact_ms and more, and between the samples.
SETTLE_SECONDS = 10.0
REQUESTS = 40


class CutOffEngine(lab.Engine):
    """An engine that can be partitioned from all machines of the system."""

    is_cut_off = False

    def describe(self):
        """Return the body of a heartbeat, once it can be sent."""
        while self.is_cut_off:
            time.sleep(0.05)
        return super().describe()

    def cut_off(self):
        """Refuse all connections and send no heartbeat; go on running."""
        self.record.note('cut', engine=self.id)
        self.is_cut_off = True
        self.port = self.listener.getsockname()[1]
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def heal(self):
        """End the partition; the engine is the same incarnation."""
        self.listener = socket.create_server(
            (self.fleet.engine_host, self.port), backlog=512
        )
        self.is_cut_off = False
        threading.Thread(target=self._accept, daemon=True).start()
        self.record.note('healed', engine=self.id)


def route(name, service):
    """Return a route to a service."""
    return {
        'name': f'r-{name}', 'host': HOST, 'path_prefix': f'/{name}/',
        'kind': 'safe', 'timeout_ms': 3000, 'target_latency_ms': 400,
        'priority': 1, 'service': service, 'max_attempts': 2, 'public': True,
        'sticky': False, 'resumable': False,
    }


def configuration(version, routes):
    """Return a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name, 'health_path': '/health', 'max_conns': 100,
                'protocol': 'h1', 'tls': False,
            }
            for name in (FIRST, LATER)
        ],
        'limits': lab.LIMITS,
    }


def count_served(fleet, name):
    """Return how many of some requests on a route are answered 200."""
    served = 0
    for number in range(REQUESTS):
        vm = fleet.front[number % len(fleet.front)]
        request_id = lab.new_id()
        headers = {
            'Host': HOST,
            'X-Carobwood-Request-Id': request_id,
            'X-Carobwood-Deadline-Ms': '3000',
        }
        try:
            status, _, content = lab.call(
                vm.host, fleet.front_port, 'GET', f'/{name}/x', None,
                headers, timeout=3.5,
            )
        except OSError as error:
            status, content = 0, repr(error).encode()
        fleet.record.note(
            'answer', route=name, vm=vm.name, id=request_id, status=status,
            body=content[:110] if status != 200 else b'',
        )
        served += status == 200
    return served


def main(record):
    """Play the case and return the exit code."""
    fleet = lab.Fleet(record)
    engines = {
        service: [
            CutOffEngine(fleet, service, zone, (), slots=6)
            for zone in lab.ZONES
        ]
        for service in (FIRST, LATER)
    }
    try:
        fleet.start()
        for engine in engines[FIRST] + engines[LATER]:
            engine.start()
        routes = [route('first', FIRST)]
        fleet.order('PUT', '/v1/config', configuration(1, routes))
        fleet.await_ready()
        time.sleep(3.0)
        routes.append(route('later', LATER))
        fleet.order('PUT', '/v1/config', configuration(2, routes))
        time.sleep(3.0)
        before = count_served(fleet, 'first'), count_served(fleet, 'later')
        if not all(before):
            raise lab.CaseCouldNotRun('a route was not served before')
        for engine in engines[LATER]:
            if TROUBLE:
                engine.cut_off()
            time.sleep(CUT_SECONDS)
            if TROUBLE:
                engine.heal()
            time.sleep(PAUSE_SECONDS)
        return judge(fleet, record, before)
    finally:
        fleet.close()


def judge(fleet, record, before):
    """Return 1 if the rule was broken at the end, else 0."""
    print(f'before: first {before[0]}, later {before[1]} of {REQUESTS}')
    for _ in range(2):
        time.sleep(SETTLE_SECONDS)
        first = count_served(fleet, 'first')
        later = count_served(fleet, 'later')
        record.note('sample', first=first, later=later, sent=REQUESTS)
        print(f'after the cuts: first {first}, later {later} of {REQUESTS}')
    return int(later < first / 4)


lab.exit_with(main)
