"""Compares docs/events.md with the log events in the code."""

import pathlib
import re

from carobwood import events

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'events.md'


def test_the_page_lists_exactly_the_events_of_the_code():
    rows = re.findall(r'^\| (\d+) \| `([a-z-]+)` \|', PAGE.read_text(), re.M)
    in_page = [(int(number), name) for number, name in rows]
    in_code = [(event.number, event.name) for event in events.all_events()]
    assert in_page == in_code
    assert len({number for number, _ in in_code}) == len(in_code)
