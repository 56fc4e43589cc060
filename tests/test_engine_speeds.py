"""Tests of the learned speeds of engines."""

import random

import gossip_fleet
import pytest
import relay_builders as builders

from carobwood.gen.links import ttypes
from carobwood_daemon.relay import engine_speeds
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import speed_gossip

ALONE = engine_speeds.PromptWork(5000, 0)
SHORT = engine_speeds.PromptWork(400, 0)
# Prefill speed of the usual engine in tokens per second.
POOL_SPEED = 60_000
# A bucket spans a factor of 2 ** (1 / 4).
BUCKET_ERROR = 0.19


def _learn(speeds, endpoint, tokens_per_second, count=20, overhead=0.0):
    for _ in range(count):
        speeds.note_first_event(
            endpoint,
            ALONE,
            overhead + ALONE.own_tokens / tokens_per_second,
        )


def _learn_pool(speeds):
    """Learn two engines whose speed is the usual one of their pool."""
    for name in ('usual-1', 'usual-2'):
        _learn(speeds, builders.endpoint(name), POOL_SPEED)


def _has_ratio(speeds, endpoint, expected):
    """Return whether an engine's speed is about a multiple of the usual."""
    ratio = speeds.speed(endpoint) / fleet_loads.PREFILL_TOKENS_PER_SECOND
    return abs(ratio / expected - 1) <= BUCKET_ERROR


def test_an_unknown_engine_has_the_usual_speed():
    speeds = engine_speeds.EngineSpeeds(builders.Clock())
    assert _has_ratio(speeds, builders.endpoint(), 1.0)


def test_the_speed_is_learned_from_first_events():
    speeds = engine_speeds.EngineSpeeds(builders.Clock())
    _learn_pool(speeds)
    _learn(speeds, builders.endpoint('fast'), 1.6 * POOL_SPEED)
    _learn(speeds, builders.endpoint('slow'), 0.6 * POOL_SPEED)
    assert _has_ratio(speeds, builders.endpoint('fast'), 1.6)
    assert _has_ratio(speeds, builders.endpoint('slow'), 0.6)


def test_engines_that_all_turn_slow_keep_the_usual_speed():
    speeds = engine_speeds.EngineSpeeds(builders.Clock())
    for number in range(3):
        endpoint = builders.endpoint(f'engine-{number}')
        _learn(speeds, endpoint, POOL_SPEED / 10)
        assert _has_ratio(speeds, endpoint, 1.0)


def test_pools_are_learned_apart():
    speeds = engine_speeds.EngineSpeeds(builders.Clock())
    _learn_pool(speeds)
    other = builders.endpoint('other', pool='other')
    _learn(speeds, other, 5 * POOL_SPEED)
    assert _has_ratio(speeds, other, 1.0)


def test_an_engine_without_samples_is_as_fast_as_its_pool():
    speeds = engine_speeds.EngineSpeeds(builders.Clock())
    for number, factor in enumerate((0.5, 1.0, 1.5)):
        _learn(
            speeds, builders.endpoint(f'engine-{number}'), factor * POOL_SPEED
        )
    assert _has_ratio(speeds, builders.endpoint('new'), 1.0)


def test_a_few_slow_answers_do_not_matter():
    clock = builders.Clock()
    speeds = engine_speeds.EngineSpeeds(clock)
    source = random.Random(1)
    for _ in range(100):
        clock.advance(0.3)
        _learn_pool(speeds)
        slowness = 2.5 if source.random() < 0.15 else 1.0
        _learn(speeds, builders.endpoint(), POOL_SPEED / slowness, count=1)
        assert _has_ratio(speeds, builders.endpoint(), 1.0)


