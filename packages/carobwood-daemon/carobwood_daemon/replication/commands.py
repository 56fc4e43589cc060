"""Commands of the replicated log and their results."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """A replica as the log's configuration names it.

    Attributes:
        replica_id: random id kept in the data folder.
        vm_id: the VM that runs the replica.
        address: link address of that VM.
    """

    replica_id: str
    vm_id: str
    address: str


class Command(msgspec.Struct, frozen=True, tag=True):
    """Base of all commands."""


class NoOperation(Command, frozen=True, tag=True):
    """Committed by a new leader to learn what is committed."""


class ChangeVoters(Command, frozen=True, tag=True):
    """A single-server change of the log's configuration."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...]


class AdvanceTime(Command, frozen=True, tag=True):
    """Time that passed under a leader, by its monotonic clock."""

    elapsed_ms: int


class PutDocument(Command, frozen=True, tag=True):
    """Put a new version of an environment's document in force.

    Attributes:
        operation_id: a resend under the same id gets the first result.
        environment: name of the environment.
        text_zlib: the YAML text, compressed.
        digest: digest of the text.
        expected_version: version that the change builds on.
        operator: name of the operator, for the history.
    """

    operation_id: str
    environment: str
    text_zlib: bytes
    digest: str
    expected_version: int
    operator: str


class PromoteDocument(Command, frozen=True, tag=True):
    """Move the document that was tried to another environment."""

    operation_id: str
    source: str
    target: str
    source_digest: str
    text_zlib: bytes
    digest: str
    expected_version: int
    operator: str


class IssueKey(Command, frozen=True, tag=True):
    """Record a customer's new key by its digest."""

    operation_id: str
    environment: str
    customer: str
    digest: str


class WithdrawKey(Command, frozen=True, tag=True):
    """Record that a key must never work again."""

    digest: str


class DrainEndpoint(Command, frozen=True, tag=True):
    """Keep new work from an endpoint, or allow it again."""

    operation_id: str
    endpoint_id: str
    drained: bool


class PlaceOrder(Command, frozen=True, tag=True):
    """Order an engine to change; the log index is the fencing number.

    Attributes:
        operation_id: a resend under the same id gets the first result.
        endpoint_id: the engine.
        kind: ``load-weights``, ``load-adapter`` or ``set-role``.
        argument: version, adapter or role.
        operator: who placed it.
    """

    operation_id: str
    endpoint_id: str
    kind: str
    argument: str
    operator: str


class FinishOrder(Command, frozen=True, tag=True):
    """Record what became of an order."""

    fencing_number: int
    state: str
    detail: str


class RegisterVm(Command, frozen=True, tag=True):
    """Record a VM of the fleet."""

    vm_id: str
    data_centre: str


class ForgetVm(Command, frozen=True, tag=True):
    """Drop a VM that will not return."""

    operation_id: str
    vm_id: str


class PutConfiguration(Command, frozen=True, tag=True):
    """Put a configuration in force unless a newer one is.

    Attributes:
        version: the operators' own number; the highest wins.
        content_zlib: the configuration as it was sent, compressed.
    """

    version: int
    content_zlib: bytes


class ReadConfiguration(Command, frozen=True, tag=True):
    """Read the configuration at a point in the log's order."""


class NameWeights(Command, frozen=True, tag=True):
    """Name the version of a model's weights that engines shall have."""

    model: str
    version: int


class HoldOrders(Command, frozen=True, tag=True):
    """Take or release the right to give orders to engines.

    It counts only if nothing newer did and the holder is as expected.

    Attributes:
        holder: the VM that may give orders from now on, or empty.
        term: term in which the VM leads that asks.
        number: grows with each such command of the VM in the term.
        expected_holder: who holds them now, or empty.
    """

    holder: str
    term: int
    number: int
    expected_holder: str


class OpenClaim(Command, frozen=True, tag=True):
    """Claim the only run of a request that may not be repeated.

    Attributes:
        claim_id: random id of this attempt.
        customer: the customer, prefixed with its environment.
        idempotency_key: the caller's name for the request.
        body_digest: digest of method, path and body.
        retention_ms: how long a settled claim is kept.
    """

    claim_id: str
    customer: str
    idempotency_key: str
    body_digest: str
    retention_ms: int


class SettleClaim(Command, frozen=True, tag=True):
    """Store the answer of a claimed request."""

    claim_id: str
    customer: str
    idempotency_key: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ReleaseClaim(Command, frozen=True, tag=True):
    """Give up a claim whose request was provably never sent."""

    claim_id: str
    customer: str
    idempotency_key: str


AnyCommand = (
    NoOperation
    | ChangeVoters
    | AdvanceTime
    | PutDocument
    | PromoteDocument
    | IssueKey
    | WithdrawKey
    | DrainEndpoint
    | PlaceOrder
    | FinishOrder
    | RegisterVm
    | ForgetVm
    | PutConfiguration
    | ReadConfiguration
    | NameWeights
    | HoldOrders
    | OpenClaim
    | SettleClaim
    | ReleaseClaim
)


class Result(msgspec.Struct, frozen=True, tag=True):
    """Base of all results."""


class Applied(Result, frozen=True, tag=True):
    """The command took effect.

    Attributes:
        version: version of the fleet's state that holds it.
        document_version: new version of the document, if one changed.
    """

    version: int
    document_version: int = 0


class Conflicted(Result, frozen=True, tag=True):
    """Another change came first.

    Attributes:
        reason: what differs.
        winner_version: the document version in force.
        winner_digest: digest of the document in force.
        winner_operator: who put it there.
    """

    reason: str
    winner_version: int
    winner_digest: str
    winner_operator: str


class Absent(Result, frozen=True, tag=True):
    """The named object does not exist."""

    name: str


class ConfigurationHeld(Result, frozen=True, tag=True):
    """The configuration in force.

    Attributes:
        version: the operators' number, or 0 before the first one.
        content_zlib: the configuration as it was sent, compressed.
    """

    version: int
    content_zlib: bytes


class ClaimGranted(Result, frozen=True, tag=True):
    """The claimant, and no one else, runs the request."""


class ClaimAnswered(Result, frozen=True, tag=True):
    """The request ran; this is its stored answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimUnsettled(Result, frozen=True, tag=True):
    """Another attempt holds the claim without an answer yet."""


class ClaimMismatched(Result, frozen=True, tag=True):
    """The idempotency key belongs to another request."""


AnyResult = (
    Applied
    | Conflicted
    | Absent
    | ConfigurationHeld
    | ClaimGranted
    | ClaimAnswered
    | ClaimUnsettled
    | ClaimMismatched
)

CLAIM_COMMANDS = (OpenClaim, SettleClaim, ReleaseClaim, AdvanceTime)

_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(AnyCommand)
_result_decoder = msgspec.msgpack.Decoder(AnyResult)


def encode(message):
    """Return the bytes of a command or a result."""
    return _encoder.encode(message)


def decode_command(data):
    """Return the command that the bytes hold."""
    return _command_decoder.decode(data)


def decode_result(data):
    """Return the result that the bytes hold."""
    return _result_decoder.decode(data)
