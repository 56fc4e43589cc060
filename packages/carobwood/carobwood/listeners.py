"""Functions that are told of changes, independently of each other."""

from . import events


class Listeners:
    """Calls functions one after the other.

    An exception that one of them raises is logged; it reaches neither the
    others nor the caller, whose thread may serve all changes of the VM.

    Attributes:
        failed_calls: number of calls that raised an exception.
    """

    def __init__(self, subject):
        """Create an empty collection.

        Args:
            subject: what the listeners are told of, for the log.
        """
        self._subject = subject
        self._listeners = []
        self.failed_calls = 0

    def add(self, listener):
        """Call a function from the next change on."""
        self._listeners.append(listener)

    def notify(self, *args):
        """Call all functions with the same arguments."""
        for listener in self._listeners:
            try:
                listener(*args)
            except Exception as error:
                self.failed_calls += 1
                events.emit(
                    events.LISTENER_FAILED,
                    subject=self._subject,
                    listener=getattr(listener, '__qualname__', repr(listener)),
                    error=repr(error),
                )
