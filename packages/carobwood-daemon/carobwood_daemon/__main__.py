"""Command-line entry point of the daemon, ``carobwoodd``."""

import signal

# Blocked until there is a handler, as each ends a process by default.
_CAUGHT_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
signal.pthread_sigmask(signal.SIG_BLOCK, _CAUGHT_SIGNALS)

import logging as std_logging  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

from carobwood import errors  # noqa: E402
from carobwood import events  # noqa: E402
from carobwood import stop_signals  # noqa: E402

# There are no settings to be read again at a SIGHUP.
_SIGNALS = stop_signals.SignalQueue()
_SIGNALS.catch(*_CAUGHT_SIGNALS)

from . import daemon  # noqa: E402
from . import settings  # noqa: E402
from .observe import logs  # noqa: E402

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
# Period in which the main thread looks for signals.
WAKE_PERIOD_SECONDS = 1.0


def main(argv=None):
    """Run the daemon until SIGTERM or SIGINT.

    Args:
        argv: command line without the program's name; ``sys.argv`` by
            default.

    Returns:
        The exit code: 1 after a failed start, 2 if the settings are
        invalid. A stop does not return: it ends the process with 0, or with
        1 if its drain timeout has expired.
    """
    argv = sys.argv[1:] if argv is None else argv
    try:
        checked_settings = settings.parse(argv)
    except errors.SettingsInvalid as error:
        for fault in error.faults:
            print(f'carobwoodd: {fault}', file=sys.stderr)
        return EXIT_USAGE
    logs.set_up(checked_settings.log_level)
    if _SIGNALS.take_stop() is not None:
        events.emit(events.START_ABANDONED, vm=checked_settings.vm_id)
        std_logging.shutdown()
        return EXIT_OK
    return _run(checked_settings)


def _await_signal():
    # Handlers run when the main thread runs, and a signal that another thread
    # was given does not wake it.
    while True:
        asked_at = _SIGNALS.take_stop(WAKE_PERIOD_SECONDS)
        if asked_at is not None:
            return asked_at


def _run(checked_settings):
    try:
        vm_daemon = daemon.Daemon(checked_settings)
        vm_daemon.start()
    except (errors.CarobwoodError, OSError) as error:
        code = getattr(error, 'code', 'start_failed')
        print(f'carobwoodd: {code}: {error}', file=sys.stderr)
        return EXIT_FAILED
    drained = vm_daemon.stop(_await_signal())
    std_logging.shutdown()
    # Threads that still write answers would keep the process alive.
    os._exit(EXIT_OK if drained else EXIT_FAILED)


if __name__ == '__main__':
    sys.exit(main())
