"""Tests of the process settings."""

import pytest

from carobwood import errors
from carobwood_daemon import settings


@pytest.fixture
def secrets(tmp_path):
    """Give flags that name good secret files."""
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


def test_flags_go_before_environment_variables(secrets):
    environ = {'CAROBWOOD_VM_ID': 'vm7', 'CAROBWOOD_DATA_CENTRE': 'otago'}
    checked = settings.parse(secrets + ['--vm-id=vm8'], environ)
    assert (checked.vm_id, checked.data_centre) == ('vm8', 'otago')
    assert checked.operator_tokens == (('op', 'y' * 32),)
    assert 'y' * 32 not in repr(checked)


def test_each_wrong_value_is_one_fault_with_flag_and_value(secrets):
    wrong = [
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
        settings.parse(secrets + wrong, {})
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


def test_unknown_flag_and_missing_secrets_are_faults():
    with pytest.raises(errors.SettingsInvalid):
        settings.parse(['--no-such-flag'], {})
    with pytest.raises(errors.SettingsInvalid) as caught:
        settings.parse(['--vm-id=a', '--data-centre=b'], {})
    assert len(caught.value.faults) == 3