def test_a_new_incarnation_is_not_taken_for_the_former_one():
    clock = builders.Clock()
    speeds = engine_speeds.EngineSpeeds(clock)
    _learn_pool(speeds)
    _learn(speeds, builders.endpoint(), 0.2 * POOL_SPEED)
    restarted = builders.endpoint(incarnation=2)
    assert _has_ratio(speeds, restarted, 1.0)
    _learn(speeds, restarted, POOL_SPEED, count=3)
    clock.advance(engine_speeds.SPEEDS_MAX_AGE_SECONDS)
    assert _has_ratio(speeds, restarted, 1.0)


def test_late_samples_of_a_former_incarnation_are_dropped():
    speeds = engine_speeds.EngineSpeeds(builders.Clock())
    _learn_pool(speeds)
    _learn(speeds, builders.endpoint(incarnation=2), POOL_SPEED)
    _learn(speeds, builders.endpoint(incarnation=1), 0.2 * POOL_SPEED)
    assert _has_ratio(speeds, builders.endpoint(incarnation=2), 1.0)


def test_half_of_the_engines_are_replaced_while_speeds_are_learned():
    clock = builders.Clock()
    speeds = engine_speeds.EngineSpeeds(clock)
    _learn_pool(speeds)
    slow = builders.endpoint('slow')
    _learn(speeds, slow, 0.5 * POOL_SPEED)
    kept = [builders.endpoint('usual-1'), slow]
    new = [builders.endpoint('new-1'), builders.endpoint('new-2')]
    speeds.retain(kept + new)
    for endpoint in new:
        _learn(speeds, endpoint, POOL_SPEED)
    clock.advance(engine_speeds.SPEEDS_MAX_AGE_SECONDS)
    assert 'usual-2' not in speeds.learned_speeds()
    assert _has_ratio(speeds, slow, 0.5)
    assert _has_ratio(speeds, new[0], 1.0)


def test_the_time_beside_the_prefill_is_learned_from_short_prompts():
    clock = builders.Clock()
    speeds = engine_speeds.EngineSpeeds(clock)
    for _ in range(10):
        speeds.note_first_event(builders.endpoint(), SHORT, 0.06)
    clock.advance(engine_speeds.SPEEDS_MAX_AGE_SECONDS)
    for name, factor in (('slow', 0.5), ('usual', 1.0), ('fast', 2.0)):
        _learn(
            speeds,
            builders.endpoint(name),
            factor * POOL_SPEED,
            overhead=0.05,
        )
    assert _has_ratio(speeds, builders.endpoint('slow'), 0.5)
    assert _has_ratio(speeds, builders.endpoint('fast'), 2.0)


@pytest.mark.parametrize(
    'work',
    [
        engine_speeds.PromptWork(5000, 50_000),
        engine_speeds.PromptWork(5000, 0, fetched_tokens=6000),
        engine_speeds.PromptWork(100, 0),
    ],
)
def test_a_request_that_waits_for_other_things_tells_no_speed(work):
    speeds = engine_speeds.EngineSpeeds(builders.Clock())
    speeds.note_first_event(builders.endpoint(), work, 0.01)
    assert speeds.learned_speeds() == {}


def test_speeds_are_forgotten():
    clock = builders.Clock()
    speeds = engine_speeds.EngineSpeeds(clock)
    _learn_pool(speeds)
    _learn(speeds, builders.endpoint(), 0.2 * POOL_SPEED)
    clock.advance(20 * engine_speeds.SAMPLE_HALF_LIFE_SECONDS)
    assert speeds.learned_speeds() == {}


def test_engines_that_are_gone_are_forgotten():
    speeds = engine_speeds.EngineSpeeds(builders.Clock())
    _learn(speeds, builders.endpoint('gone'), POOL_SPEED)
    _learn(speeds, builders.endpoint('kept'), POOL_SPEED)
    speeds.retain([builders.endpoint('kept')])
    assert list(speeds.learned_speeds()) == ['kept']


