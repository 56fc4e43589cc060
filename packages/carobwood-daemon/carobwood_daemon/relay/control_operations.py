"""Operations that operators and endpoints call on a control VM."""

import dataclasses
import zlib

from carobwood import errors
from carobwood import events

from ..replication import commands

# Timeout of a proposal to the replicated log. Operators try another control
# VM after a second without a response.
PROPOSAL_TIMEOUT_SECONDS = 0.9
# Additional timeout for large configurations, which take longer to commit;
# operators wait longer for these.
TIMEOUT_SECONDS_PER_MEGABYTE = 1.0
# Sequence number of the announcement that retires an endpoint's
# incarnation; no announcement of the endpoint itself exceeds it.
FINAL_SEQUENCE = 2**62


class ControlOperations:
    """Operations of a control VM.

    A change of the configuration or of the wanted weights has been
    committed to the replicated log when the call returns. Announcements of
    endpoints go to the directory.

    Attributes:
        rollouts: the ``RolloutOperations``, or None if the settings allow no
            rollouts.
    """

    def __init__(
        self,
        proposer,
        directory,
        dialect,
        weights,
        confirm_leaving,
        rollouts=None,
        is_cut_off=lambda: False,
    ):
        """Create the operations.

        Args:
            proposer: the ``Proposer`` of commands for the replicated log.
            directory: the ``Directory`` of VMs and endpoints.
            dialect: the ``Dialect``, the protocol adapter of the platform.
            weights: the ``EngineWeights``.
            confirm_leaving: see ``LeavingConfirmation.confirm``.
            rollouts: the ``RolloutOperations``, or None.
            is_cut_off: see ``Gossip.is_cut_off``.
        """
        self.rollouts = rollouts
        self._proposer = proposer
        self._directory = directory
        self._dialect = dialect
        self._weights = weights
        self._confirm_leaving = confirm_leaving
        self._is_cut_off = is_cut_off

    def put_configuration(self, content):
        """Put a configuration in force unless a newer one is in force.

        Args:
            content: the configuration in the platform's format, as bytes.

        Raises:
            ConfigurationInvalid: with a description of each fault.
            ChangeUncertain: no commit was confirmed in time; the change
                may still take effect.
        """
        configuration = self._dialect.parse_configuration(content)
        command = commands.PutConfiguration(
            configuration.version, zlib.compress(content)
        )
        timeout = PROPOSAL_TIMEOUT_SECONDS
        timeout += TIMEOUT_SECONDS_PER_MEGABYTE * len(content) / 1_000_000
        result = self._proposer.submit(command, timeout)
        events.emit(
            events.CONTROL_CALL,
            verb='put-configuration',
            version=configuration.version,
            log_index=result.version,
        )

    def read_configuration(self):
        """Return the newest configuration, as the operators sent it.

        Raises:
            ChangeUncertain: no quorum confirmed in time which
                configuration is the newest.
            ConfigurationMissing: no configuration was put in force yet.
        """
        result = self._proposer.submit(
            commands.ReadConfiguration(), PROPOSAL_TIMEOUT_SECONDS
        )
        if not result.version:
            raise errors.ConfigurationMissing(
                'no configuration has been put in force yet'
            )
        return zlib.decompress(result.content_zlib)

    def set_weights_version(self, model, version):
        """Set the version of a model's weights that engines must load.

        Args:
            model: name of the model.
            version: version of its weights.

        Raises:
            ChangeUncertain: no commit was confirmed in time; the change
                may still take effect.
        """
        command = commands.NameWeights(model, version)
        result = self._proposer.submit(command, PROPOSAL_TIMEOUT_SECONDS)
        events.emit(
            events.CONTROL_CALL,
            verb='name-weights',
            model=model,
            version=version,
            log_index=result.version,
        )

    def record_announcement(self, endpoint):
        """Add or update an endpoint that has announced itself.

        Args:
            endpoint: the ``Endpoint``.

        Raises:
            AnnouncementUnheard: this VM may be cut off from other control
                VMs; the endpoint must tell another one.
            LeavingUnconfirmed: it leaves, and the fleet may forget that.
        """
        is_news = self._directory.merge_endpoint(endpoint, is_direct=True)
        if self._directory.contradicts(endpoint):
            events.emit(
                events.ENDPOINT_CONTRADICTED,
                endpoint=endpoint.id,
                service=endpoint.pool,
                address=endpoint.address,
            )
            return
        if endpoint.leaving:
            _log_leaving('announce-leaving', endpoint, is_news)
        if endpoint.weights_version:
            self._weights.record_version(
                endpoint, int(endpoint.weights_version)
            )
        self._weights.record_models(endpoint, dict(endpoint.announced_weights))
        self._require_hearers()
        if endpoint.leaving:
            self._confirm_leaving(endpoint)

    def retire_endpoint(self, endpoint_id, incarnation=None):
        """Mark an endpoint as leaving until it is started again.

        Args:
            endpoint_id: id of the endpoint.
            incarnation: the incarnation that ends, or None for the known one.

        Raises:
            EndpointUnknown: this VM does not know the endpoint, and another
                one may; it must tell that one.
            AnnouncementUnheard: this VM may be cut off from other control
                VMs; the endpoint must tell another one.
            LeavingUnconfirmed: the fleet may forget it.
        """
        endpoint = self._directory.find_endpoint(endpoint_id)
        ended = incarnation
        if endpoint is not None and ended is None:
            ended = endpoint.incarnation
        if self._directory.has_ended(endpoint_id, ended):
            self._require_hearers()
            return
        if endpoint is None or endpoint.incarnation < ended:
            raise errors.EndpointUnknown('this VM does not know the endpoint')
        if endpoint.incarnation > ended:
            # It has started again since.
            return
        retired = dataclasses.replace(
            endpoint, sequence=FINAL_SEQUENCE, leaving=True
        )
        is_news = self._directory.merge_endpoint(retired)
        _log_leaving('retire', retired, is_news)
        self._require_hearers()
        self._confirm_leaving(retired)

    def _require_hearers(self):
        """Refuse to acknowledge what much of the fleet may not hear."""
        if self._is_cut_off():
            raise errors.AnnouncementUnheard(
                'this VM may be cut off from other control VMs'
            )


def _log_leaving(verb, endpoint, is_news):
    """Log that an endpoint has told this VM that it leaves."""
    events.emit(
        events.CONTROL_CALL,
        verb=verb,
        endpoint=endpoint.id,
        incarnation=endpoint.incarnation,
        sequence=endpoint.sequence,
        is_news=is_news,
    )
