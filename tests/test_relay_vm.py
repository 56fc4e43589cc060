"""Tests of the whole relayed path, with VMs in this process."""

import json

import relay_builders as build
import relay_stand_ins as stand_ins

SERVED = b''.join(
    b'id: %d\ndata: %d\n\n' % (number, number)
    for number in range(1, stand_ins.EVENTS + 1)
)


def test_a_stream_is_passed_on_whole(relay_setting):
    reply = relay_setting.fleet.ask('/checks/x')
    assert (reply.status, reply.body) == (200, SERVED)
    assert reply.headers['x-carobwood-response-stamp'].startswith('engine-')


def test_an_engine_learns_the_customer_and_never_the_key(relay_setting):
    relay_setting.fleet.ask('/checks/x', X_Carobwood_Tenant='yeka')
    [request] = relay_setting.engine_requests
    assert request['x-carobwood-tenant'] == 'bole'
    assert 'authorization' not in request
    assert request['x-carobwood-expect-instance'].startswith('engine-')
    assert request['x-carobwood-cache-salt'] == 'v1'
    assert 0 < int(request['x-carobwood-deadline-ms']) <= 5000


def test_system_headers_of_callers_are_dropped(relay_setting):
    relay_setting.fleet.ask(
        '/checks/x', X_Carobwood_Cache_Salt='mine', X_Carobwood_Pin_Ms='9'
    )
    [request] = relay_setting.engine_requests
    assert request['x-carobwood-cache-salt'] == 'v1'
    assert 'x-carobwood-pin-ms' not in request


def test_an_unknown_key_runs_nothing(relay_setting):
    reply = relay_setting.fleet.ask('/checks/x', Authorization='Bearer other')
    assert reply.status == 401
    assert relay_setting.engine_requests == []


def test_an_unknown_route_is_not_found(relay_setting):
    assert relay_setting.fleet.ask('/nowhere/x').status == 404


def test_requests_of_one_prefix_go_to_one_engine(relay_setting):
    def counts_of(requests):
        relay_setting.forget()
        for number in range(requests):
            part = f'prefix-of-all:6000,own-{number}:40'
            reply = relay_setting.fleet.ask(
                '/checks/x', number=number % 2, X_Carobwood_Prompt_Prefix=part
            )
            assert reply.status == 200
        return sorted(len(engine.requests) for engine in relay_setting.engines)

    # Until both entry VMs have heard which engine holds it.
    stand_ins.await_reply(lambda: counts_of(2), lambda found: found == [0, 2])
    assert counts_of(12) == [0, 12]


def test_an_isolated_customer_shares_no_prefix(relay_setting):
    fields = build.configuration_fields(2)
    fields['tenants'][0]['isolated'] = True
    relay_setting.fleet.control(
        'PUT', '/v1/config', json.dumps(fields).encode()
    )

    def salt():
        relay_setting.forget()
        relay_setting.fleet.ask('/checks/x')
        return relay_setting.engine_requests[0]['x-carobwood-cache-salt']

    stand_ins.await_reply(salt, lambda found: found == 'v1/bole')


def test_an_older_or_equal_configuration_changes_nothing(relay_setting):
    assert relay_setting.configure(10).status == 200
    assert relay_setting.configure(9, routes=[]).status == 200
    assert relay_setting.configure(10, routes=[]).status == 200
    for number in range(3):
        reply = relay_setting.fleet.control('GET', '/v1/config', number=number)
        assert json.loads(reply.body) == build.configuration_fields(10)


def test_an_invalid_configuration_is_refused(relay_setting):
    reply = relay_setting.fleet.control('PUT', '/v1/config', b'{"version": 99')
    assert reply.status == 400


def test_named_weights_reach_every_engine_from_one_holder(relay_setting):
    named = {'model': build.MODEL, 'version': 2}
    assert relay_setting.fleet.control('POST', '/v1/version-put', named).status
    stand_ins.await_reply(
        lambda: [engine.version for engine in relay_setting.engines],
        lambda versions: versions == [2, 2],
    )
    orders = [order for e in relay_setting.engines for order in e.orders]
    assert len({(o['holder'], o['fence']) for o in orders}) == 1

    def salt():
        relay_setting.forget()
        relay_setting.fleet.ask('/checks/x')
        return relay_setting.engine_requests[0]['x-carobwood-cache-salt']

    stand_ins.await_reply(salt, lambda found: found == 'v2')


def test_a_leaving_endpoint_gets_no_more_requests(relay_setting):
    leaving, staying = relay_setting.engines
    path = f'/v1/instances/{leaving.name}'
    assert relay_setting.announce(leaving, 2, 'draining').status == 200

    def asked():
        relay_setting.forget()
        for number in range(8):
            part = f'new-{number}:6000,own:40'
            relay_setting.fleet.ask(
                '/checks/x', X_Carobwood_Prompt_Prefix=part
            )
        return len(leaving.requests)

    stand_ins.await_reply(asked, lambda count: count == 0)
    assert relay_setting.fleet.control('DELETE', path).status == 200
    # A heartbeat that was on its way does not bring it back.
    relay_setting.announce(leaving, 3)
    assert asked() == 0
    assert len(staying.requests) == 8


def test_the_balancer_is_told_to_send_callers(relay_setting):
    port = relay_setting.fleet.ready_ports[0]
    assert stand_ins.ask(port, 'GET', '/v1/ready').status == 200
