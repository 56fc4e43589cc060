"""Demonstrates carobwood with a small fleet on loopback.

``make demo`` runs it. It starts three daemons, two fake engines and a
fake service, applies a document, sends requests, withdraws a key and
stops the fleet.
"""

import json
import pathlib
import sys

import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'bench'))

import fleet as fleets  # noqa: E402 (needs the path above)

DOCUMENT_PATH = ROOT / 'examples' / 'production.yaml'
DATA_CENTRES = ('bole', 'kirkos', 'arada')
SYSTEM_PROMPT = (
    'Each portrait shows one face, eyes open, plain background. ' * 900
)


def main():
    """Run the demonstration and return the exit code."""
    with fleets.Fleet() as fleet:
        _start(fleet)
        secret, key_id = _configure(fleet)
        _chat_twice(fleet, secret)
        _order_twice(fleet, secret)
        _withdraw_key(fleet, secret, key_id)
        _show_status(fleet)
        return _stop(fleet)


def _start(fleet):
    _print_heading(
        'Three daemons in three data centres, two engines, one service'
    )
    for number, data_centre in enumerate(DATA_CENTRES, 1):
        fleet.plan_vm(f'vm{number}', data_centre, vm_slots=3)
    fleet.start_vms()
    fleet.found_fleet('vm1', voters=3)
    fleet.start_engine('engine-1', 'bole')
    fleet.start_engine('engine-2', 'kirkos')
    fleet.start_service('booth-orders', 'arada')
    fleet.await_endpoints(['engine-1', 'engine-2', 'booth-orders'])


def _configure(fleet):
    _print_heading(
        'Apply the document to trial, then promote it to production'
    )
    text = DOCUMENT_PATH.read_text()
    trial_path = fleet.folder / 'trial.yaml'
    trial_path.write_text(
        text.replace('environment: production', 'environment: trial')
    )
    fleet.run_client(
        'document', 'apply', str(trial_path), '--environment=trial'
    )
    print(fleet.run_client('document', 'promote'))
    fleet.await_ready()
    key = fleet.run_client('key', 'issue', 'abyssinia-bole')
    print(f'issued key {key["key_id"]} for {key["customer"]}')
    return key['secret'], key['key_id']


def _chat_twice(fleet, secret):
    _print_heading('The same streaming request through two VMs')
    for vm_id in ('vm1', 'vm2'):
        usage, event_count = fleets.wait_until(
            lambda: _chat(fleet, secret, vm_id), f'a response from {vm_id}'
        )
        cached = usage['prompt_tokens_details']['cached_tokens']
        print(
            f'{vm_id}: {event_count} events, {usage["prompt_tokens"]} prompt '
            f'tokens, {cached} of them cached'
        )


def _chat(fleet, secret, vm_id):
    body = {
        'model': 'ruling-8b',
        'stream': True,
        'max_tokens': 32,
        'messages': [
            {'role': 'system', 'content': SYSTEM_PROMPT},
            {'role': 'user', 'content': 'Is this portrait fit for a visa?'},
        ],
    }
    answer = fleet.http.request(
        'POST',
        f'http://{fleet.vms_by_id[vm_id].caller_address}/v1/chat/completions',
        body=json.dumps(body),
        headers=_request_headers(secret),
    )
    if answer.status == 429:
        # The token bucket starts empty and fills at the customer's rate.
        # None makes the caller try again.
        return None
    events = answer.data.decode('utf-8').split('\n\n')
    last = json.loads(events[-3].partition('data: ')[2])
    return last['usage'], len(events) - 1


def _order_twice(fleet, secret):
    _print_heading('One order, repeated through another VM')
    headers = dict(
        _request_headers(secret), **{'Idempotency-Key': 'print-4711'}
    )
    for vm_id in ('vm1', 'vm3'):
        answer = fleet.http.request(
            'POST',
            f'http://{fleet.vms_by_id[vm_id].caller_address}/orders',
            body=b'{"prints": 6}',
            headers=headers,
        )
        replayed = answer.headers.get('Carobwood-Replayed', 'false')
        print(f'{vm_id}: {answer.status} {answer.data.decode()}', end=' ')
        print(f'replayed: {replayed}')
    runs = fleet.get_stand_in_json('booth-orders', '/runs')['runs']
    print(f'executions by the service: {runs["print-4711"]}')
    if runs['print-4711'] != 1:
        raise SystemExit('the order was not executed exactly once')


def _withdraw_key(fleet, secret, key_id):
    _print_heading('Withdraw the key')
    print(fleet.run_client('key', 'withdraw', key_id))
    for vm in fleet.vms_by_id.values():
        answer = fleet.http.request(
            'GET',
            f'http://{vm.caller_address}/v1/models',
            headers=_request_headers(secret),
        )
        error = json.loads(answer.data)['error']
        print(f'{vm.vm_id}: {answer.status} {error["code"]}')
        if answer.status != 401:
            raise SystemExit('a withdrawn key is still accepted')


def _show_status(fleet):
    _print_heading('Output of carobwood status')
    status = fleet.run_client('status')
    for name in ('fleet_id', 'version', 'role', 'voters'):
        print(f'{name}: {status[name]}')
    for vm in status['vms']:
        print(f'  {vm["vm_id"]} {vm["data_centre"]} at {vm["version"]}')


def _stop(fleet):
    _print_heading('Graceful stop')
    codes = {vm_id: fleet.stop_vm(vm_id) for vm_id in fleet.vms_by_id}
    for stand_in_id in fleet.stand_ins_by_id:
        codes[stand_in_id] = fleet.stop_stand_in(stand_in_id)
    print(codes)
    return 0 if not any(codes.values()) else 1


def _request_headers(secret):
    return {
        'Authorization': f'Bearer {secret}',
        'Content-Type': 'application/json',
    }


def _print_heading(text):
    print(f'\n== {text}', flush=True)


if __name__ == '__main__':
    urllib3.disable_warnings()
    sys.exit(main())
