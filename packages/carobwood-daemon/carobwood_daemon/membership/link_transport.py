"""Authenticated, framed transport of the links between VMs.

In the handshake, both sides prove that they hold the fleet's secret by an
HMAC over two fresh nonces. Every frame carries a message authentication
code over its sequence number and payload. In the handshake, both sides tell
which versions of the protocol they speak, and use the highest that they
share; see ``link_versions``.
"""

import contextlib
import dataclasses
import hashlib
import hmac
import io
import socket
import struct
import threading

from thrift.transport import TTransport

from carobwood import clocks
from carobwood import errors

from ..limits import buffer_budget

from . import link_versions

PROTOCOL_VERSION = 5
SPOKEN_VERSIONS = link_versions.VersionRange(5, PROTOCOL_VERSION)
MAX_FRAME_BYTES = 64 * 1024 * 1024
# Bytes that are received at once.
PART_BYTES = 64 * 1024

_MAGIC = b'CBWL'
_PROOF_BYTES = 32
_CODE_BYTES = 16
_HELLO = struct.Struct(f'>4sH{link_versions.NONCE_BYTES}s')
_FRAME_HEADER = struct.Struct(f'>I{_CODE_BYTES}s')
_SEQUENCE = struct.Struct('>Q')


class LinkMeter:
    """Traffic counters of all links of this process, for operators.

    Attributes:
        sent: number of bytes sent.
        received: number of bytes received.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.sent = 0
        self.received = 0

    def note_sent(self, size):
        """Add to the number of bytes sent."""
        with self._lock:
            self.sent += size

    def note_received(self, size):
        """Add to the number of bytes received."""
        with self._lock:
            self.received += size


METER = LinkMeter()
# What the frames of all links of this process may hold together. It is not
# the budget of requests, which would let these hold up the fleet's own calls.
FRAME_BUDGET = buffer_budget.BufferBudget(MAX_FRAME_BYTES)


class LinkTransport(TTransport.TTransportBase, TTransport.CReadableTransport):
    """A thrift transport over an authenticated socket.

    Socket errors are raised as ``OSError`` or ``EOFError``; a frame that
    fails authentication or exceeds ``MAX_FRAME_BYTES`` raises
    ``LinkRefused``, and so does one beside which the frames of other links
    have left no memory.

    Attributes:
        version: version of the protocol that both sides use.
    """

    def __init__(self, connection, send_key, receive_key, version):
        self.version = version
        self._socket = connection
        self._send_key = send_key
        self._receive_key = receive_key
        self._sent_frames = 0
        self._received_frames = 0
        self._incoming = io.BytesIO()
        self._outgoing = io.BytesIO()
        self._reservation = FRAME_BUDGET.reserve('frame')

    def isOpen(self):  # noqa: N802 (named by thrift)
        """Tell whether the socket is open."""
        return self._socket is not None

    def open(self):
        """Do nothing: the transport is open since the handshake."""

    def close(self):
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        self.drop_received()

    def drop_received(self):
        """Drop the frames that were received; their message is decoded."""
        self._incoming = io.BytesIO()
        self._reservation.release()

    def set_timeout(self, seconds):
        """Set the timeout of each later socket operation."""
        self._socket.settimeout(seconds)

    def read(self, size):
        """Return up to ``size`` bytes; at least one unless it is 0."""
        data = self._incoming.read(size)
        if not data and size:
            self._incoming = io.BytesIO(self._receive_frame())
            data = self._incoming.read(size)
        return data

    def write(self, data):
        """Add bytes to the frame under construction."""
        self._outgoing.write(data)

    def flush(self):
        """Send the frame under construction."""
        payload = self._outgoing.getvalue()
        self._outgoing = io.BytesIO()
        code = _authentication_code(self._send_key, self._sent_frames, payload)
        self._sent_frames += 1
        header = _FRAME_HEADER.pack(len(payload), code)
        self._socket.sendall(header + payload)
        METER.note_sent(len(header) + len(payload))

    @property
    def cstringio_buf(self):
        """Buffer that the accelerated protocol reads."""
        return self._incoming

    def cstringio_refill(self, partialread, reqlen):
        """Return a buffer with at least ``reqlen`` bytes."""
        data = partialread
        while len(data) < reqlen:
            data += self._receive_frame()
        self._incoming = io.BytesIO(data)
        return self._incoming

    def _receive_frame(self):
        header = _receive_exactly(self._socket, _FRAME_HEADER.size)
        size, code = _FRAME_HEADER.unpack(header)
        if size > MAX_FRAME_BYTES:
            raise errors.LinkRefused(
                f'a frame of {size} bytes exceeds the limit'
            )
        payload = _receive_exactly(
            self._socket, size, reservation=self._reservation
        )
        expected = _authentication_code(
            self._receive_key, self._received_frames, payload
        )
        if not hmac.compare_digest(code, expected):
            raise errors.LinkRefused('a frame failed authentication')
        self._received_frames += 1
        METER.note_received(len(header) + len(payload))
        return payload


@dataclasses.dataclass(frozen=True)
class _Agreement:
    """What both sides know after their hellos.

    Attributes:
        version: version of the protocol that both use.
        nonces: the nonces of the caller and the callee.
        secret: the fleet's shared secret.
    """

    version: int
    nonces: bytes
    secret: bytes

    def digest(self, label):
        """Return a proof or a key that only holders of the secret know.

        The version is part of the message unless builds without ranges
        speak it; they leave it out.
        """
        message = label + self.nonces
        if self.version not in link_versions.UNRANGED:
            message += bytes([self.version])
        return hmac.digest(self.secret, message, 'sha256')


def connect(address, secret, timeout, source='', versions=SPOKEN_VERSIONS):
    """Connect to another VM and do the handshake as the caller.

    Args:
        address: the other VM's link ``Address``.
        secret: the fleet's shared secret, as bytes.
        timeout: seconds that each socket operation may wait.
        source: local IP address that the connection is bound to, or empty.
        versions: the ``VersionRange`` of this VM.

    Returns:
        The ``LinkTransport``.

    Raises:
        LinkFailed: the other VM cannot be reached, or the connection
            broke.
        LinkRefused: the other side failed the handshake, or the VMs share
            no version of the protocol.
    """
    try:
        connection = socket.create_connection(
            (address.host, address.port),
            timeout,
            (source, 0) if source else None,
        )
    except OSError as error:
        raise errors.LinkFailed(f'{address}: {error}') from error
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _handshake_as_caller(connection, secret, versions)
    except (OSError, EOFError) as error:
        connection.close()
        raise errors.LinkFailed(f'{address}: {error}') from error
    except errors.LinkRefused:
        connection.close()
        raise


def accept(connection, secret, timeout, versions=SPOKEN_VERSIONS):
    """Do the handshake as the callee on an accepted socket.

    Args:
        connection: the socket.
        secret: the fleet's shared secret, as bytes.
        timeout: seconds within which what the caller sends must come.
        versions: the ``VersionRange`` of this VM.

    Returns:
        The ``LinkTransport``.

    Raises:
        LinkRefused: the caller failed the handshake, or the VMs share no
            version of the protocol.
        OSError, EOFError: the connection broke.
    """
    ends_at = clocks.now() + timeout
    connection.settimeout(timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    named_version, caller_nonce = _receive_hello(connection, ends_at)
    nonce = link_versions.make_nonce(versions, secret)
    hello = _make_hello(nonce, versions)
    caller_versions = link_versions.read_range(
        caller_nonce, named_version, secret
    )
    try:
        version = link_versions.choose(versions, caller_versions)
    except errors.LinkRefused:
        # The caller learns from the hello why it is refused.
        with contextlib.suppress(OSError):
            connection.sendall(hello)
        raise
    agreement = _Agreement(version, caller_nonce + nonce, secret)
    connection.sendall(hello + agreement.digest(b'callee'))
    _check_proof(connection, agreement.digest(b'caller'), ends_at)
    connection.settimeout(timeout)
    return LinkTransport(
        connection,
        agreement.digest(b'to-caller'),
        agreement.digest(b'to-callee'),
        version,
    )


def _handshake_as_caller(connection, secret, versions):
    nonce = link_versions.make_nonce(versions, secret)
    connection.sendall(_make_hello(nonce, versions))
    named_version, callee_nonce = _receive_hello(connection)
    callee_versions = link_versions.read_range(
        callee_nonce, named_version, secret
    )
    version = link_versions.choose(versions, callee_versions)
    agreement = _Agreement(version, nonce + callee_nonce, secret)
    _check_proof(connection, agreement.digest(b'callee'))
    connection.sendall(agreement.digest(b'caller'))
    return LinkTransport(
        connection,
        agreement.digest(b'to-callee'),
        agreement.digest(b'to-caller'),
        version,
    )


def _make_hello(nonce, versions):
    return _HELLO.pack(_MAGIC, link_versions.hello_version(versions), nonce)


def _receive_hello(connection, ends_at=None):
    """Return the version that a hello names, and its nonce."""
    hello = _receive_exactly(connection, _HELLO.size, ends_at)
    magic, version, nonce = _HELLO.unpack(hello)
    if magic != _MAGIC:
        raise errors.LinkRefused(
            'the other side does not speak the link protocol'
        )
    return version, nonce


def _check_proof(connection, expected, ends_at=None):
    proof = _receive_exactly(connection, _PROOF_BYTES, ends_at)
    if not hmac.compare_digest(proof, expected):
        raise errors.LinkRefused('the other side holds a different secret')


def _authentication_code(key, sequence, payload):
    digest = hashlib.blake2b(key=key, digest_size=_CODE_BYTES)
    digest.update(_SEQUENCE.pack(sequence))
    digest.update(payload)
    return digest.digest()


def _receive_exactly(connection, size, ends_at=None, reservation=None):
    """Return a number of bytes.

    Args:
        connection: the socket.
        size: number of bytes.
        ends_at: monotonic time until which all must come, or None.
        reservation: the ``BufferReservation`` that they are taken from, or
            None.
    """
    content = io.BytesIO()
    while missing := size - content.tell():
        if ends_at is not None:
            _limit_timeout(connection, ends_at)
        part = connection.recv(min(missing, PART_BYTES))
        if not part:
            raise EOFError('the connection was closed')
        if reservation is not None and not reservation.try_extend(len(part)):
            raise errors.LinkRefused(
                'no memory is left for a frame beside those of other links'
            )
        content.write(part)
    return content.getvalue()


def _limit_timeout(connection, ends_at):
    """Have the next socket operation end at a time.

    Raises:
        TimeoutError: the time has passed.
    """
    seconds_left = ends_at - clocks.now()
    if seconds_left <= 0:
        raise TimeoutError('the handshake did not end within the time')
    connection.settimeout(seconds_left)
