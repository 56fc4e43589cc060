"""Tests of the translation of the platform's HTTP headers."""

from carobwood import errors
from carobwood_daemon.relay import messages
from carobwood_platform import dialect
import pytest

DIALECT = dialect.PlatformDialect()


def test_the_headers_of_a_request_are_parsed():
    metadata = DIALECT.parse_request_headers(
        {
            'x-carobwood-request-id': '9c41',
            'x-carobwood-model': 'ruling',
            'x-carobwood-token-counts': '1460,80',
            'x-carobwood-prompt-prefix': 'aa:800, bb:410,cc:250',
            'x-carobwood-deadline-ms': '6000',
            'authorization': 'Bearer secret',
            'last-event-id': '12',
        }
    )
    assert metadata.request_id == '9c41'
    assert metadata.api_key == 'secret'
    assert metadata.deadline == 6.0
    assert metadata.prompt_tokens == 1460 and metadata.output_tokens == 80
    assert [segment.id for segment in metadata.prompt_segments] == [
        'aa',
        'bb',
        'cc',
    ]
    assert metadata.resume_id == '12'


def test_a_request_without_headers_has_empty_hints():
    assert DIALECT.parse_request_headers({}) == messages.RequestMetadata()


@pytest.mark.parametrize(
    'name, value',
    [
        ('x-carobwood-token-counts', 'many'),
        ('x-carobwood-deadline-ms', 'soon'),
        ('x-carobwood-prompt-prefix', 'aa:long'),
    ],
)
def test_a_header_that_is_not_a_number_is_refused(name, value):
    with pytest.raises(errors.MalformedRequest):
        DIALECT.parse_request_headers({name: value})


def test_callers_cannot_set_reserved_headers():
    for name in (
        'x-carobwood-tenant',
        'x-carobwood-cache-salt',
        'x-carobwood-cache-hold',
        'x-carobwood-pin-ms',
        'x-carobwood-expect-instance',
        'x-carobwood-request-priority',
        'x-carobwood-anything-new',
        'kv-from',
    ):
        assert DIALECT.is_reserved(name), name
    for name in (
        'x-carobwood-request-id',
        'x-carobwood-model',
        'x-carobwood-token-counts',
        'x-carobwood-prompt-prefix',
        'accept',
        'cookie',
    ):
        assert not DIALECT.is_reserved(name), name


def test_empty_fields_of_a_dispatch_add_no_headers():
    minimal = dict(
        DIALECT.format_forwarding_headers(
            messages.ForwardingMetadata('i-1', '', 1.25)
        )
    )
    assert minimal == {
        'X-Carobwood-Expect-Instance': 'i-1',
        'X-Carobwood-Deadline-Ms': '1250',
    }
    full = dict(
        DIALECT.format_forwarding_headers(
            messages.ForwardingMetadata(
                'i-1',
                'bole',
                0.5,
                cache_salt='v3/bole',
                weights_version=3,
                fetch_from='10.0.0.1:80',
                engine_priority=12,
                resume_id='7',
            )
        )
    )
    assert full['X-Carobwood-Tenant'] == 'bole'
    assert full['X-Carobwood-Cache-Salt'] == 'v3/bole'
    assert full['X-Carobwood-Expect-Version'] == '3'
    assert full['X-Carobwood-Cache-Fetch'] == '10.0.0.1:80'
    assert full['X-Carobwood-Request-Priority'] == '9'
    assert full['Last-Event-Id'] == '7'


def test_the_head_of_a_response_is_parsed():
    head = DIALECT.parse_response_head(
        200,
        {
            'x-carobwood-request-id': '9c41',
            'x-carobwood-response-stamp': 's',
            'x-carobwood-weight-versions': '4',
            'keep-alive': 'timeout=5, max=100',
            'connection': 'keep-alive',
            'content-type': 'text/event-stream; charset=utf-8',
        },
    )
    assert head == messages.ResponseHead(
        200, '', '9c41', False, True, 4, 5.0, False, True
    )


@pytest.mark.parametrize(
    'text, seconds',
    [
        ('3', 3.0),
        (' 0 ', 0.0),
        ('9' * 30, 1e30),
        ('-1', None),
        ('1.5', 1.5),
        ('.25', 0.25),
        ('1.5.2', None),
        ('9' * 400, None),
        ('²', None),
        ('soon', None),
        ('Fri, 04 Dec 2026 15:00:00 GMT', None),
        ('', None),
    ],
)
def test_the_time_of_a_rejection_is_parsed(text, seconds):
    head = DIALECT.parse_response_head(503, {'retry-after': text})
    assert head.retry_after == messages.RetryAfter(seconds)


def test_a_rejection_without_a_time_asks_for_nothing():
    assert DIALECT.parse_response_head(503, {}).retry_after is None


@pytest.mark.parametrize(
    'text, is_leaving', [('1', True), ('0', False), ('', False)]
)
def test_an_answer_tells_whether_the_engine_is_leaving(text, is_leaving):
    head = DIALECT.parse_response_head(200, {'server-leaving': text})
    assert head.is_leaving is is_leaving


@pytest.mark.parametrize(
    'text, per_second',
    [
        ('1.5', 1.5),
        ('0', 0.0),
        (' 0.2 ', 0.2),
        ('.5', 0.5),
        ('900000', 900000.0),
        ('-1', None),
        ('nan', None),
        ('1e400', None),
        ('9' * 400, None),
        ('', None),
        ('soon', None),
    ],
)
def test_an_answer_names_the_rate_limit_of_the_engine(text, per_second):
    head = DIALECT.parse_response_head(200, {'server-limit': text})
    assert head.rate_limit == messages.RateLimit(per_second)


def test_an_answer_may_name_no_rate_limit():
    assert DIALECT.parse_response_head(200, {}).rate_limit is None


def test_a_response_tells_whether_the_request_has_not_run():
    not_run = DIALECT.parse_response_head(503, {'x-carobwood-not-run': '1'})
    assert not_run.has_not_run and not not_run.is_signed
    misdirected = DIALECT.parse_response_head(
        421, {'x-carobwood-instance-id': 'i-2'}
    )
    assert misdirected.endpoint_id == 'i-2' and not misdirected.has_not_run


@pytest.mark.parametrize(
    ('text', 'expected'), [('3', 3.0), ('0', 0.0), ('-1', None), ('x', None)]
)
def test_the_rejections_that_a_brittle_endpoint_bears_are_read(text, expected):
    head = DIALECT.parse_response_head(200, {'server-brittle': text})
    assert head.brittleness == messages.Brittleness(expected)
    assert DIALECT.parse_response_head(200, {}).brittleness is None
