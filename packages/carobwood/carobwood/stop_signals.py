"""Signals that a process keeps until its main thread takes them.

A program blocks them in its first lines and catches them before it imports
its other modules: by default they would end the process there and then, and
imports take part of a second.
"""

import dataclasses
import queue
import signal

from . import clocks
from . import events


@dataclasses.dataclass(frozen=True)
class ReceivedSignal:
    """A signal that has come.

    Attributes:
        number: its number.
        at: time by ``clocks.now`` at which it came, in seconds.
    """

    number: int
    at: float


class SignalQueue:
    """The signals that have come and were not taken yet."""

    def __init__(self):
        # Its ``put`` may interrupt its ``get``. An event, whose lock is held
        # as its wait begins and ends, would stop the main thread for good.
        self._queue = queue.SimpleQueue()

    def catch(self, *numbers):
        """Queue some signals from now on, also those blocked until now.

        The main thread calls this before it starts others.
        """
        for number in numbers:
            signal.signal(number, self._put)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)

    def take(self, timeout=0.0):
        """Return the ``ReceivedSignal`` that came first, and forget it.

        Args:
            timeout: seconds to wait for one.

        Returns:
            The signal, or None if none has come.
        """
        try:
            return self._queue.get(timeout=timeout)
        except queue.Empty:
            return None

    def take_stop(self, timeout=0.0):
        """Return when a stop was asked for, and forget what came before.

        A SIGHUP asks for none; it is logged.

        Args:
            timeout: seconds to wait for a signal.

        Returns:
            The time by ``clocks.now``, or None if no stop was asked for.
        """
        while (received := self.take(timeout)) is not None:
            if received.number != signal.SIGHUP:
                return received.at
            events.emit(events.RELOAD_REQUESTED)
            timeout = 0.0
        return None

    def _put(self, number, frame):
        self._queue.put(ReceivedSignal(number, clocks.now()))
