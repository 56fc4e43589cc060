"""Tests of the operators' document."""

import pathlib

import pytest
from returns import result

from carobwood import document

EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'production.yaml'


def _faults(text):
    match document.parse_document(text):
        case result.Failure(error):
            return [str(fault) for fault in error.faults]
        case result.Success(_):
            return []


def test_the_example_is_valid():
    parsed = document.parse_document(EXAMPLE.read_text()).unwrap()
    assert parsed.customers_by_id['abyssinia-bole'].burst_tokens == 400000
    assert parsed.find_route('/orders/7').repeatable is False
    assert parsed.find_route('/ordersx') is None


def test_every_fault_is_listed_with_its_path():
    text = EXAMPLE.read_text()
    text = text.replace('pool: orders', 'pool: nowhere')
    text = text.replace('models: [ruling-8b]', 'models: [other]')
    faults = _faults(text)
    assert any(fault.startswith('routes/0/models') for fault in faults)
    assert sum('nowhere' in fault for fault in faults) == 3


@pytest.mark.parametrize(
    'text',
    [
        '',
        '[]',
        'a: &x 1\nb: *x',
        'environment: production\nenvironment: trial',
        '!!python/object/apply:os.system [ls]',
        '\x00',
        '{' * 2000,
    ],
)
def test_an_invalid_text_is_refused(text):
    assert _faults(text)


def test_replace_environment_name_changes_only_the_environment():
    text = EXAMPLE.read_text()
    retargeted = document.replace_environment_name(text, 'trial')
    assert document.parse_document(retargeted, 'trial').unwrap()
    assert document.replace_environment_name(retargeted, 'production') == text
