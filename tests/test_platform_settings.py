"""Tests of the platform's settings file."""

from carobwood import errors
from carobwood_daemon.replication import replica_runner
from carobwood_platform import settings
import pytest
import yaml

FIELDS = {
    'node_name': 'control-bole-1',
    'zone': 'bole',
    'ip': '10.1.0.24',
    'listen': {'front': '10.1.0.24:8606', 'ready': '10.1.0.24:8605'},
    'port_range': [7600, 7615],
    'seeds': ['10.1.0.27:8608', '10.2.0.5:8608'],
    'first_start': True,
    'data_dir': None,
    'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
    'bounds': {
        'grace_s': 8,
        'version_ms': 8000,
        'lease_ms': 3000,
        'retry_ratio': 0.2,
        'retry_slack': 56,
        'retry_window_s': 10,
        'quota_window_s': 8,
        'quota_overshoot': 0.1,
        'quota_slack': 110000,
    },
}
TEXT = yaml.safe_dump(FIELDS, sort_keys=False)


@pytest.fixture
def read(tmp_path):
    """Return a function that reads settings from a file of a given text."""
    path = tmp_path / 'settings.yaml'

    def read_text(text):
        path.write_text(text, encoding='utf-8')
        return settings.read_settings(str(path), {})

    return read_text


def test_seeds_are_read_as_addresses_of_links(read):
    assert read(TEXT).seeds == ('10.1.0.27:7600', '10.2.0.5:7600')


# A VM ended with all its requests in flight: it had read its settings file
# while that was written.
def test_each_part_of_a_settings_file_is_read_or_refused(read):
    for size in range(len(TEXT)):
        try:
            read(TEXT[:size])
        except errors.SettingsInvalid:
            continue


@pytest.mark.parametrize('name', FIELDS)
@pytest.mark.parametrize('value', [None, 7, 'x', [None], [[]], {'x': 1}])
def test_a_field_of_another_type_is_read_or_refused(read, name, value):
    try:
        read(yaml.safe_dump(dict(FIELDS, **{name: value})))
    except errors.SettingsInvalid:
        return


def test_the_memory_limit_is_read_in_megabytes(read):
    limited = yaml.safe_dump({**FIELDS, 'limits': {'memory_mb': 150}})
    assert read(limited).memory_limit_bytes == 150 * 1024 * 1024


# A successor was not yet a voter when its VM counted as lost no longer.
@pytest.mark.parametrize('catch_up_seconds', [4.0, 6.0])
def test_voters_are_replaced_before_a_successor_has_caught_up(
    read, catch_up_seconds
):
    bounds = {**FIELDS['bounds'], 'catch_up_s': catch_up_seconds}
    text = yaml.safe_dump({**FIELDS, 'bounds': bounds})
    replica_options = read(text).replica_options
    timing = replica_options.timing
    # Two changes of the voters, each in a period of its own.
    changes_seconds = 2 * replica_runner.MAINTENANCE_PERIOD_SECONDS
    needed = max(timing.election_max, replica_options.replace_after)
    assert needed + changes_seconds < catch_up_seconds
