"""Error types of carobwood, with their codes, HTTP statuses and outcomes."""

from . import admission_errors
from . import base_errors
from . import endpoint_errors
from . import operator_errors
from . import replication_errors
from . import request_errors

Outcome = base_errors.Outcome
CarobwoodError = base_errors.CarobwoodError
InternalError = base_errors.InternalError
RequestRefused = base_errors.RequestRefused

MalformedRequest = request_errors.MalformedRequest
AmbiguousPath = request_errors.AmbiguousPath
ConflictingHeaders = request_errors.ConflictingHeaders
ConflictingCredentials = request_errors.ConflictingCredentials
HeadersTimeout = request_errors.HeadersTimeout
HeadersTooLarge = request_errors.HeadersTooLarge
BodyTooLarge = request_errors.BodyTooLarge
BodyBrokenOff = request_errors.BodyBrokenOff
BodyTimeout = request_errors.BodyTimeout
CallerLeft = request_errors.CallerLeft
CredentialMissing = request_errors.CredentialMissing
CredentialMalformed = request_errors.CredentialMalformed
KeyRefused = request_errors.KeyRefused
GraceExpired = request_errors.GraceExpired
RouteNotFound = request_errors.RouteNotFound
MethodNotAllowed = request_errors.MethodNotAllowed
ModelNotFound = request_errors.ModelNotFound
RateExceeded = request_errors.RateExceeded
RequestExceedsBurst = request_errors.RequestExceedsBurst
IdempotencyKeyMissing = request_errors.IdempotencyKeyMissing
IdempotencyConflict = request_errors.IdempotencyConflict
ClaimPending = request_errors.ClaimPending
RequestCrashesEndpoints = request_errors.RequestCrashesEndpoints

NoEndpoint = admission_errors.NoEndpoint
NoEndpointReachable = admission_errors.NoEndpointReachable
StreamVersionUnknown = admission_errors.StreamVersionUnknown
BuffersFull = admission_errors.BuffersFull
VmBusy = admission_errors.VmBusy
Saturated = admission_errors.Saturated
DeadlineUnreachable = admission_errors.DeadlineUnreachable
ConfigurationMissing = admission_errors.ConfigurationMissing
ConfigurationChanged = admission_errors.ConfigurationChanged
QuorumUnavailable = admission_errors.QuorumUnavailable
Stopping = admission_errors.Stopping
StopTimeout = admission_errors.StopTimeout

EndpointUnreachable = endpoint_errors.EndpointUnreachable
DescriptorsUsedUp = endpoint_errors.DescriptorsUsedUp
LocalPortsUsedUp = endpoint_errors.LocalPortsUsedUp
EndpointLeft = endpoint_errors.EndpointLeft
VersionNotAllowed = endpoint_errors.VersionNotAllowed
EndpointNotRun = endpoint_errors.EndpointNotRun
EndpointFailed = endpoint_errors.EndpointFailed
EndpointTimeout = endpoint_errors.EndpointTimeout
AnswerMismatch = endpoint_errors.AnswerMismatch
StreamBroken = endpoint_errors.StreamBroken
EndpointUnknown = endpoint_errors.EndpointUnknown
AnnouncementUnheard = endpoint_errors.AnnouncementUnheard
LeavingUnconfirmed = endpoint_errors.LeavingUnconfirmed
EngineCallFailed = endpoint_errors.EngineCallFailed
CallOutOfBounds = endpoint_errors.CallOutOfBounds
EngineOrderRefused = endpoint_errors.EngineOrderRefused

OperatorRefused = operator_errors.OperatorRefused
DocumentInvalid = operator_errors.DocumentInvalid
ConfigurationInvalid = operator_errors.ConfigurationInvalid
SettingsInvalid = operator_errors.SettingsInvalid
ClientUsage = operator_errors.ClientUsage
VersionConflict = operator_errors.VersionConflict
DigestMismatch = operator_errors.DigestMismatch
NotFound = operator_errors.NotFound
AlreadyFounded = operator_errors.AlreadyFounded
ReplacementRefused = operator_errors.ReplacementRefused
ChangeUncertain = operator_errors.ChangeUncertain
RolloutInvalid = operator_errors.RolloutInvalid
RolloutConflict = operator_errors.RolloutConflict
RolloutMissing = operator_errors.RolloutMissing
FeatureMissing = operator_errors.FeatureMissing

NotLeader = replication_errors.NotLeader
LogDamaged = replication_errors.LogDamaged
DataFolderInUse = replication_errors.DataFolderInUse
DiskWriteFailed = replication_errors.DiskWriteFailed
DiskWriteUncertain = replication_errors.DiskWriteUncertain
LinkFailed = replication_errors.LinkFailed
LinkRefused = replication_errors.LinkRefused
ForwardedRequestFailed = replication_errors.ForwardedRequestFailed


def all_error_types():
    """Return the error types, one for each code, sorted by code.

    Of a base class and a subclass with the same code, the subclass is
    returned.
    """
    types_by_code = {}
    pending = [CarobwoodError]
    while pending:
        error_type = pending.pop()
        types_by_code[error_type.code] = error_type
        pending.extend(error_type.__subclasses__())
    return [types_by_code[code] for code in sorted(types_by_code)]
