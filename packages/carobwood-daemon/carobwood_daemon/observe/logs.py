"""Logging to standard output, one JSON object a line."""

import collections
import datetime
import json
import logging as std_logging
import sys
import threading
import time

from absl import logging

from carobwood import errors
from carobwood import events
from carobwood import threads

# Lines that may wait to be written: several seconds of a busy VM's output.
MAX_PENDING_LINES = 5000
# Longest time that a flush waits for the writing thread.
FLUSH_TIMEOUT_SECONDS = 0.5
# Pause after a failed write.
RETRY_PAUSE_SECONDS = 0.25


class _JsonFormatter(std_logging.Formatter):
    """Formats a record as one line of JSON with a UTC timestamp.

    The messages of ``events.emit`` are JSON objects, whose keys become
    keys of the line. Other messages become an event named ``text``.
    """

    def format(self, record):
        message = record.getMessage()
        try:
            fields = json.loads(message)
        except ValueError:
            fields = {'event': 0, 'name': 'text', 'message': message[:500]}
        timestamp = datetime.datetime.fromtimestamp(
            record.created, datetime.timezone.utc
        )
        line = {'time': timestamp.isoformat(), 'level': record.levelname}
        line.update(fields)
        return json.dumps(line)


class _ThriftExceptionFilter(std_logging.Filter):
    """Drops thrift's log records of refusals, and shortens its others.

    Handlers raise typed errors to refuse requests, and thrift would log
    each with a traceback. Any other exception is a fault.
    """

    def filter(self, record):
        if 'exception in handler' not in record.getMessage():
            return True
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, errors.CarobwoodError):
            return False
        event = events.THREAD_FAILED
        record.msg = json.dumps(
            {
                'event': event.number,
                'name': event.name,
                'thread': 'link',
                'error': repr(error),
            }
        )
        record.args = ()
        return True


class BoundedHandler(std_logging.Handler):
    """Writes log lines on its own thread and never blocks its callers.

    While ``MAX_PENDING_LINES`` lines wait to be written, further lines are
    dropped and counted; the count is logged with the next batch. So are
    lines whose write has failed.
    """

    def __init__(self, stream):
        """Create the handler and start its thread.

        Args:
            stream: text stream that lines are written to.
        """
        super().__init__()
        self._stream = stream
        self._changed = threading.Condition()
        self._lines = collections.deque()
        self._dropped = 0
        self._thread = threading.Thread(
            target=self._run, name='log', daemon=True
        )
        self._thread.start()

    def emit(self, record):
        """Queue a record for the writing thread."""
        line = self.format(record)
        with self._changed:
            if len(self._lines) >= MAX_PENDING_LINES:
                self._dropped += 1
                return
            self._lines.append(line)
            self._changed.notify()

    def flush(self):
        """Wait until the queued lines are written, or for the timeout."""
        with self._changed:
            self._changed.wait_for(
                lambda: not self._lines, FLUSH_TIMEOUT_SECONDS
            )

    def _run(self):
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._lines)
                batch = list(self._lines)
                dropped, self._dropped = self._dropped, 0
            if dropped:
                batch.append(_dropped_line(dropped))
            line_count = len(batch) - bool(dropped)
            lost = 0
            try:
                self._stream.write('\n'.join(batch) + '\n')
                self._stream.flush()
            except ValueError:
                # This process has closed the stream.
                return
            except OSError:
                # The disk may be full, or the reader may have gone. There
                # is nowhere else to report that.
                lost = line_count + dropped
                time.sleep(RETRY_PAUSE_SECONDS)
            with self._changed:
                self._dropped += lost
                for _ in range(line_count):
                    self._lines.popleft()
                self._changed.notify_all()


def _dropped_line(count):
    event = events.LOG_LINES_DROPPED
    return json.dumps(
        {'event': event.number, 'name': event.name, 'count': count}
    )


def set_up(level):
    """Send all log records to standard output as JSON lines.

    Args:
        level: name of the lowest level that is written.

    Returns:
        The installed ``BoundedHandler``.
    """
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(_JsonFormatter())
    handler.addFilter(_ThriftExceptionFilter())
    # absl's own handler writes plain text before its flags are parsed and
    # blocks its callers while the stream is blocked.
    logger = logging.get_absl_logger()
    logger.handlers = [handler]
    logger.propagate = False
    root = std_logging.getLogger()
    root.handlers = [handler]
    logging.set_verbosity(level)
    threads.log_ended_threads()
    for name in ('urllib3', 'cherrypy', 'opentelemetry'):
        std_logging.getLogger(name).setLevel(std_logging.ERROR)
    return handler
