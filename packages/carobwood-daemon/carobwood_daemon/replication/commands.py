"""Commands of the replicated log and their results.

Log entries and snapshots store the class names as tags and the field
names as keys; both must stay as they are.
"""

import msgspec

from . import command_bases
from . import rollout_commands

Command = command_bases.Command
Result = command_bases.Result
StartRollout = rollout_commands.StartRollout
ReserveExposure = rollout_commands.ReserveExposure
AdvanceRollout = rollout_commands.AdvanceRollout
ReadRollout = rollout_commands.ReadRollout
RolloutHeld = rollout_commands.RolloutHeld


class Member(msgspec.Struct, frozen=True):
    """A replica in the membership of the log.

    Attributes:
        replica_id: id stored in the replica's data folder.
        vm_id: the VM that runs the replica.
        address: address at which other VMs reach that VM.
    """

    replica_id: str
    vm_id: str
    address: str


class NoOperation(Command, frozen=True, tag=True):
    """An empty command that a new leader appends.

    A Raft leader may count replicas only for entries of its own term;
    committing this one also commits all entries before it.
    """


class ChangeVoters(Command, frozen=True, tag=True):
    """A single-server membership change of the log."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...]


class AdvanceTime(Command, frozen=True, tag=True):
    """Advance fleet time by what passed on the leader's monotonic clock."""

    elapsed_ms: int


class PutDocument(Command, frozen=True, tag=True):
    """Put a new version of an environment's document in force.

    Attributes:
        operation_id: id of the operator's request; a retry under the
            same id has no effect and returns the first result.
        environment: name of the environment.
        text_zlib: the YAML text, compressed.
        digest: digest of the text.
        expected_version: version that the change replaces; the command
            conflicts if another version is in force.
        operator: name of the operator, for the history.
    """

    operation_id: str
    environment: str
    text_zlib: bytes
    digest: str
    expected_version: int
    operator: str


class PromoteDocument(Command, frozen=True, tag=True):
    """Put the document of one environment in force in another.

    Attributes:
        operation_id: id of the operator's request; a retry under the
            same id has no effect and returns the first result.
        source: environment in which the document is in force.
        target: environment in which it is put in force.
        source_digest: expected digest of the document in the source; the
            command conflicts if another document is in force there.
        text_zlib: the YAML text for the target, compressed.
        digest: digest of that text.
        expected_version: version in the target that is replaced.
        operator: name of the operator, for the history.
    """

    operation_id: str
    source: str
    target: str
    source_digest: str
    text_zlib: bytes
    digest: str
    expected_version: int
    operator: str


class IssueKey(Command, frozen=True, tag=True):
    """Add an API key of a customer, by the digest of the key."""

    operation_id: str
    environment: str
    customer: str
    digest: str


class WithdrawKey(Command, frozen=True, tag=True):
    """Revoke an API key permanently, by the digest of the key."""

    digest: str


class DrainEndpoint(Command, frozen=True, tag=True):
    """Stop sending new requests to an endpoint, or resume."""

    operation_id: str
    endpoint_id: str
    drained: bool


class PlaceOrder(Command, frozen=True, tag=True):
    """Place an order for an engine.

    The log index of the command is the order's fencing number.

    Attributes:
        operation_id: id of the operator's request; a retry under the
            same id has no effect and returns the first result.
        endpoint_id: id of the engine.
        kind: ``load-weights``, ``load-adapter`` or ``set-role``.
        argument: version of the weights, name of the adapter or role.
        operator: name of the operator who placed the order.
    """

    operation_id: str
    endpoint_id: str
    kind: str
    argument: str
    operator: str


class FinishOrder(Command, frozen=True, tag=True):
    """Record the outcome of an order.

    Attributes:
        fencing_number: log index of the order.
        state: ``done`` or ``refused``.
        detail: why the engine refused the order.
    """

    fencing_number: int
    state: str
    detail: str


class RegisterVm(Command, frozen=True, tag=True):
    """Add a VM to the fleet."""

    vm_id: str
    data_centre: str


class ForgetVm(Command, frozen=True, tag=True):
    """Remove a VM that is gone for good from the fleet."""

    operation_id: str
    vm_id: str


class PutConfiguration(Command, frozen=True, tag=True):
    """Put a configuration in force unless a newer one already is.

    Attributes:
        version: version given by the operators; the highest one wins.
        content_zlib: the configuration as it was received, compressed.
    """

    version: int
    content_zlib: bytes