class _Vm:
    """A VM's speeds and their topic of the gossip."""

    def __init__(self, clock, name, role=ttypes.SenderRole.MEMBER):
        self.speeds = engine_speeds.EngineSpeeds(clock)
        self.name = name
        self._role = role
        self._topic = speed_gossip.SpeedGossipTopic(
            self.speeds, clock, random.Random(1)
        )

    def message(self):
        """Return the next message that carries speeds, as it arrives."""
        while True:
            message = ttypes.GossipMessage(
                ttypes.VmDescriptor(vm_id=self.name), role=self._role
            )
            self._topic.add_report(message)
            if message.speeds is not None:
                return message

    def report_to(self, aggregator):
        """Report to an aggregator and merge what it answers."""
        message = self.message()
        reply = ttypes.GossipReply()
        aggregator._topic.merge_member(message)
        aggregator._topic.add_summary(reply, message)
        self._topic.merge_summary(message, reply)

    def report_to_peer(self, aggregator):
        """Report the sums of this aggregator's group to another one."""
        aggregator._topic.merge_group(self.message())


def test_members_of_two_groups_learn_what_the_others_have_seen():
    clock = builders.Clock()
    first = _Vm(clock, 'a1', ttypes.SenderRole.AGGREGATOR)
    second = _Vm(clock, 'a2', ttypes.SenderRole.AGGREGATOR)
    seeing = _Vm(clock, 'seeing')
    unaware = _Vm(clock, 'unaware')
    _learn_pool(seeing.speeds)
    _learn(seeing.speeds, builders.endpoint(), 0.2 * POOL_SPEED)
    seeing.report_to(first)
    first.report_to_peer(second)
    unaware.report_to(second)
    # It learns the pools of the engines when it looks for one.
    for name in ('usual-1', 'usual-2', 'engine-1'):
        unaware.speeds.speed(builders.endpoint(name))
    clock.advance(engine_speeds.SPEEDS_MAX_AGE_SECONDS)
    assert _has_ratio(unaware.speeds, builders.endpoint(), 0.2)


def test_samples_of_a_member_count_once_however_often_they_are_reported():
    clock = builders.Clock()
    aggregator = _Vm(clock, 'a1', ttypes.SenderRole.AGGREGATOR)
    slow, fast = _Vm(clock, 'slow'), _Vm(clock, 'fast')
    _learn_pool(fast.speeds)
    _learn(slow.speeds, builders.endpoint(), 0.2 * POOL_SPEED, count=3)
    _learn(fast.speeds, builders.endpoint(), POOL_SPEED, count=9)
    for _ in range(10):
        slow.report_to(aggregator)
    fast.report_to(aggregator)
    assert _has_ratio(fast.speeds, builders.endpoint(), 1.0)


def test_a_vm_whose_aggregator_knows_no_speeds_keeps_to_its_own():
    vm = _Vm(builders.Clock(), 'vm')
    _learn_pool(vm.speeds)
    _learn(vm.speeds, builders.endpoint(), 0.2 * POOL_SPEED)
    vm._topic.merge_summary(vm.message(), ttypes.GossipReply())
    assert _has_ratio(vm.speeds, builders.endpoint(), 0.2)


def test_speeds_out_of_bounds_are_passed_over():
    vm = _Vm(builders.Clock(), 'vm')
    news = ttypes.SpeedNews('engine-1', 1, {-5: 100, 900: 100, 3: -100})
    vm._topic.merge_summary(None, ttypes.GossipReply(speeds=[news]))
    assert vm.speeds.learned_speeds() == {}


def test_the_message_of_60_engines_is_small():
    clock = builders.Clock()
    aggregator = _Vm(clock, 'a1', ttypes.SenderRole.AGGREGATOR)
    source = random.Random(1)
    for number in range(60):
        for _ in range(30):
            speed = 60_000 * source.lognormvariate(0.0, 0.4)
            endpoint = builders.endpoint(f'i-{number:010}')
            _learn(aggregator.speeds, endpoint, speed, count=1)
    reply = ttypes.GossipReply(speeds=aggregator.message().speeds)
    _, size = gossip_fleet.transmit(reply)
    assert size < 60 * 80
