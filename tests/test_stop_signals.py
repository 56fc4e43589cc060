"""Signals to a VM's process, at any moment of its main thread's wait."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Runs the program with a VM that does nothing. In one process for each line
# of Python from the start of the wait, the signal comes at that line. A
# process that does not end is ended by an alarm.
PROGRAM = """
import os
import signal
import sys
import types

import serve

MOMENTS = 30
ALARM_SECONDS = 20

serve.settings.read_settings = lambda *arguments: types.SimpleNamespace(
    seeds=(), memory_limit_bytes=0
)
serve.logs.set_up = lambda level: None
serve.RELOAD_PERIOD_SECONDS = 0.001


def run(number, moment):
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        count += event == 'line'
        if event == 'line' and count == moment:
            signal.raise_signal(number)
        if event == 'line' and count == moment + 200:
            signal.raise_signal(signal.SIGTERM)
        return trace

    serve.relay_vm.RelayVm = lambda *arguments: types.SimpleNamespace(
        start=lambda: sys.settrace(trace), stop=lambda asked_at: True
    )
    signal.alarm(ALARM_SECONDS)
    serve.main()


def is_obeyed(number, moment):
    child = os.fork()
    if not child:
        run(number, moment)
    return os.waitpid(child, 0)[1] == 0


for number in (signal.SIGTERM, signal.SIGHUP):
    for moment in range(1, MOMENTS + 1):
        if not is_obeyed(number, moment):
            sys.exit(f'{number} at line {moment} has stopped the main thread')
"""

# The daemon's signal goes to another thread while the main one waits. A
# process that does not end is ended by an alarm.
DAEMON_PROGRAM = """
import signal
import sys
import threading
import types

from carobwood_daemon import __main__ as program

ALARM_SECONDS = 20
# Time in which the main thread begins to wait.
START_SECONDS = 0.5


def take_signal():
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    threading.Event().wait()


def start():
    timer = threading.Timer(START_SECONDS, take_signal)
    timer.daemon = True
    timer.start()


program.daemon.Daemon = lambda settings: types.SimpleNamespace(
    start=start, stop=lambda asked_at: True
)
signal.alarm(ALARM_SECONDS)
sys.exit(program._run(None))
"""

# A worker of the daemon still writes an answer as its stop ends. A process
# that does not end is ended by an alarm.
WRITER_PROGRAM = """
import signal
import sys
import threading
import types

from carobwood_daemon import __main__ as program

ALARM_SECONDS = 20


def start():
    threading.Thread(target=threading.Event().wait).start()
    signal.raise_signal(signal.SIGTERM)


program.daemon.Daemon = lambda settings: types.SimpleNamespace(
    start=start, stop=lambda asked_at: True
)
signal.alarm(ALARM_SECONDS)
sys.exit(program._run(None))
"""


# A VM that got SIGTERM as its main thread entered or left its wait went on as
# before, until it was killed with the requests in flight.
def test_a_signal_during_the_wait_itself_is_obeyed():
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        cwd=ROOT / 'platform',
        capture_output=True,
        text=True,
    )
    assert (done.returncode, done.stderr) == (0, '')


# SIGTERM was missed if the kernel gave it to another thread than the main one.
def test_a_signal_that_another_thread_was_given_is_obeyed():
    done = subprocess.run(
        [sys.executable, '-c', DAEMON_PROGRAM],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert (done.returncode, done.stderr) == (0, '')


# The daemon did not end after its stop while a caller read its answer slowly.
def test_a_daemon_ends_although_a_worker_still_writes():
    done = subprocess.run(
        [sys.executable, '-c', WRITER_PROGRAM],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert (done.returncode, done.stderr) == (0, '')
