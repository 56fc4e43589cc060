"""Lines and levels that tell why a process ended without a planned stop."""

import dataclasses
import errno
import logging

from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.membership import directory
from carobwood_daemon.observe import metrics
from carobwood_daemon.observe import process_resources

GIGABYTE = 1024**3
OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 100, False)
OTHER = directory.Vm('vm2', 'bole', '127.0.0.1:2', '', 100, False)


def _lines(caplog, name):
    return [
        record.getMessage()
        for record in caplog.records
        if f'"{name}"' in record.getMessage()
    ]


def _watch(limit_bytes, times):
    levels = metrics.PrometheusMetrics()
    watch = process_resources.ResourceWatch(
        levels,
        limit_bytes,
        buffer_budget.BufferBudget(1),
        lambda: next(times),
    )
    return watch, levels


# A VM that was killed for its memory left no line that told of it.
def test_a_process_near_its_memory_limit_says_so(caplog):
    watch, levels = _watch(1, iter((0.0, 1.0, 10.0)))
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            watch.sample()
    assert len(_lines(caplog, 'memory-short')) == 2
    text = levels.text().decode()
    for name in ('resident_bytes', 'open_descriptors', 'threads'):
        assert f'carobwood_level{{name="{name}"}}' in text


def test_a_process_far_from_its_memory_limit_says_nothing(caplog):
    watch, _ = _watch(1024 * GIGABYTE, iter(()))
    with caplog.at_level(logging.WARNING):
        watch.sample()
    assert not _lines(caplog, 'memory-short')


# Each look at a process without a descriptor failed as a fault of the timer.
def test_a_process_without_descriptors_is_looked_at_again(monkeypatch):
    def refuse(path):
        raise OSError(errno.EMFILE, path)

    watch, levels = _watch(1024 * GIGABYTE, iter(()))
    with monkeypatch.context() as patch:
        patch.setattr(process_resources.os, 'listdir', refuse)
        watch.sample()
    watch.sample()
    assert b'open_descriptors' in levels.text()


# No line of any VM told that a VM which was killed had started again.
def test_the_start_of_a_known_vm_is_logged_by_the_others(caplog):
    known_fleet = directory.Directory(OWN, ())
    restarted = dataclasses.replace(OTHER, incarnation=200)
    with caplog.at_level(logging.INFO):
        known_fleet.note_message(OTHER, 1)
        known_fleet.note_message(OTHER, 1)
        known_fleet.note_message(restarted, 1)
        known_fleet.merge_vm(restarted)
    [line] = _lines(caplog, 'vm-restarted')
    assert '"former": 100, "incarnation": 200' in line
