"""Set-up of the daemon's log: one line of JSON for each event."""

import datetime
import json
import logging as std_logging
import sys

from absl import logging


class _JsonFormatter(std_logging.Formatter):
    """Formats a record as one line of JSON with a UTC time stamp."""

    def format(self, record):
        message = record.getMessage()
        try:
            fields = json.loads(message)
        except ValueError:
            fields = {'event': 0, 'name': 'text', 'message': message[:500]}
        moment = datetime.datetime.fromtimestamp(
            record.created, datetime.timezone.utc
        )
        line = {'time': moment.isoformat(), 'level': record.levelname}
        line.update(fields)
        return json.dumps(line)


class _HandlerNoise(std_logging.Filter):
    """Drops what thrift logs about typed errors of a handler."""

    def filter(self, record):
        return 'exception in handler' not in record.getMessage()


def set_up(level):
    """Send absl's log to standard error as JSON lines.

    Args:
        level: name of the lowest level that is written.
    """
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.use_absl_log_file = lambda *args, **kwargs: None
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(_JsonFormatter())
    handler.addFilter(_HandlerNoise())
    logging.set_verbosity(level)
    for name in ('urllib3', 'cherrypy', 'opentelemetry'):
        std_logging.getLogger(name).setLevel(std_logging.ERROR)
