"""Property tests of the admission of callers' requests with odd heads.

Each is admitted or refused with a typed error that says not run, in bounded
memory. Heads reach the admission only as the listener lets them through: as
Latin-1 text without control characters.
"""

import tracemalloc
import types

import admission_builders
from carobwood import errors
from carobwood_daemon.relay import admission
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import relay_builders as builders

EXAMPLES = 300
MAX_VALUE_CHARACTERS = 16_000
# Memory that the admission of one request may take beside its head.
MAX_PEAK_BYTES = 16 * 1024 * 1024
PATHS = ('/orders/x', '/checks/x', '/captions/x?y=1', '/', '', '//', '/..')
HOSTS = (
    builders.HOST,
    builders.HOST.upper(),
    '',
    'other',
    builders.HOST + '.',
)
SOUND_HEADERS = {
    'authorization': f'Bearer {builders.KEY}',
    'x-carobwood-request-id': 'r-1',
    'x-carobwood-model': builders.MODEL,
    'x-carobwood-token-counts': '100,10',
    'x-carobwood-prompt-prefix': 'aa:60,bb:40',
    'x-carobwood-deadline-ms': '5000',
    'last-event-id': '3',
    'resumes': 'r-0',
}
ODD_VALUES = st.sampled_from(
    [
        '',
        '-1',
        '0',
        '1e9',
        'nan',
        'inf',
        '\xb2',
        '\xa0',
        '9' * 400,
        ':',
        ',',
        'aa:',
        ':60',
        'aa:-5',
        'aa:1e5',
        'aa:60,' * 2000,
        'Bearer',
        'Bearer ' + 'x' * MAX_VALUE_CHARACTERS,
        'Basic x',
        'aa:' + '9' * 5000,
    ]
)
TEXTS = st.text(
    st.characters(
        min_codepoint=0x20, max_codepoint=0xFF, exclude_characters='\x7f'
    ),
    max_size=60,
)
VALUES = ODD_VALUES | TEXTS
CHANGED_HEADERS = st.dictionaries(
    st.sampled_from(sorted(SOUND_HEADERS)), VALUES | st.none(), max_size=4
)


@pytest.fixture(scope='module')
def setup():
    """Return the admission of a VM with a configuration."""
    configured = admission_builders.AdmissionSetup()
    configured.configure()
    return configured


def _admit(
    setup, headers, path='/orders/x', host=builders.HOST, method='POST'
):
    caller = types.SimpleNamespace(
        headers=headers,
        host=host,
        path=path.partition('?')[0],
        method=method,
        target=path,
        read_body=lambda seconds: b'prompt',
    )
    return setup.admission.admit(caller, admission.clocks.now())


def _admit_or_refuse(setup, headers, **changes):
    """Admit a request; return it, or None if it is refused."""
    try:
        return _admit(setup, headers, **changes)
    except errors.RequestRefused as error:
        assert error.outcome is errors.Outcome.NOT_RUN
        return None


def _change(changes):
    headers = {**SOUND_HEADERS, **changes}
    return {
        name: value for name, value in headers.items() if value is not None
    }


def test_a_sound_request_is_admitted(setup):
    assert _admit(setup, SOUND_HEADERS).metadata.request_id == 'r-1'


@settings(max_examples=EXAMPLES)
@given(CHANGED_HEADERS, st.sampled_from(PATHS))
def test_odd_headers_are_admitted_or_refused(setup, changes, path):
    _admit_or_refuse(setup, _change(changes), path=path)


@settings(max_examples=EXAMPLES)
@given(
    st.sampled_from(HOSTS) | TEXTS,
    st.sampled_from(PATHS) | TEXTS,
    st.sampled_from(('GET', 'POST', '')) | TEXTS,
)
def test_odd_targets_are_admitted_or_refused(setup, host, path, method):
    _admit_or_refuse(setup, SOUND_HEADERS, host=host, path=path, method=method)


@pytest.mark.parametrize('name', sorted(SOUND_HEADERS))
@pytest.mark.parametrize('unit', ['9', 'aa:1,', ',', ':', '\xff'])
def test_a_long_header_takes_bounded_memory(setup, name, unit):
    value = (unit * MAX_VALUE_CHARACTERS)[:MAX_VALUE_CHARACTERS]
    tracemalloc.start()
    try:
        _admit_or_refuse(setup, _change({name: value}))
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak <= MAX_PEAK_BYTES
