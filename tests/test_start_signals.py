"""Signals that end a process while it starts.

Each process gets its signal at another of the modules that its start imports.
"""

import concurrent.futures
import os
import pathlib
import signal
import subprocess
import sys

import control_processes
import pytest
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Modules that are imported between the signals of two processes.
MODULES_BETWEEN_SIGNALS = 90
# Fewer modules than each program imports.
MODULES = 500
PROCESSES_AT_ONCE = 2
# Sends signals to its own process as a program begins to import the module
# of a number. A process that does not end is ended by an alarm.
LAUNCHER = """
import dataclasses
import os
import pathlib
import pkgutil
import queue
import runpy
import signal
import sys
import typing

ALARM_SECONDS = 60
# What a program imports before its first lines can block signals.
FIRST_MODULES = {'signal', 'carobwood_daemon', 'carobwood_daemon.__main__'}

signal.alarm(ALARM_SECONDS)
program, moment = sys.argv[1], int(sys.argv[3])
numbers = [int(number) for number in sys.argv[2].split(',')]
imports = 0


class Signaller:
    def find_spec(self, name, path, target=None):
        global imports
        imports += name not in FIRST_MODULES
        if imports == moment:
            for number in numbers:
                signal.raise_signal(number)


sys.meta_path.insert(0, Signaller())
sys.argv[1:] = sys.argv[4:]
if program.endswith('.py'):
    sys.path.insert(0, os.path.dirname(program))
    runpy.run_path(program, run_name='__main__')
else:
    runpy.run_module(program, run_name='__main__', alter_sys=True)
"""


def _exit_codes(program, numbers, environ):
    """Return the exit codes of processes that got signals, by moment."""
    moments = range(1, MODULES, MODULES_BETWEEN_SIGNALS)

    def run(moment):
        command = [sys.executable, '-c', LAUNCHER, program]
        command += [','.join(str(int(number)) for number in numbers)]
        command += [str(moment)]
        return subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, **environ},
            capture_output=True,
        ).returncode

    with concurrent.futures.ThreadPoolExecutor(PROCESSES_AT_ONCE) as pool:
        return dict(zip(moments, pool.map(run, moments), strict=True))


def _all_ended_by_themselves(codes_by_moment):
    return dict.fromkeys(codes_by_moment, 0)


# A SIGHUP that ends a process lets no later signal stop it.
NUMBERS = [
    [signal.SIGTERM],
    [signal.SIGINT],
    [signal.SIGHUP, signal.SIGTERM],
]


# A VM that got SIGTERM within the first 0.7 s of its start was ended by it.
@pytest.mark.parametrize('numbers', NUMBERS)
def test_a_signal_ends_a_vm_that_imports_its_modules(tmp_path, numbers):
    fleet = control_processes.ProcessFleet(tmp_path, 1)
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump(fleet.entry_vm.fields))
    codes_by_moment = _exit_codes(
        'platform/serve.py', numbers, {'CAROBWOOD_CONFIG': str(path)}
    )
    assert codes_by_moment == _all_ended_by_themselves(codes_by_moment)


# The same of carobwoodd. A SIGHUP ended it at any time.
@pytest.mark.parametrize('numbers', NUMBERS)
def test_a_signal_ends_a_daemon_that_imports_its_modules(tmp_path, numbers):
    secret = tmp_path / 'secret'
    secret.write_text('name:a-secret-of-the-tests-of-this-program')
    environ = {'CAROBWOOD_VM_ID': 'vm-1', 'CAROBWOOD_DATA_CENTRE': 'bole'}
    for name in ('LINK_SECRET', 'OPERATOR_TOKEN', 'ANNOUNCE_TOKEN'):
        environ[f'CAROBWOOD_{name}_FILE'] = str(secret)
    codes_by_moment = _exit_codes('carobwood_daemon', numbers, environ)
    assert codes_by_moment == _all_ended_by_themselves(codes_by_moment)
