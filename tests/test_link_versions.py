"""Which version of the link protocol two builds use, over the loopback."""

import concurrent.futures
import contextlib
import json
import logging
import random
import socket
import subprocess
import sys

from carobwood import addresses
from carobwood import errors
from carobwood_daemon.membership import link_server
from carobwood_daemon.membership import link_transport
from carobwood_daemon.membership import link_versions
from hypothesis import given
from hypothesis import strategies as st
import pytest

import builds
import fleet as fleets
import format_samples
import handshake_peer

SECRET = b'secret of the fleet'
TIMEOUT_SECONDS = 10.0
HELLO_BYTES = 22
NONCE_START = 6
# Builds without ranges.
EARLIER_COMMITS = ('dc2e867', 'b20b318')
RECORDED = sorted(format_samples.SAMPLES.iterdir())
GARBAGE_COUNT = 200

Range = link_versions.VersionRange
SHARED = [
    (Range(5, 7), Range(6, 9), 7),
    (Range(5, 6), Range(6, 8), 6),
    (Range(5, 9), Range(6, 7), 7),
    (Range(5, 5), Range(5, 6), 5),
    (Range(5, 7), Range(5, 7), 7),
    (Range(0, 255), Range(255, 255), 255),
]
NOT_SHARED = [
    (Range(5, 5), Range(6, 8)),
    (Range(5, 6), Range(7, 7)),
    (Range(5, 9), Range(9, 5)),
]
RANGES = st.builds(Range, st.integers(0, 255), st.integers(0, 255))


class Relay:
    """Passes one link on and changes the first bytes of each side.

    Attributes:
        port: TCP port that it listens on.
    """

    def __init__(self, target_port, change_caller_hello, change_callee_hello):
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self._target_port = target_port
        self._changes = (change_caller_hello, change_callee_hello)

    def run(self):
        """Serve one link until either side ends it."""
        with self._listener, concurrent.futures.ThreadPoolExecutor(2) as pool:
            self._listener.settimeout(TIMEOUT_SECONDS)
            caller, _ = self._listener.accept()
            callee = socket.create_connection(
                ('127.0.0.1', self._target_port), TIMEOUT_SECONDS
            )
            for pair in zip(
                (caller, callee), (callee, caller), self._changes, strict=True
            ):
                pool.submit(_pass_on, *pair)


def _pass_on(source, target, change):
    try:
        hello = source.recv(HELLO_BYTES, socket.MSG_WAITALL)
        target.sendall(change(hello) if len(hello) == HELLO_BYTES else hello)
        while data := source.recv(4096):
            target.sendall(data)
    except OSError:
        pass
    for connection in (source, target):
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def _outcome(action, *arguments):
    """Return the version that one side uses, or the error that it raises."""
    try:
        transport = action(*arguments)
    except (errors.LinkFailed, OSError, EOFError) as error:
        return error
    transport.write(b'ping')
    transport.flush()
    try:
        assert transport.read(4) == b'ping'
    except (OSError, EOFError) as error:
        return error
    finally:
        transport.close()
    return transport.version


def _accept(listener, versions):
    listener.settimeout(TIMEOUT_SECONDS)
    connection, _ = listener.accept()
    with connection:
        return _outcome(
            link_transport.accept,
            connection,
            SECRET,
            TIMEOUT_SECONDS,
            versions,
        )


def _connect(port, versions):
    return _outcome(
        link_transport.connect,
        addresses.Address('127.0.0.1', port),
        SECRET,
        TIMEOUT_SECONDS,
        '',
        versions,
    )


def _link(caller_versions, callee_versions, changes=None):
    """Link two builds and return the outcomes of the caller and the callee.

    Args:
        caller_versions: the range of the caller.
        callee_versions: the range of the callee.
        changes: functions of the hellos of the caller and of the callee,
            which a third party applies, or None.
    """
    with (
        socket.create_server(('127.0.0.1', 0)) as listener,
        concurrent.futures.ThreadPoolExecutor(2) as pool,
    ):
        port = listener.getsockname()[1]
        accepting = pool.submit(_accept, listener, callee_versions)
        if changes:
            relay = Relay(port, *changes)
            pool.submit(relay.run)
            port = relay.port
        caller_outcome = _connect(port, caller_versions)
        return caller_outcome, accepting.result()


@pytest.mark.parametrize(['one', 'other', 'version'], SHARED, ids=str)
def test_two_builds_use_the_highest_version_that_they_share(
    one, other, version
):
    assert _link(one, other) == (version, version)
    assert _link(other, one) == (version, version)


