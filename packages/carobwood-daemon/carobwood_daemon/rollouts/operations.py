"""Operations on rollouts that operators call on a control VM."""

import dataclasses

from carobwood import clocks
from carobwood import errors
from carobwood import events

from ..membership import build_features
from ..replication import commands

# Timeout of a proposal to the replicated log. Operators try another control
# VM after a second without a response.
PROPOSAL_TIMEOUT_SECONDS = 0.9
# Time for which this VM must have looked at the endpoints before it decides by
# the versions that they run.
MIN_VIEW_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to roll a software version out.

    Attributes:
        service: name of the service.
        target_version: the version that its traffic moves to.
        ramp_ms: time in which it should move.
    """

    service: str
    target_version: str
    ramp_ms: int


class RolloutOperations:
    """Orders rollouts and tells what has become of them.

    What an operation returns has been committed to the replicated log.
    """

    def __init__(
        self,
        proposer,
        directory,
        configuration_store,
        software_versions,
        log_member_ids,
        clock=clocks.now,
    ):
        """Create the operations.

        Args:
            proposer: the ``Proposer`` of commands for the replicated log.
            directory: the ``Directory`` of VMs and endpoints.
            configuration_store: the ``ConfigurationStore``.
            software_versions: the ``SoftwareVersionHistory``.
            log_member_ids: function that returns the ids of the VMs with a
                member of the replicated log.
            clock: function that returns the monotonic time in seconds.
        """
        self._proposer = proposer
        self._directory = directory
        self._configuration_store = configuration_store
        self._software_versions = software_versions
        self._log_member_ids = log_member_ids
        self._clock = clock

    def start(self, order):
        """Start a rollout unless the newest one of the service is the same.

        Args:
            order: the ``RolloutOrder``.

        Raises:
            RolloutInvalid: a field of the order is wrong.
            RolloutConflict: another version of the service is being rolled
                out.
            FeatureMissing: VMs of an older build run; nothing was changed.
            ConfigurationMissing, ChangeUncertain: it is not known whether
                the order was taken; the same order may be sent again.
        """
        self._require_gate()
        self._require_service(order.service)
        if self._may_be_in_force(order) and self._is_repeated(order):
            return
        held = self._submit(
            commands.StartRollout(
                order.service, order.target_version, order.ramp_ms
            )
        )
        if held.target_version != order.target_version:
            raise errors.RolloutConflict(
                f'{held.target_version} is being rolled out'
            )
        events.emit(
            events.ROLLOUT_TAKEN,
            service=order.service,
            target=order.target_version,
            ramp_ms=order.ramp_ms,
            rollout=held.index,
            phase=held.phase,
        )

    def read(self, service):
        """Return the ``RolloutHeld`` of the newest rollout of a service.

        Raises:
            RolloutMissing: none was ordered.
            FeatureMissing, ChangeUncertain: it cannot be told for sure.
        """
        self._require_gate()
        held = self._submit(commands.ReadRollout(service))
        if not held.index:
            raise errors.RolloutMissing(f'no rollout of {service}')
        return held

    def cancel(self, service, operator):
        """Roll the running rollout of a service back.

        Args:
            service: name of the service.
            operator: name of the operator, for the reason.

        Returns:
            The ``RolloutHeld`` after it; unchanged if it had ended.

        Raises:
            RolloutMissing, FeatureMissing, ChangeUncertain: see ``read``.
        """
        held = self.read(service)
        while True:
            expected = held.phase
            held = self._submit(
                commands.AdvanceRollout(
                    service,
                    held.index,
                    'rolled-back',
                    expected,
                    f'cancelled by {operator}',
                )
            )
            # It may have entered another phase meanwhile.
            if held.phase in (expected, 'rolled-back', 'succeeded'):
                return held

    def _submit(self, command):
        return self._proposer.submit(command, PROPOSAL_TIMEOUT_SECONDS)

    def _require_gate(self):
        build_features.require(
            build_features.ROLLOUTS,
            self._directory.vms(),
            self._log_member_ids(),
            self._clock(),
        )

    def _require_service(self, service):
        configuration = self._configuration_store.configuration
        if configuration is None:
            raise errors.ConfigurationMissing('no configuration yet')
        if service in configuration.services_by_name:
            return
        newest = self._submit(commands.ReadConfiguration())
        if newest.version > configuration.version:
            raise errors.ChangeUncertain('a newer configuration is coming')
        raise errors.RolloutInvalid('service', f'{service} is unknown')

    def _may_be_in_force(self, order):
        """Tell whether no endpoint is known to run another version."""
        view = self._software_versions.view(order.service)
        if not view.versions and view.seconds >= MIN_VIEW_SECONDS:
            return False
        return view.versions <= {order.target_version}

    def _is_repeated(self, order):
        """Return True if an order that may be in force was taken before."""
        held = self._submit(commands.ReadRollout(order.service))
        if held.target_version == order.target_version:
            return True
        view = self._software_versions.view(order.service)
        if view.seconds < MIN_VIEW_SECONDS:
            raise errors.ChangeUncertain('not all endpoints are known yet')
        raise errors.RolloutInvalid(
            'to', f'{order.target_version} is the version in force'
        )
