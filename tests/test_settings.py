"""Tests of the daemon's settings."""

import pytest

from carobwood import errors
from carobwood_daemon import settings


@pytest.fixture
def secret_flags(tmp_path):
    """Return flags that name valid secret files."""
    flags = []
    for flag, text in (
        ('link-secret-file', 'x' * 32),
        ('operator-token-file', 'op:' + 'y' * 32),
        ('announce-token-file', 'z' * 32),
    ):
        path = tmp_path / flag
        path.write_text(text)
        flags.append(f'--{flag}={path}')
    return flags


def test_flags_override_environment_variables(secret_flags):
    environ = {'CAROBWOOD_VM_ID': 'vm7', 'CAROBWOOD_DATA_CENTRE': 'otago'}
    checked = settings.parse(secret_flags + ['--vm-id=vm8'], environ)
    assert (checked.vm_id, checked.data_centre) == ('vm8', 'otago')
    assert checked.operator_tokens == (('op', 'y' * 32),)
    assert 'y' * 32 not in repr(checked)


def test_each_invalid_value_is_reported_with_flag_and_value(secret_flags):
    invalid = [
        '--data-centre=bole',
        '--caller-listen=nowhere',
        '--operator-listen=0.0.0.0:9000',
        '--peers=10.0.0.1:1,bad',
        '--max-requests=0',
        '--drain-timeout=soon',
        '--tls-key=/does/not/exist',
        '--trace-export=file',
    ]
    with pytest.raises(errors.SettingsInvalid) as caught:
        settings.parse(secret_flags + invalid, {})
    faults = '\n'.join(caught.value.faults)
    for text in (
        '--vm-id: is required',
        "--caller-listen 'nowhere'",
        '--operator-listen 0.0.0.0:9000',
        "--peers 'bad'",
        "--max-requests '0'",
        "--drain-timeout 'soon'",
        "--tls-key '/does/not/exist'",
        '--tls-certificate: is required',
        '--trace-target: is required',
    ):
        assert text in faults


def test_unknown_flags_and_missing_secrets_are_reported():
    with pytest.raises(errors.SettingsInvalid):
        settings.parse(['--no-such-flag'], {})
    with pytest.raises(errors.SettingsInvalid) as caught:
        settings.parse(['--vm-id=a', '--data-centre=b'], {})
    assert len(caught.value.faults) == 3
