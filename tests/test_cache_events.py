"""Tests of engines' cache events, late and with gaps."""

import types

import builders
from carobwood_daemon.membership import cache_watchers
from carobwood_daemon.membership import directory
from carobwood_daemon.routing import cache_events
from carobwood_daemon.routing import placements
from carobwood_daemon.routing import prefix
import fleet as fleets
import pytest

ENGINE = directory.Endpoint(
    'engine-1', 5, 1, '', 'bole', 'engines', 'production', '1'
)
CHAIN = tuple(bytes([n]) * prefix.DIGEST_BYTES for n in range(4))
PROMPT = prefix.Prompt(4 * prefix.PIECE_TOKENS, CHAIN)


class Setting:
    """Placements and events on a clock of their own."""

    def __init__(self):
        self.now = 100.0
        self.placements = placements.Placements(lambda: self.now)
        self.heard = cache_events.CacheEvents(
            self.placements, lambda: self.now
        )
        self.placements.note(ENGINE, CHAIN)
        self.heard.note_request('r1', PROMPT, PROMPT.tokens)

    def hear(self, sequence, from_token, request_id='r1', age=0.0):
        """Hear of one removal."""
        removal = cache_events.Removal(sequence, request_id, from_token, age)
        self.heard.apply(ENGINE, [removal])

    @property
    def held(self):
        """Leading pieces that the engine is believed to hold."""
        return self.placements.cached_pieces(ENGINE, CHAIN)


@pytest.mark.parametrize('token, held', [(0, 0), (2048, 1), (6000, 2)])
def test_a_removal_takes_what_needs_the_token(token, held):
    setting = Setting()
    setting.hear(1, token)
    assert setting.held == held


def test_another_vm_hears_of_the_removal():
    setting = Setting()
    setting.hear(1, 2048)
    removed = setting.placements.log.read(1).records
    assert [record.is_removed for record in removed] == [True]
    other = Setting()
    other.placements.take_over(removed[0])
    assert other.held == 1


def test_a_late_removal_leaves_what_was_used_again():
    setting = Setting()
    setting.now += 5
    setting.placements.note(ENGINE, CHAIN)
    setting.hear(1, 0, age=2.0)
    assert setting.held == len(CHAIN)


def test_a_repeated_or_unknown_removal_changes_nothing():
    setting = Setting()
    setting.hear(1, 0, request_id='of another VM')
    setting.hear(1, 0)
    assert setting.held == len(CHAIN)
    setting.hear(2, 0)
    assert setting.held == 0


def test_a_gap_halves_the_life_that_is_believed_in():
    setting = Setting()
    setting.hear(1, 0, request_id='of another VM')
    setting.hear(4, 0, request_id='of another VM')
    setting.now += placements.INITIAL_LIFETIME / 2 - 1
    assert setting.held == len(CHAIN)
    setting.now += 2
    assert setting.held == 0


def test_a_new_incarnation_starts_its_own_numbers():
    setting = Setting()
    setting.hear(7, 0, request_id='of another VM')
    assert setting.heard.last_sequence(ENGINE) == 7
    setting.heard.forget(ENGINE)
    assert setting.heard.last_sequence(ENGINE) == 0


@pytest.mark.parametrize('loss_every', [0, 2])
def test_a_daemon_hears_of_evictions(tmp_path, loss_every):
    with builders.World(tmp_path) as world:
        world.start_fleet(['bole'], log_level='debug')
        world.configure()
        world.start_engine(
            'engine-1', cache_pieces=3, event_loss_every=loss_every
        )
        world.await_endpoints(['engine-1'])
        for number in range(4):
            text = f'prefix {number} {builders.PIECE * 3}'
            assert world.chat(prompt=text).status == 200
        log = world.vms_by_id['vm1'].log_text
        if loss_every:
            fleets.wait_until(
                lambda: '"cache-events-lost"' in log(), 'the gap'
            )
        heard = cache_events.CacheEvents(placements.Placements())
        engine = types.SimpleNamespace(
            id='engine-1',
            incarnation=1,
            address=f'127.0.0.1:{world.ports_by_id["engine-1"]}',
        )
        watcher = cache_watchers.CacheWatcher(engine, heard)
        watcher.start()
        fleets.wait_until(
            lambda: heard.last_sequence(engine) >= 3, 'the removals'
        )
        watcher.stop()
        assert '"thread-failed"' not in log()
