"""Tests of the headers of requests that VMs forward to each other."""

from carobwood import errors
from carobwood_daemon.relay import forwarding_headers
import pytest

SECRET = b'secret-of-the-tests'
FORWARDED = forwarding_headers.ForwardedRequest('front-1', 1.25, False)


def _headers(**changes):
    pairs = forwarding_headers.format_request(
        FORWARDED, 'POST', '/checks/x', SECRET
    )
    return {**dict(pairs), **changes}


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
