"""Prints results as tables or as JSON."""

import json

from . import table


class Printer:
    """Prints results as a table or as JSON."""

    def __init__(self, as_json, output, errors_output):
        self._as_json = as_json
        self._output = output
        self._errors_output = errors_output
        self._has_progress = False

    def rows(self, rows, columns):
        """Print a list of dictionaries."""
        if self._as_json:
            self._dump(rows)
        else:
            print(table.format_table(rows, columns), file=self._output)

    def result(self, value, text):
        """Print one result, as JSON or as a sentence."""
        if self._as_json:
            self._dump(value)
        else:
            print(text, file=self._output)

    def fail(self, error):
        """Print a failure."""
        if self._as_json:
            self._dump({'error': {'code': error.code, 'message': str(error)}})
        print(f'carobwood: {error.code}: {error}', file=self._errors_output)

    def progress(self, done, total):
        """Print how many VMs have a change in force."""
        if not self._errors_output.isatty():
            return
        end = '\n' if done == total else ''
        print(
            f'\rin force on {done} of {total} VMs',
            end=end,
            file=self._errors_output,
            flush=True,
        )

    def _dump(self, value):
        print(json.dumps(value, indent=2), file=self._output)
