"""The admission of requests of a VM, without a listener before it."""

import types
import zlib

from carobwood_daemon.relay import admission
from carobwood_daemon.relay import configuration_store
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import quota
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import state_store
from carobwood_platform import dialect
import relay_builders as builders

BODY = b'prompt'


class AdmissionSetup:
    """The admission of a VM without a configuration.

    Attributes:
        fleet_quota: the ``FleetQuota``.
        store: the ``StateStore``.
        configuration_store: the ``ConfigurationStore``.
        admission: the ``Admission`` under test.
    """

    def __init__(self, is_first_start=True):
        self.store = state_store.StateStore()
        platform_dialect = dialect.PlatformDialect()
        self.configuration_store = configuration_store.ConfigurationStore(
            self.store, platform_dialect, engine_weights.EngineWeights()
        )
        self.fleet_quota = quota.FleetQuota(
            builders.tolerance(), is_first_start
        )
        self.configuration_store.add_change_listener(
            lambda configuration: self.fleet_quota.set_limits(
                configuration.customers
            )
        )
        self.admission = admission.Admission(
            self.configuration_store,
            platform_dialect,
            self.fleet_quota,
            types.SimpleNamespace(refuse_if_crashing=lambda fingerprint: None),
            types.SimpleNamespace(check=lambda segments: None),
            lambda route: route.weighted_services[0],
        )

    def configure(self, version=1):
        """Deliver a configuration through the replicated state."""
        put = commands.PutConfiguration(
            version, zlib.compress(builders.configuration_body(version))
        )
        fleet, _ = self.store.fleet.apply(version, put)
        self.store.update(fleet, ((version, commands.encode(put)),))

    def admit(self, deadline_ms, forwarded=None):
        """Admit a request with a deadline in milliseconds, or None."""
        headers = {
            'authorization': f'Bearer {builders.KEY}',
            'x-carobwood-request-id': 'r-1',
        }
        if deadline_ms is not None:
            headers['x-carobwood-deadline-ms'] = str(deadline_ms)
        caller = types.SimpleNamespace(
            headers=headers,
            host=builders.HOST,
            path='/orders/x',
            method='POST',
            target='/orders/x',
            read_body=lambda seconds: BODY,
        )
        return self.admission.admit(caller, admission.clocks.now(), forwarded)
