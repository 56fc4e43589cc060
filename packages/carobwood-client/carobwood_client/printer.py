"""Printing of results as text or as JSON."""

import json

from . import table


class Printer:
    """Prints results as text or as JSON, and errors as text."""

    def __init__(self, as_json, output, error_output):
        """Create a printer.

        Args:
            as_json: whether results are printed as JSON.
            output: text stream for results.
            error_output: text stream for errors and progress.
        """
        self._as_json = as_json
        self._output = output
        self._error_output = error_output
        self._has_progress = False

    def print_rows(self, rows, columns):
        """Print a list of dictionaries.

        Args:
            rows: the dictionaries.
            columns: keys that a table shows, in order; JSON has all keys.
        """
        if self._as_json:
            self._print_json(rows)
        else:
            print(table.format_table(rows, columns), file=self._output)

    def print_result(self, value, text):
        """Print one result.

        Args:
            value: JSON-compatible value to print as JSON.
            text: text to print otherwise.
        """
        if self._as_json:
            self._print_json(value)
        else:
            print(text, file=self._output)

    def print_error(self, error):
        """Print an error as text and, if results are JSON, also as JSON."""
        if self._as_json:
            self._print_json(
                {'error': {'code': error.code, 'message': str(error)}}
            )
        print(f'carobwood: {error.code}: {error}', file=self._error_output)

    def print_progress(self, done, total):
        """Print on how many VMs a change is in force.

        Each call overwrites the line of the one before. Nothing is
        printed if the output for errors is not a terminal.

        Args:
            done: number of VMs on which the change is in force.
            total: number of VMs that are alive.
        """
        if not self._error_output.isatty():
            return
        end = '\n' if done == total else ''
        print(
            f'\rin force on {done} of {total} VMs',
            end=end,
            file=self._error_output,
            flush=True,
        )

    def _print_json(self, value):
        print(json.dumps(value, indent=2), file=self._output)
