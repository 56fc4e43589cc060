"""The choice of another endpoint while the one of an attempt is silent."""

import types

from carobwood import errors
from carobwood_daemon.entry import liveness
from carobwood_daemon.relay import load_features
from carobwood_daemon.relay import silence_failover
from carobwood_daemon.relay import silent_attempt
import pytest
import relay_builders as builders

SILENT = liveness.Liveness.SILENT
AWAKE = liveness.Liveness.AWAKE
UNREADY = liveness.Liveness.UNREADY


class _Selector:
    """Assigns the first endpoint that is not excluded.

    Attributes:
        assigned_ids: ids of the endpoints that it assigned, in order.
    """

    def __init__(self, endpoints):
        self.assigned_ids = []
        self._endpoints = endpoints

    def find_endpoint(self, request, excluded):
        """See ``Selector``."""
        for endpoint in self._endpoints:
            if endpoint.id not in excluded:
                return endpoint
        return None

    def try_assign(self, request, excluded, only_id):
        """See ``Selector``."""
        for endpoint in self._endpoints:
            if endpoint.id == only_id and only_id not in excluded:
                self.assigned_ids.append(only_id)
                return types.SimpleNamespace(
                    endpoint=endpoint,
                    weights_version=0,
                    fetch_from='',
                    save_to='',
                    decision_inputs={},
                )
        return None

    def release(self, assignment):
        """See ``Selector``."""


class _Liveness:
    """Results of checks that are out of date at the next look.

    Attributes:
        asked_ids: ids of the endpoints that were asked, in order.
    """

    def __init__(self, liveness_by_id):
        self.asked_ids = []
        self._liveness_by_id = liveness_by_id

    def silent_ids(self):
        """See ``EndpointLiveness``."""
        return frozenset()

    def check(self, endpoint, service):
        """See ``EndpointLiveness``."""
        self.asked_ids.append(endpoint.id)
        return liveness.ended_check(self._liveness_by_id[endpoint.id])


class _Sender:
    """Reaches no endpoint."""

    def connect(self, assignment):
        """See ``RequestSender``."""
        raise errors.EndpointLeft('the endpoint leaves')


class _ResetSender(_Sender):
    """Reaches endpoints that reset connections before they are used."""

    def connect(self, assignment):
        """See ``RequestSender``."""
        return types.SimpleNamespace(close=lambda: None)

    def send_on(self, connection, assignment, resume_id, watch):
        """See ``RequestSender``."""
        error = errors.EndpointUnreachable('reset')
        error.is_reset = True
        raise error


class _Site:
    """A request at a silent endpoint, with others in the selector's order.

    Attributes:
        liveness: the ``_Liveness``.
        silent_ids: ids of the endpoints that send events of no stream.
        selector: the ``_Selector``.
    """

    def __init__(self, liveness_by_id, sender=None):
        self.liveness = _Liveness(liveness_by_id)
        self.silent_ids = set()
        stub = types.SimpleNamespace
        context = stub(
            activity=stub(silent_ids=lambda: frozenset(self.silent_ids)),
            liveness=self.liveness,
            ended_endpoints=stub(has_ended=lambda endpoint, service: False),
            health=stub(note_result=lambda endpoint, failed: None),
            retry_budget=stub(
                may_spend=lambda service: True,
                try_spend=lambda service: True,
            ),
            segment_suspects=stub(check_before_send=lambda keys: None),
            crash_suspects=stub(
                add_running=lambda endpoint, fingerprint: None,
                remove_running=lambda endpoint, fingerprint: None,
            ),
            wait_queue=stub(must_queue=lambda *key: False),
            load_features=load_features.LoadFeatures(),
        )
        self.selector = _Selector(
            [builders.endpoint(name) for name in liveness_by_id]
        )
        self._failover = silence_failover.SilenceFailover(
            context,
            self.selector,
            stub(has_disconnected=lambda: False),
        )
        self._silent = silent_attempt.SilentAttempt(
            request=stub(
                service='engines',
                priority=1,
                soft_deadline_at=0.0,
                seconds_left=10.0,
                configuration=stub(services_by_name={}),
                metadata=stub(
                    request_id='r-1', resumed_request_id='', resume_id=''
                ),
                fingerprint='request',
                segment_keys=(),
            ),
            sender=sender or _Sender(),
            assignment=stub(endpoint=builders.endpoint('silent')),
            excluded_ids=frozenset({'silent'}),
            connection=None,
            has_partial_event=False,
            last_event_id='',
            has_started=False,
            heard_at=0.0,
        )

    def look(self):
        """Look for another endpoint; none takes the request."""
        self._failover.look(self._silent, None)


# A request was held to its deadline: at each look it met the same endpoint,
# which was silent as well, beside one that answered.
def test_an_endpoint_that_does_not_answer_leaves_the_next_look_to_others():
    site = _Site({'a': SILENT, 'b': AWAKE})
    site.look()
    site.look()
    assert site.liveness.asked_ids == ['a', 'b']


@pytest.mark.parametrize('others', [['a'], ['a', 'b']])
def test_endpoints_that_do_not_answer_are_asked_in_turn(others):
    site = _Site(dict.fromkeys(others, SILENT))
    for _ in range(2 * len(others)):
        site.look()
    assert site.liveness.asked_ids == 2 * others


# One that answers with an error was not tried, as if it were silent.
def test_an_endpoint_that_is_not_ready_is_tried_after_all_others():
    site = _Site({'a': UNREADY, 'b': AWAKE})
    site.look()
    site.look()
    assert site.selector.assigned_ids == ['b']


def test_the_only_other_endpoint_is_tried_though_it_is_not_ready():
    site = _Site({'a': UNREADY})
    site.look()
    assert site.selector.assigned_ids == []
    site.look()
    assert site.selector.assigned_ids == ['a']


# A permit for the endpoint was spent though nothing was sent to it.
def test_nothing_is_reserved_for_an_endpoint_that_does_not_answer():
    site = _Site({'a': SILENT})
    site.look()
    assert site.liveness.asked_ids == ['a']
    assert site.selector.assigned_ids == []


def test_an_endpoint_that_answers_is_assigned():
    site = _Site({'a': AWAKE, 'b': AWAKE})
    site.look()
    assert site.selector.assigned_ids == ['a']


# A stream was moved although its engine had just begun to send others again.
def test_an_endpoint_that_sends_others_again_has_time_until_the_next_look():
    site = _Site({'a': AWAKE})
    site.silent_ids = {'silent', 'a'}
    site.look()
    site.silent_ids = set()
    site.look()
    assert site.liveness.asked_ids == []
    site.look()
    assert site.liveness.asked_ids == ['a']


# The request was taken for one that had reached no endpoint, though the silent
# one still had it.
def test_a_reset_of_the_next_endpoint_leaves_the_request_where_it_is():
    site = _Site({'a': AWAKE}, _ResetSender())
    site.look()
    assert site.selector.assigned_ids == ['a']
