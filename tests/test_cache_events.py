"""Tests of engines' cache removal events, including late and lost ones."""

import types

import builders
from carobwood_daemon.membership import cache_watchers
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.routing import cache_events
from carobwood_daemon.routing import prefix
from carobwood_daemon.routing import prefix_cache_index
import fleet as fleets
import pytest

ENGINE = endpoint_table.Endpoint(
    'engine-1', 5, 1, '', 'bole', 'engines', 'production', '1'
)
BLOCK_HASHES = tuple(bytes([n]) * prefix.DIGEST_BYTES for n in range(4))
PROMPT = prefix.Prompt(4 * prefix.BLOCK_TOKENS, BLOCK_HASHES)


class Fixture:
    """PrefixCacheIndex with one request and a clock that tests advance."""

    def __init__(self):
        self.now = 100.0
        self.prefix_cache_index = prefix_cache_index.PrefixCacheIndex(
            lambda: self.now
        )
        self.events = cache_events.CacheEvents(
            self.prefix_cache_index, lambda: self.now
        )
        self.prefix_cache_index.record_use(ENGINE, BLOCK_HASHES)
        self.events.record_prompt('r1', PROMPT, PROMPT.tokens)

    def apply_removal(self, sequence, from_token, request_id='r1', age=0.0):
        """Apply one removal event; ``age`` is in seconds."""
        removal = cache_events.CacheRemoval(
            sequence, request_id, from_token, age
        )
        self.events.apply(ENGINE, [removal])

    @property
    def cached_blocks(self):
        """Number of leading blocks that the engine likely caches."""
        return self.prefix_cache_index.count_cached_blocks(
            ENGINE, BLOCK_HASHES
        )


@pytest.mark.parametrize('token, cached', [(0, 0), (2048, 1), (6000, 2)])
def test_a_removal_drops_blocks_from_its_first_token_on(token, cached):
    fixture = Fixture()
    fixture.apply_removal(1, token)
    assert fixture.cached_blocks == cached


def test_another_vm_applies_the_removal():
    fixture = Fixture()
    fixture.apply_removal(1, 2048)
    removed = fixture.prefix_cache_index.log.read(1).records
    assert [record.is_removed for record in removed] == [True]
    other = Fixture()
    other.prefix_cache_index.merge(removed[0])
    assert other.cached_blocks == 1


def test_a_late_removal_keeps_blocks_used_after_it():
    fixture = Fixture()
    fixture.now += 5
    fixture.prefix_cache_index.record_use(ENGINE, BLOCK_HASHES)
    fixture.apply_removal(1, 0, age=2.0)
    assert fixture.cached_blocks == len(BLOCK_HASHES)


def test_a_repeated_event_or_unknown_request_is_ignored():
    fixture = Fixture()
    fixture.apply_removal(1, 0, request_id='of another VM')
    fixture.apply_removal(1, 0)
    assert fixture.cached_blocks == len(BLOCK_HASHES)
    fixture.apply_removal(2, 0)
    assert fixture.cached_blocks == 0


def test_a_gap_in_the_events_halves_the_estimated_lifetime():
    fixture = Fixture()
    fixture.apply_removal(1, 0, request_id='of another VM')
    fixture.apply_removal(4, 0, request_id='of another VM')
    fixture.now += prefix_cache_index.INITIAL_LIFETIME_SECONDS / 2 - 1
    assert fixture.cached_blocks == len(BLOCK_HASHES)
    fixture.now += 2
    assert fixture.cached_blocks == 0


def test_forgetting_an_engine_resets_its_sequence_number():
    fixture = Fixture()
    fixture.apply_removal(7, 0, request_id='of another VM')
    assert fixture.events.last_sequence(ENGINE) == 7
    fixture.events.forget(ENGINE)
    assert fixture.events.last_sequence(ENGINE) == 0


@pytest.mark.parametrize('loss_every', [0, 2])
def test_a_daemon_receives_removal_events(tmp_path, loss_every):
    with builders.World(tmp_path) as world:
        world.start_fleet(['bole'], log_level='debug')
        world.configure()
        world.start_engine(
            'engine-1', cache_pieces=3, event_loss_every=loss_every
        )
        world.await_endpoints(['engine-1'])
        for number in range(4):
            text = f'prefix {number} {builders.LONG_TEXT * 3}'
            assert world.chat(prompt=text).status == 200
        log = world.vms_by_id['vm1'].read_log
        if loss_every:
            fleets.wait_until(
                lambda: '"cache-events-lost"' in log(), 'the lost events'
            )
        received = cache_events.CacheEvents(
            prefix_cache_index.PrefixCacheIndex()
        )
        engine = types.SimpleNamespace(
            id='engine-1',
            incarnation=1,
            address=f'127.0.0.1:{world.ports_by_id["engine-1"]}',
        )
        watcher = cache_watchers.CacheWatcher(engine, received)
        watcher.start()
        fleets.wait_until(
            lambda: received.last_sequence(engine) >= 3, 'the removal events'
        )
        watcher.stop()
        assert '"thread-failed"' not in log()
