"""The page of errors agrees with the code."""

import pathlib
import re

from carobwood import errors

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'errors.md'


def test_page_and_code_agree_both_ways():
    pattern = r'^\| `(\w+)` \| `(\w+)` \| (\d+) \| ([a-z-]+) \|'
    in_page = re.findall(pattern, PAGE.read_text(), re.M)
    in_code = [
        (kind.code, kind.__name__, str(kind.status), kind.outcome.value)
        for kind in errors.all_error_types()
    ]
    assert in_page == in_code


def test_refusals_are_not_run():
    for kind in errors.all_error_types():
        if issubclass(kind, errors.RequestRefused):
            assert kind.outcome is errors.Outcome.NOT_RUN
