"""Converts strikes to and from thrift messages.

A strike records that a request, identified by its fingerprint, was in
flight on an endpoint when the endpoint crashed.
"""

from carobwood import clocks
from carobwood.gen.links import ttypes


def to_thrift(crash_suspects, known=frozenset()):
    """Convert the live strikes to thrift messages.

    Args:
        crash_suspects: the ``CrashSuspects``.
        known: (fingerprint, crash) pairs that are left out.
    """
    now = clocks.now()
    return [
        ttypes.Strike(*pair, int((now - struck_at) * 1000))
        for pair, struck_at in crash_suspects.strikes().items()
        if pair not in known
    ]


def merge_thrift(crash_suspects, messages):
    """Merge strikes that another VM sent.

    Args:
        crash_suspects: the ``CrashSuspects``.
        messages: thrift ``Strike`` messages, or None.
    """
    now = clocks.now()
    crash_suspects.merge(
        {
            (strike.fingerprint, strike.crash): now - strike.age_ms / 1000
            for strike in messages or ()
        }
    )
