"""Tests of what a request's stay on an engine is blamed for."""

import time
import types

from carobwood import document
from carobwood import errors
from carobwood_daemon.entry import engine_visit
from carobwood_daemon.entry import event_stream
from carobwood_daemon.membership import directory
from carobwood_daemon.routing import breakers
from carobwood_daemon.routing import cache_events
from carobwood_daemon.routing import loads
from carobwood_daemon.routing import placements
from carobwood_daemon.routing import prefill_rate
from carobwood_daemon.routing import prefix
from carobwood_daemon.routing import suspects
import pytest

ENGINE = directory.Endpoint(
    'engine-1', 1, 1, '127.0.0.1:1', 'bole', 'engines', 'production', '1'
)
FINGERPRINT = 'an innocent request'
WORK = types.SimpleNamespace(
    fingerprint=FINGERPRINT,
    prompt_for=lambda _: prefix.Prompt(1, (b'piece',)),
    pool=document.Pool('engines', 'engine'),
)


class Arbiter:
    """Grants every hold and keeps account of them."""

    def __init__(self):
        self.held = 0
        self.on_hold = lambda: None

    def hold(self, *arguments):
        self.held += 1
        self.on_hold()

    def release(self, *arguments):
        self.held -= 1


@pytest.fixture
def services():
    return types.SimpleNamespace(
        suspects=suspects.Suspects(),
        loads=loads.Loads(),
        breakers=breakers.Breakers(),
        placements=placements.Placements(),
        arbiter=Arbiter(),
        cache_events=cache_events.CacheEvents(placements.Placements()),
        rates=prefill_rate.PrefillRates(),
        chooser=types.SimpleNamespace(missing_tokens=lambda *_: 1),
    )


def test_a_crash_before_the_connection_is_no_strike(services):
    visit = engine_visit.Visit(services, ENGINE, WORK)
    visit.enter()
    services.suspects.note_crash(ENGINE)
    assert not services.suspects.is_suspect(FINGERPRINT)
    visit.leave()
    assert services.loads.open_requests(ENGINE) == 0


def test_a_crash_after_the_connection_is_a_strike(services):
    visit = engine_visit.Visit(services, ENGINE, WORK)
    visit.enter()
    visit.begin()
    services.suspects.note_crash(ENGINE)
    assert services.suspects.is_suspect(FINGERPRINT)
    visit.leave()
    services.suspects.clear(FINGERPRINT)
    services.suspects.note_crash(ENGINE)
    assert not services.suspects.is_suspect(FINGERPRINT)


def test_a_suspect_is_not_sent_to_an_engine_that_is_dead(services):
    # Port 1 stands for an engine that died while the suspect waited.
    services.suspects.merge({(FINGERPRINT, 'engine-2/1'): time.monotonic()})
    visit = engine_visit.Visit(services, ENGINE, WORK)
    with pytest.raises(errors.EndpointUnreachable):
        visit.enter_apart(1.0)
    assert services.arbiter.held == 0
    assert services.loads.open_requests(ENGINE) == 0
    services.suspects.check(FINGERPRINT)


def test_a_suspect_learns_with_its_hold_of_another_copys_crash(services):
    suspects_here = services.suspects
    now = time.monotonic()
    suspects_here.merge({(FINGERPRINT, 'engine-2/1'): now})
    services.arbiter.on_hold = lambda: suspects_here.merge(
        {(FINGERPRINT, 'engine-1/1'): now}
    )
    visit = engine_visit.Visit(services, ENGINE, WORK)
    with pytest.raises(errors.RequestCrashesEndpoints):
        visit.enter_apart(1.0)
    assert services.arbiter.held == 0


def test_news_of_a_cleared_strike_does_not_bring_it_back(services):
    strike = {(FINGERPRINT, 'engine-2/1'): time.monotonic()}
    services.suspects.merge(strike)
    services.suspects.clear(FINGERPRINT)
    services.suspects.merge(strike)
    assert not services.suspects.is_suspect(FINGERPRINT)
    services.suspects.merge({(FINGERPRINT, 'engine-3/1'): time.monotonic()})
    assert services.suspects.is_suspect(FINGERPRINT)


@pytest.mark.parametrize('engine_bytes_per_token', [3.0, 4.0, 6.0])
def test_a_whole_hit_shortens_no_life_whatever_the_size_of_tokens(
    services, engine_bytes_per_token
):
    # The text shares 5.4 of the router's pieces with the one before it.
    text = b'x' * 33000
    scope = prefix.Scope('production', 'c', 'm', '1', '')
    before = prefix.hash_text(scope, text + b'a' * 900, 3)
    after = prefix.hash_text(scope, text + b'b' * 900, 3)
    now = [100.0]
    services.placements = placements.Placements(lambda: now[0])
    services.placements.note(ENGINE, before.chain)
    now[0] += 5.0
    work = types.SimpleNamespace(
        fingerprint=FINGERPRINT, prompt_for=lambda _: after, pool=WORK.pool
    )
    visit = engine_visit.Visit(services, ENGINE, work)
    visit.enter()
    tokens = int(33900 / engine_bytes_per_token)
    shared = int(33000 / engine_bytes_per_token)
    cached = shared // prefix.PIECE_TOKENS * prefix.PIECE_TOKENS
    visit.learn('r1', event_stream.Usage(tokens, 1, cached))
    # A wrongly shortened life would end before the age that was hit.
    now[0] += 5.0
    held = services.placements.cached_pieces(ENGINE, before.chain)
    assert held == len(before.chain)