class ReadConfiguration(Command, frozen=True, tag=True):
    """Read the configuration in force, as a linearizable read."""


class NameWeights(Command, frozen=True, tag=True):
    """Set the version of a model's weights that engines have to load.

    A version that is not higher than the current one has no effect.
    """

    model: str
    version: int


class HoldOrders(Command, frozen=True, tag=True):
    """Acquire or release the lock on sending orders to engines.

    It takes effect only if no newer (term, number) has taken effect and
    the lock's holder is the expected one (compare-and-swap).

    Attributes:
        holder: the VM that holds the lock from now on, or empty to
            release it.
        term: Raft term in which the VM that sends the command leads.
        number: increases with each such command of the VM in the term.
        expected_holder: the current holder, or empty if the lock is
            free.
    """

    holder: str
    term: int
    number: int
    expected_holder: str


class OpenClaim(Command, frozen=True, tag=True):
    """Claim the right to run a request that may run only once.

    Attributes:
        claim_id: random id of this attempt.
        customer: the customer, prefixed with its environment.
        idempotency_key: key that the caller sent with the request.
        body_digest: digest of the request's method, path and body.
        retention_ms: milliseconds from opening until the claim is
            dropped if it is settled.
    """

    claim_id: str
    customer: str
    idempotency_key: str
    body_digest: str
    retention_ms: int


class SettleClaim(Command, frozen=True, tag=True):
    """Settle a claim: store the answer of its request."""

    claim_id: str
    customer: str
    idempotency_key: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ReleaseClaim(Command, frozen=True, tag=True):
    """Give up a claim whose request was certainly not sent."""

    claim_id: str
    customer: str
    idempotency_key: str


class UnknownCommand(Command, frozen=True, tag=True):
    """Stands for a command that this build cannot decode.

    It is never stored or sent: the encoded command is kept as it is.
    """


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
    | StartRollout
    | ReserveExposure
    | AdvanceRollout
    | ReadRollout
)


class Applied(Result, frozen=True, tag=True):
    """The command was applied.

    Attributes:
        version: version of the fleet's state that includes the command.
        document_version: new version of the document, or 0 if the
            command changes no document.
    """

    version: int
    document_version: int = 0


class Conflicted(Result, frozen=True, tag=True):
    """The command is refused: another document is in force than expected.

    Attributes:
        reason: what differs from the expectation.
        winner_version: the document version in force.
        winner_digest: digest of the document in force.
        winner_operator: name of the operator who put it in force.
    """

    reason: str
    winner_version: int
    winner_digest: str
    winner_operator: str


class Absent(Result, frozen=True, tag=True):
    """The object that the command refers to does not exist.

    Attributes:
        name: id or name of the object.
    """

    name: str


class ConfigurationHeld(Result, frozen=True, tag=True):
    """The configuration in force.

    Attributes:
        version: version given by the operators, or 0 if there is no
            configuration yet.
        content_zlib: the configuration as it was received, compressed.
    """

    version: int
    content_zlib: bytes


class ClaimGranted(Result, frozen=True, tag=True):
    """The attempt holds the claim and may run the request."""


class ClaimAnswered(Result, frozen=True, tag=True):
    """The request ran before; this is its stored answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimUnsettled(Result, frozen=True, tag=True):
    """Another attempt holds the claim and has not stored an answer."""


class ClaimMismatched(Result, frozen=True, tag=True):
    """The idempotency key was used for a different request."""


AnyResult = (
    Applied
    | Conflicted
    | Absent
    | ConfigurationHeld
    | ClaimGranted
    | ClaimAnswered
    | ClaimUnsettled
    | ClaimMismatched
    | RolloutHeld
)

CLAIM_COMMANDS = (OpenClaim, SettleClaim, ReleaseClaim, AdvanceTime)

_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(AnyCommand)
_result_decoder = msgspec.msgpack.Decoder(AnyResult)


def encode(message):
    """Return an encoded command or result."""
    return _encoder.encode(message)


def decode_command(data):
    """Return the decoded command.

    What is in the log of a fleet cannot be refused any more, so that a
    command that cannot be decoded becomes an ``UnknownCommand``.
    """
    try:
        return _command_decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return UnknownCommand()


def decode_result(data):
    """Return the decoded result."""
    return _result_decoder.decode(data)
