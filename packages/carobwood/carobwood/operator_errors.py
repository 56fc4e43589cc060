"""Errors of operators, of their documents and of settings."""

from . import base_errors


class OperatorRefused(base_errors.RequestRefused):
    """The operator's or the endpoint's token is missing or wrong."""

    code = 'operator_refused'
    status = 401


class DocumentInvalid(base_errors.RequestRefused):
    """The document is not valid.

    Attributes:
        faults: list of ``DocumentFault``, one for each fault found.
    """

    code = 'document_invalid'
    status = 422

    def __init__(self, faults):
        super().__init__('; '.join(str(fault) for fault in faults))
        self.faults = list(faults)


class ConfigurationInvalid(base_errors.RequestRefused):
    """The operators' configuration is not valid.

    Attributes:
        faults: list of strings, one for each fault found.
    """

    code = 'configuration_invalid'

    def __init__(self, faults):
        super().__init__('; '.join(faults))
        self.faults = list(faults)


class SettingsInvalid(base_errors.CarobwoodError):
    """The settings of the process are not valid.

    Attributes:
        faults: list of strings, each with the setting and its fault.
    """

    code = 'settings_invalid'

    def __init__(self, faults):
        super().__init__('\n'.join(faults))
        self.faults = list(faults)


class ClientUsage(base_errors.CarobwoodError):
    """The client was called with invalid arguments."""

    code = 'client_usage'


class VersionConflict(base_errors.RequestRefused):
    """A concurrent change was committed first."""

    code = 'version_conflict'
    status = 409


class DigestMismatch(base_errors.RequestRefused):
    """The source environment's document does not have the given digest."""

    code = 'digest_mismatch'
    status = 409


class NotFound(base_errors.RequestRefused):
    """The named object does not exist."""

    code = 'not_found'
    status = 404


class AlreadyFounded(base_errors.RequestRefused):
    """The VM or one of its peers already belongs to a fleet."""

    code = 'already_founded'
    status = 409


class ReplacementRefused(base_errors.RequestRefused):
    """The voter cannot be replaced now."""

    code = 'replacement_refused'
    status = 409


class ChangeUncertain(base_errors.CarobwoodError):
    """The change may or may not be committed.

    It is safe to resend it with the same operation id.
    """

    code = 'change_uncertain'
    status = 504
    outcome = base_errors.Outcome.UNKNOWN
    retry_after = 1


class RolloutInvalid(base_errors.RequestRefused):
    """The order of a rollout is not valid.

    Attributes:
        field: name of the field that is wrong.
    """

    code = 'rollout_invalid'

    def __init__(self, field, fault):
        super().__init__(f'{field}: {fault}')
        self.field = field


class RolloutConflict(base_errors.RequestRefused):
    """Another version of the service is being rolled out."""

    code = 'rollout_conflict'
    status = 409


class RolloutMissing(base_errors.RequestRefused):
    """No rollout of the service has been ordered."""

    code = 'rollout_missing'
    status = 404


class FeatureMissing(base_errors.RequestRefused):
    """VMs of an older build do not know a command; nothing was changed.

    Attributes:
        vm_ids: ids of those VMs.
    """

    code = 'feature_missing'
    status = 503
    retry_after = 1

    def __init__(self, feature, vm_ids):
        super().__init__(f'{feature}: unknown to {", ".join(vm_ids)}')
        self.vm_ids = tuple(vm_ids)
