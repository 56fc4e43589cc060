"""At which engine a request goes on while the first one is silent."""

import threading

import opener_builders as builders
import pytest


@pytest.fixture
def start_engines():
    """Return a function that starts engines."""
    engines = []

    def start(count):
        engines.extend(
            builders.Engine(f'engine-{n + 1}') for n in range(count)
        )
        return engines

    yield start
    for engine in engines:
        engine.stop()


def _answer_after(engine, event):
    """Let an engine answer once an event is set."""

    def answer():
        event.wait(builders.WAIT_SECONDS)
        engine.may_answer.set()

    threading.Thread(target=answer, daemon=True).start()


# The attempt was given up for an engine that sent nothing and then failed.
def test_an_engine_that_falls_silent_with_the_request_is_left_again(
    start_engines,
):
    first, other = start_engines(2)
    other.falls_silent = True
    _answer_after(first, other.was_left)
    request = builders.Request(first, [other])
    assert request.open() == 'engine-1'
    assert other.request_count == 1


def test_an_engine_that_is_awake_takes_over_before_it_answers(start_engines):
    first, other = start_engines(2)
    _answer_after(other, first.was_left)
    request = builders.Request(first, [other])
    assert request.open() == 'engine-2'
    assert (first.request_count, other.request_count) == (1, 1)


def test_engines_that_answer_no_health_check_get_no_request(start_engines):
    first, *others = start_engines(6)
    for engine in others[:-1]:
        engine.is_silent = True
    _answer_after(others[-1], first.was_left)
    request = builders.Request(first, others)
    assert request.open() == 'engine-6'
    assert [engine.request_count for engine in others] == [0, 0, 0, 0, 1]


# The caller got it at the deadline, as nothing more came from the engine.
def test_an_answer_that_came_whole_is_not_waited_for(start_engines):
    first, other = start_engines(2)
    other.may_answer.set()
    sent = builders.Request(first, [other]).look()
    assert sent.is_readable(0.0)
    assert sent.receive().status == 200
    sent.cancel()