@pytest.mark.parametrize(['one', 'other'], NOT_SHARED, ids=str)
def test_builds_that_share_no_version_refuse_each_other(one, other):
    for outcomes in (_link(one, other), _link(other, one)):
        for refusal in outcomes:
            assert isinstance(refusal, errors.LinkRefused)
            assert str(one) in refusal.detail
            assert str(other) in refusal.detail


@pytest.fixture
def server():
    running = link_server.LinkServer(
        addresses.Address('127.0.0.1', 0), SECRET, None
    )
    running.start()
    yield running
    running.stop()


def test_a_refusal_is_logged_with_both_ranges(server, caplog):
    with caplog.at_level(logging.WARNING):
        refusal = _connect(server.port, Range(6, 8))
        server.stop()
    assert isinstance(refusal, errors.LinkRefused)
    # The callee writes the line after its answer.
    fleets.wait_until(lambda: caplog.records, 'the line of the refusal')
    messages = [record.getMessage() for record in caplog.records]
    assert len(messages) == 1, messages
    assert '"link-refused"' in messages[0]
    assert 'versions 6 to 8, this VM speaks 5 to 5' in messages[0]


@pytest.mark.parametrize('folder', RECORDED, ids=lambda path: path.name)
class TestRecordedLinks:
    """Links that earlier builds have recorded are repeated byte by byte."""

    def test_as_the_callee(self, folder, monkeypatch):
        caller_bytes, callee_bytes = _recorded_link(folder)
        _fix_nonce(monkeypatch, callee_bytes)
        with socket.create_server(('127.0.0.1', 0)) as listener:
            peer = socket.create_connection(listener.getsockname())
            with peer:
                peer.sendall(caller_bytes)
                handshake_peer.serve(listener.accept()[0])
                assert _receive_all(peer) == callee_bytes

    def test_as_the_caller(self, folder, monkeypatch):
        caller_bytes, callee_bytes = _recorded_link(folder)
        _fix_nonce(monkeypatch, caller_bytes)
        with (
            socket.create_server(('127.0.0.1', 0)) as listener,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            port = listener.getsockname()[1]
            calling = pool.submit(handshake_peer.call, port)
            listener.settimeout(TIMEOUT_SECONDS)
            peer, _ = listener.accept()
            with peer:
                peer.sendall(callee_bytes)
                assert _receive_all(peer) == caller_bytes
            calling.result()


def _recorded_link(folder):
    sample = json.loads((folder / format_samples.HANDSHAKE_FILE).read_text())
    return bytes.fromhex(sample['caller']), bytes.fromhex(sample['callee'])


def _fix_nonce(monkeypatch, link_bytes):
    nonce = link_bytes[NONCE_START:HELLO_BYTES]
    monkeypatch.setattr(link_versions, 'make_nonce', lambda *_: nonce)


def _receive_all(connection):
    connection.settimeout(TIMEOUT_SECONDS)
    parts = []
    while data := connection.recv(4096):
        parts.append(data)
    return b''.join(parts)


@pytest.mark.parametrize('commit', EARLIER_COMMITS)
class TestEarlierBuilds:
    """Earlier builds, which compare one version, link with this one."""

    def test_as_the_caller(self, commit, tmp_path):
        command = _peer_command(commit, tmp_path)
        with (
            socket.create_server(('127.0.0.1', 0)) as listener,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            port = listener.getsockname()[1]
            calling = pool.submit(command, ['connect', str(port)])
            listener.settimeout(TIMEOUT_SECONDS)
            handshake_peer.serve(listener.accept()[0])
            with _killed_at_the_end(calling.result()) as process:
                assert process.wait(TIMEOUT_SECONDS) == 0

    def test_as_the_callee(self, commit, tmp_path):
        started = _peer_command(commit, tmp_path)(['accept'])
        with _killed_at_the_end(started) as process:
            handshake_peer.call(int(process.stdout.readline()))
            assert process.wait(TIMEOUT_SECONDS) == 0


@contextlib.contextmanager
def _killed_at_the_end(process):
    """Wait for no process whose test has failed."""
    with process:
        try:
            yield process
        finally:
            process.kill()


def _peer_command(commit, folder):
    """Return a function that starts ``handshake_peer.py`` on a commit."""
    try:
        build = builds.prepare(commit, folder)
    except builds.CommitMissing:
        pytest.skip(f'the clone lacks the commit {commit}')
    build.check_imports(sys.executable)

    def start(arguments):
        return subprocess.Popen(
            [sys.executable, handshake_peer.__file__, *arguments],
            env=build.environment(),
            stdout=subprocess.PIPE,
            text=True,
        )

    return start


def test_a_build_with_newer_versions_links_with_one_without_ranges(
    monkeypatch,
):
    unranged = Range(5, 5)
    make_nonce = link_versions.make_nonce
    draw = random.Random(1)

    def make_either(versions, secret):
        if versions is unranged:
            return draw.randbytes(link_versions.NONCE_BYTES)
        return make_nonce(versions, secret)

    monkeypatch.setattr(link_versions, 'make_nonce', make_either)
    assert _link(Range(5, 7), unranged) == (5, 5)
    assert _link(unranged, Range(5, 7)) == (5, 5)
    for refusal in _link(unranged, Range(6, 7)):
        assert isinstance(refusal, errors.LinkRefused)
        assert '5 to 5' in refusal.detail
        assert '6 to 7' in refusal.detail


@given(versions=RANGES)
def test_a_nonce_tells_its_range_to_holders_of_the_secret(versions):
    nonce = link_versions.make_nonce(versions, SECRET)
    assert len(nonce) == link_versions.NONCE_BYTES
    assert link_versions.read_range(nonce, 4, SECRET) == versions
    assert link_versions.read_range(nonce, 4, b'another') == Range(4, 4)


@given(one=RANGES, other=RANGES)
def test_both_sides_choose_the_same_version(one, other):
    shared = {
        version
        for version in range(256)
        if version in one and version in other
    }
    if shared:
        assert link_versions.choose(one, other) == max(shared)
        assert link_versions.choose(other, one) == max(shared)
        return
    for pair in ((one, other), (other, one)):
        with pytest.raises(errors.LinkRefused):
            link_versions.choose(*pair)


def test_garbage_ends_only_its_connection(server):
    draw = random.Random(38)
    own = link_transport.SPOKEN_VERSIONS
    for _ in range(GARBAGE_COUNT):
        data = draw.choice([b'', b'CBWL', b'CBWL\0\5', b'CBWL\0\6'])
        data += draw.randbytes(draw.randrange(200))
        address = ('127.0.0.1', server.port)
        with socket.create_connection(address, TIMEOUT_SECONDS) as connection:
            try:
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                _receive_all(connection)
            except TimeoutError:
                raise
            except OSError:
                # The server has reset the connection before.
                pass
    caller = link_transport.connect(
        addresses.Address('127.0.0.1', server.port), SECRET, TIMEOUT_SECONDS
    )
    assert caller.version == own.highest
    caller.close()


def _same(hello):
    return hello


def _with_nonce(nonce):
    return lambda hello: hello[:NONCE_START] + nonce


@pytest.mark.parametrize('changed', ['caller', 'callee', 'both'])
@pytest.mark.parametrize('nonce_range', [None, Range(5, 5), Range(5, 6)])
def test_a_third_party_cannot_lower_the_version(changed, nonce_range):
    # Without a range, or taken from the link of a build that speaks less.
    nonce = bytes(link_versions.NONCE_BYTES)
    if nonce_range:
        nonce = link_versions.make_nonce(nonce_range, SECRET)
    change = _with_nonce(nonce)
    outcomes = _link(
        Range(5, 7),
        Range(5, 7),
        (
            _same if changed == 'callee' else change,
            _same if changed == 'caller' else change,
        ),
    )
    assert isinstance(outcomes[0], errors.LinkRefused)
    assert isinstance(outcomes[1], Exception)


@pytest.mark.parametrize('position', range(HELLO_BYTES))
def test_a_changed_byte_of_a_hello_does_not_lower_the_version(position):
    def flip(hello):
        changed = bytearray(hello)
        changed[position] ^= 1
        return bytes(changed)

    for changes in ((flip, _same), (_same, flip)):
        for outcome in _link(Range(5, 7), Range(5, 7), changes):
            assert outcome == 7 or isinstance(outcome, Exception)


def test_an_unranged_hello_that_names_another_version_is_refused():
    def rename(hello):
        return b'CBWL\0\6' + bytes(link_versions.NONCE_BYTES)

    refusals = _link(Range(5, 5), Range(5, 5), (rename, _same))
    assert isinstance(refusals[1], errors.LinkRefused)
    assert 'versions 6 to 6, this VM speaks 5 to 5' in refusals[1].detail
    assert isinstance(refusals[0], Exception)
