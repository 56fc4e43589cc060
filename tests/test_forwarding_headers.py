"""Tests of the headers of requests that VMs forward to each other."""

import dataclasses
import types

from carobwood import errors
from carobwood_daemon.relay import caller_request
from carobwood_daemon.relay import forwarding_headers
import pytest

SECRET = b'secret-of-the-tests'
FORWARDED = forwarding_headers.ForwardedRequest('front-1', 1.25, False)


def _headers(forwarded=FORWARDED, **changes):
    pairs = forwarding_headers.format_request(
        forwarded, 'POST', '/checks/x', SECRET
    )
    return {**dict(pairs), **changes}


def _parse(headers):
    return forwarding_headers.parse_request(
        headers, 'POST', '/checks/x', SECRET
    )


def test_headers_are_read_as_they_were_written():
    parsed = forwarding_headers.parse_request(
        _headers(), 'POST', '/checks/x', SECRET
    )
    assert parsed == FORWARDED


@pytest.mark.parametrize(
    ('headers', 'target', 'secret'),
    [
        ({}, '/checks/x', SECRET),
        (_headers(), '/checks/y', SECRET),
        (_headers(), '/checks/x', b'another'),
        (
            _headers(**{forwarding_headers.WITHIN_RATE: '1'}),
            '/checks/x',
            SECRET,
        ),
        (_headers(**{forwarding_headers.PROOF: 'é'}), '/checks/x', SECRET),
    ],
)
def test_headers_that_no_vm_of_the_fleet_wrote_are_refused(
    headers, target, secret
):
    with pytest.raises(errors.LinkRefused):
        forwarding_headers.parse_request(headers, 'POST', target, secret)


def test_the_time_that_was_used_is_read_as_it_was_written():
    forwarded = dataclasses.replace(FORWARDED, time_used=0.5)
    assert _parse(_headers(forwarded)) == forwarded


@pytest.mark.parametrize('value', ['', '-1', '1.5', '1_0', '9' * 10, '٣'])
def test_a_time_that_is_no_number_counts_as_unknown(value):
    headers = _headers(**{forwarding_headers.TIME_USED: value})
    assert _parse(headers) == FORWARDED


# The proof of an earlier build covers what it knows; it drops the rest.
def test_an_earlier_build_takes_a_request_and_drops_the_time_that_was_used(
    monkeypatch,
):
    headers = _headers(dataclasses.replace(FORWARDED, time_used=0.5))
    known = forwarding_headers.ALL - {forwarding_headers.TIME_USED}
    assert {name: headers[name] for name in known & headers.keys()} == (
        _headers()
    )
    monkeypatch.setattr(forwarding_headers, 'ALL', known)
    parsed = types.SimpleNamespace(
        method=b'POST',
        uri=b'/checks/x',
        inheaders={
            name.title().encode(): value.encode()
            for name, value in headers.items()
        },
        server=types.SimpleNamespace(
            buffers=types.SimpleNamespace(reserve=lambda kind: None)
        ),
        conn=types.SimpleNamespace(
            wfile=types.SimpleNamespace(bytes_written=0)
        ),
    )
    caller = caller_request.CallerRequest(parsed)
    assert caller.end_to_end_headers() == []
