"""Scenarios of streams."""

import http.client
import json
import signal

import builders
import fault_proxy
import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

scenarios('features/streams.feature')


def _direct_words(world, count):
    for engine, process in world.stand_ins_by_id.items():
        if process.poll() is None:
            break
    answer = world.http.request(
        'POST',
        f'http://127.0.0.1:{world.ports_by_id[engine]}/v1/chat/completions',
        body=json.dumps(builders.chat(max_tokens=count)),
    )
    return builders.Answer(answer.status, answer.headers, answer.data).words


@when(parsers.parse('a caller streams an answer of {count:d} words'))
def _stream(world, count):
    world.notes['count'] = count
    world.notes['answer'] = world.chat(max_tokens=count)


@when(parsers.parse('a caller asks for a whole answer of {count:d} words'))
def _whole(world, count):
    world.notes['answer'] = world.chat(max_tokens=count, stream=False)


@when(parsers.parse("the engines' next streams meet the fault {fault}"))
def _fault(world, fault):
    # Only the engine that is chosen first meets it: the stream's second
    # engine must be sound.
    world.chat(max_tokens=1)
    counters = {
        engine: world.stand_in_get(engine, '/counters')['counters']
        for engine in world.stand_ins_by_id
    }
    chosen = max(counters, key=lambda e: counters[e].get('requests', 0))
    world.set_fault(chosen, fault)


@when(parsers.parse('the path to {engines} resets once after {count:d} bytes'))
def _reset_path(world, engines, count):
    rule = fault_proxy.Rule(reset_after=count)
    world.chat(max_tokens=1)
    for engine in engines.split(' and '):
        counters = world.stand_in_get(engine, '/counters')['counters']
        if counters.get('requests'):
            world.proxies_by_id[engine].set_rule(rule)


@when('a caller leaves after the first words of a long answer')
def _leave(world):
    host, _, port = world.vms_by_id['vm1'].caller.partition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    connection.request(
        'POST',
        '/v1/chat/completions',
        json.dumps(builders.chat(max_tokens=500)),
        dict(
            builders.bearer(world.key), **{'Content-Type': 'application/json'}
        ),
    )
    assert connection.getresponse().read1(100)
    connection.close()


@when(
    parsers.parse('existing connections to {engine} go silent in mid-stream')
)
def _silent(world, engine):
    world.notes['count'] = 200
    pending = world.pool.submit(world.chat, max_tokens=200)
    proxy = world.proxies_by_id[engine]
    fleets.wait_until(
        lambda: world.status('vm1')['requests_in_flight'] == 1,
        'the stream to start',
    )
    fleets.wait_until(
        lambda: world.stand_in_get(engine, '/counters')['counters'].get(
            'prefilled_tokens'
        ),
        'the engine to generate',
    )
    proxy.set_rule(fault_proxy.Rule(fault_proxy.Fault.SILENT_OLD))
    proxy.set_rule(fault_proxy.Rule())
    world.notes['answer'] = pending.result()


@then('the stream is complete and in order')
def _complete(world):
    answer = world.notes['answer']
    assert answer.status == 200, answer.body
    events = answer.events
    assert [event.partition('\n')[0] for event in events] == [
        f'id: {number}' for number in range(len(events))
    ]
    assert len(events) == world.notes['count'] + 2
    assert events[-1].endswith('data: [DONE]')


@then('the words are those that the engine gives directly')
def _same_words(world):
    direct = _direct_words(world, world.notes['count'])
    assert world.notes['answer'].words == direct


@then(parsers.parse('the daemon logged the event {name}'))
def _logged(world, name):
    assert f'"name": "{name}"' in world.vms_by_id['vm1'].log_text()


@then(
    parsers.parse(
        'the stream ends with the error {code} after {count:d} words'
    )
)
def _error_event(world, code, count):
    answer = world.notes['answer']
    assert len(answer.words) == count
    assert answer.events[-1].startswith(f'id: {count}\nevent: error\n')
    error = json.loads(answer.events[-1].partition('data: ')[2])['error']
    assert (error['code'], error['outcome']) == (code, 'partial')


@then(parsers.parse('{engine} has cancelled {count:d} request'))
def _cancelled(world, engine, count):
    fleets.wait_until(
        lambda: (
            world.stand_in_get(engine, '/counters')['counters'].get(
                'cancelled'
            )
            == count
        ),
        'the cancellation',
    )


@then('the VM has no request in flight')
def _none_in_flight(world):
    fleets.wait_until(
        lambda: world.status('vm1')['requests_in_flight'] == 0,
        'the request to end',
    )


@then('the answer is complete')
def _whole_answer(world):
    answer = world.notes['answer']
    assert (answer.status, answer.outcome) == (200, 'complete'), answer.body
    content = json.loads(answer.body)['choices'][0]['message']['content']
    assert len(content.split()) == 10


@when('the engine that holds a prompt is frozen')
def _freeze(world):
    assert world.chat(max_tokens=5).status == 200
    world.stand_ins_by_id[_used_engine(world)].send_signal(signal.SIGSTOP)


def _used_engine(world):
    def requests(engine):
        counters = world.stand_in_get(engine, '/counters')['counters']
        return counters.get('requests', 0)

    return max(('engine-1', 'engine-2'), key=requests)


@when('the connection of a waiting request goes silent')
def _silent_wait(world):
    world.notes['count'] = 20
    for engine in ('engine-1', 'engine-2'):
        world.set_fault(engine, 'hold')
    pending = world.pool.submit(world.chat, max_tokens=20)

    def is_running():
        used = _used_engine(world)
        counters = world.stand_in_get(used, '/counters')['counters']
        return counters.get('requests', 0)

    fleets.wait_until(is_running, 'the request to run')
    proxy = world.proxies_by_id[_used_engine(world)]
    proxy.set_rule(fault_proxy.Rule(fault_proxy.Fault.SILENT_OLD))
    proxy.set_rule(fault_proxy.Rule())
    for engine in ('engine-1', 'engine-2'):
        world.set_fault(engine, '')
    world.notes['answer'] = pending.result()
