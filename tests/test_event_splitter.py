"""Tests of the splitting of a byte stream into events."""

from carobwood import errors
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.relay import event_splitter
import pytest

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n'


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
def test_splitting_at_any_byte_returns_all_events(line_end):
    stream = STREAM.replace(b'\n', line_end)
    for cut in range(len(stream)):
        splitter = event_splitter.EventSplitter()
        complete = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        complete += splitter.flush()
        assert complete == stream
        assert splitter.last_id == '3'


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
def test_a_stream_that_ends_inside_an_event_is_refused(line_end):
    stream = STREAM.replace(b'\n', line_end)
    whole_lengths = [
        index + len(2 * line_end)
        for index in range(len(stream))
        if stream.startswith(2 * line_end, index)
    ]
    for length in range(1, len(stream) + 1):
        splitter = event_splitter.EventSplitter()
        splitter.feed(stream[:length])
        if length in whole_lengths:
            assert splitter.flush() == b''
            continue
        with pytest.raises(errors.EndpointFailed):
            splitter.flush()


def test_incomplete_event_is_buffered_until_discarded():
    splitter = event_splitter.EventSplitter()
    complete = splitter.feed(STREAM[:20])
    assert complete == b'id: 1\ndata: a\n\n'
    assert splitter.last_id == '1'
    splitter.discard_partial()
    assert splitter.feed(STREAM[15:]) == STREAM[15:]


def test_flush_returns_bytes_after_the_last_event():
    splitter = event_splitter.EventSplitter()
    splitter.feed(STREAM + b': end')
    assert splitter.flush() == b': end'
    assert splitter.flush() == b''


def test_an_event_without_end_is_refused():
    splitter = event_splitter.EventSplitter()
    with pytest.raises(errors.EndpointFailed):
        for _ in range(100):
            splitter.feed(b'x' * 65536)


# Incomplete events of many streams took the memory of the VM.
def test_incomplete_events_are_taken_from_the_budget():
    budget = buffer_budget.BufferBudget(256 * 1024)
    splitters = [event_splitter.EventSplitter('', budget) for _ in range(2)]
    for splitter in splitters:
        for _ in range(3):
            splitter.feed(b'x' * 65536)
    with pytest.raises(errors.EndpointFailed):
        splitters[0].feed(b'x')
    splitters[0].discard_partial()
    assert splitters[1].feed(b'x' * 65536 + b'\n\nid: 1\n').endswith(b'\n\n')
    assert splitters[1].feed(b'data: a\n\n') == b'id: 1\ndata: a\n\n'
    assert budget.used_bytes == 0


@pytest.mark.parametrize(
    'second',
    [
        b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n',
        b'id: 2\ndata: b\n\n',
        b'id: 3\ndata: c\n\nid: 3\ndata: c\n\n',
    ],
)
def test_a_stream_whose_ids_do_not_increase_is_refused(second):
    splitter = event_splitter.EventSplitter()
    splitter.feed(b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
    with pytest.raises(errors.EndpointFailed):
        splitter.feed(second)
    assert splitter.last_id == '2'


def test_ids_that_are_no_numbers_are_not_compared():
    splitter = event_splitter.EventSplitter()
    stream = b'id: b\ndata: a\n\nid: a\ndata: b\n\n'
    assert splitter.feed(stream) == stream


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
def test_the_head_of_a_response_inside_a_stream_is_refused(line_end):
    splitter = event_splitter.EventSplitter()
    splitter.feed(b'id: 1\ndata: a\n\n')
    head = (b'HTTP/1.1 500 Error\nContent-Length: 3\n\n').replace(
        b'\n', line_end
    )
    with pytest.raises(errors.EndpointFailed):
        splitter.feed(head)
    assert splitter.feed(b'id: 2\ndata: HTTP/1.1 500 as text\n\n')
