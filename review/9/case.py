"""New weights are named for two models that the same engines serve."""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'fleet2'))

import lab  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MODELS = ('model-a', 'model-b')
HOST = 'booths.example'
KEY = 'key-of-the-booths'
ENGINES = 3
# After 1.5 x version_ms and after version_all_ms, no engine may be left.
SECONDS_AFTER_NAMING = 18.0
REQUESTS_PER_SECOND = 4


def configuration():
    """Return the configuration of version 7."""
    return {
        'version': 7,
        'routes': [
            {
                'name': 'r-check', 'host': HOST,
                'path_prefix': '/check/', 'kind': 'streaming',
                'timeout_ms': 6000, 'target_latency_ms': 600, 'priority': 1,
                'service': 'lm-one', 'max_attempts': 2, 'public': False,
                'sticky': True, 'resumable': False, 'gap_aim_ms': 300,
            },
        ],
        'services': [
            {
                'name': 'lm-one', 'health_path': '/health',
                'max_conns': 360, 'protocol': 'h1', 'tls': False,
                'engine': {
                    **lab.ENGINE, 'models': [{'name': m} for m in MODELS],
                },
            },
        ],
        'limits': lab.LIMITS,
        'tenants': [
            {
                'name': 'booths', 'api_keys': [KEY], 'priority': 1,
                'unit': 'tokens', 'plain_tokens': 200, 'isolated': False,
                'rate_per_s': 70603, 'burst': 70603,
            },
        ],
    }


class Clients:
    """Sends requests for both models by turns, and counts the answers."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._lock = threading.Lock()
        self.statuses = {model: [] for model in MODELS}

    def run(self, seconds, phase):
        """Send requests for some seconds and wait for the answers."""
        threads = []
        ends_at = time.monotonic() + seconds
        number = 0
        while time.monotonic() < ends_at:
            thread = threading.Thread(
                target=self._send, args=(MODELS[number % 2], phase)
            )
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(1 / REQUESTS_PER_SECOND)
        for thread in threads:
            thread.join()

    def _send(self, model, phase):
        request_id = lab.new_id()
        vm = self._fleet.front[int(request_id, 16) % len(self._fleet.front)]
        headers = {
            'Host': HOST,
            'X-Carobwood-Request-Id': request_id,
            'X-Carobwood-Model': model,
            'X-Carobwood-Token-Counts': '1460,80',
            'X-Carobwood-Prompt-Prefix':
                '0a11:800,0b22:410,0c33:250',
            'X-Carobwood-Deadline-Ms': '6000',
            'Authorization': f'Bearer {KEY}',
        }
        begun_at = time.monotonic()
        try:
            status, _, content = lab.call(
                vm.host, self._fleet.front_port, 'POST', '/check/2f',
                b'x' * 2000, headers, timeout=6.5,
            )
        except OSError:
            status, content = 0, b''
        self._fleet.record.note(
            'answer', phase=phase, model=model, id=request_id, status=status,
            seconds=f'{time.monotonic() - begun_at:.3f}',
            body=content[:160] if status != 200 else b'',
        )
        with self._lock:
            self.statuses[model].append((phase, status))

    def share(self, model, phase):
        """Return how many of the requests of a phase were answered 200."""
        found = [s for p, s in self.statuses[model] if p == phase]
        return sum(s == 200 for s in found), len(found)


def main(record):
    """Play the case and return the exit code."""
    fleet = lab.Fleet(record)
    engines = [
        lab.Engine(fleet, 'lm-one', lab.ZONES[i % 3], MODELS)
        for i in range(ENGINES)
    ]
    try:
        fleet.start()
        for engine in engines:
            engine.start()
        fleet.order('PUT', '/v1/config', configuration())
        fleet.await_ready()
        time.sleep(4.0)
        clients = Clients(fleet)
        clients.run(3.0, 'before')
        if TROUBLE:
            for model in MODELS:
                fleet.order(
                    'POST', '/v1/version-put', {'model': model, 'version': 2}
                )
        clients.run(SECONDS_AFTER_NAMING, 'after')
        return judge(record, engines, clients)
    finally:
        fleet.close()


def judge(record, engines, clients):
    """Return 1 if the rule was broken, else 0."""
    if clients.share(MODELS[0], 'before')[0] == 0:
        raise lab.CaseCouldNotRun('no request was served before')
    wanted = 2 if TROUBLE else 1
    is_broken = False
    for model in MODELS:
        old = [e.id for e in engines if e.versions[model] < wanted]
        served, sent = clients.share(model, 'after')
        record.note(
            'result', model=model, old_engines=len(old), served=served,
            sent=sent,
        )
        print(f'{model}: {len(old)} of {len(engines)} engines on older '
              f'weights; {served} of {sent} requests served afterwards')
        if len(old) > 1 and len(old) > len(engines) / 10:
            is_broken = True
    return int(is_broken)


lab.exit_with(main)
