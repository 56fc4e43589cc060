"""Tests of the time that a stream waits for its next complete event."""

from carobwood import errors
from carobwood_daemon.entry import event_stream
from carobwood_daemon.entry import stall_timer
import pytest
import relay_builders as builders

STALL_SECONDS = 10.0


def _read(timer, clock, seconds):
    timer.check()
    with timer.reading():
        clock.advance(seconds)


# An engine that sent a byte now and then held its caller without end.
def test_a_stream_of_bytes_without_an_event_stalls():
    clock = builders.Clock()
    timer = stall_timer.StallTimer(STALL_SECONDS, clock)
    with pytest.raises(errors.StreamBroken):
        for _ in range(15):
            _read(timer, clock, 1.0)
    assert clock.now == 1000.0 + 12.0


def test_neither_a_slow_caller_nor_one_long_read_is_a_stall():
    clock = builders.Clock()
    timer = stall_timer.StallTimer(STALL_SECONDS, clock)
    for _ in range(15):
        _read(timer, clock, 0.5)
        clock.advance(60.0)
    _read(timer, clock, 60.0)
    _read(timer, clock, 0.0)
    timer.note_progress()
    _read(timer, clock, 1.0)
    _read(timer, clock, 1.0)


@pytest.mark.parametrize('size', [1, 2, 3, 7])
def test_events_are_split_wherever_their_bytes_are_cut(size):
    stream = b'id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: [DONE]\n\n'
    events = event_stream.EventStream()
    parts = [stream[n : n + size] for n in range(0, len(stream), size)]
    assert b''.join(events.feed(part) for part in parts) == stream
    assert events.is_complete
