"""Compares docs/errors.md with the error types in the code."""

import pathlib
import re

from carobwood import errors

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'errors.md'


def test_the_page_lists_exactly_the_error_types_of_the_code():
    pattern = r'^\| `(\w+)` \| `(\w+)` \| (\d+) \| ([a-z-]+) \|'
    in_page = re.findall(pattern, PAGE.read_text(), re.M)
    in_code = [
        (
            error_type.code,
            error_type.__name__,
            str(error_type.status),
            error_type.outcome.value,
        )
        for error_type in errors.all_error_types()
    ]
    assert in_page == in_code


def test_refused_requests_have_the_outcome_not_run():
    for error_type in errors.all_error_types():
        if issubclass(error_type, errors.RequestRefused):
            assert error_type.outcome is errors.Outcome.NOT_RUN
