"""What a VM of the relay loads before it serves."""

import subprocess
import sys

import pytest

# Libraries that only other programs or later work need.
UNNEEDED = ('jsonschema', 'cherrypy', 'opentelemetry.sdk')


# A VM with little processor time took a sixth of its start for the schema of
# documents, of which it has none.
@pytest.mark.parametrize('name', UNNEEDED)
def test_a_vm_of_the_relay_starts_without_a_library(name):
    script = (
        'import sys; from carobwood_daemon import relay_vm; '
        f'sys.exit({name!r} in sys.modules)'
    )
    done = subprocess.run([sys.executable, '-c', script], check=False)
    assert done.returncode == 0
