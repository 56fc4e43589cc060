"""HTTP servers of a VM: callers, control API, readiness and metrics."""

import http
import random

from carobwood import clocks

from .relay import admission
from .relay import control
from .relay import fleet_loads
from .relay import gateway
from .relay import http_server
from .relay import parts as relay_parts
from .relay import relay
from .relay import retries
from .relay import selector

# Limits of worker threads, and so of requests handled at once, per server.
RELAY_THREADS = 160
CONTROL_THREADS = 48
# For the readiness API and for the metrics API.
STATUS_API_THREADS = 4
# Time after its start in which a VM receives the endpoints' announcements.
SETTLE_SECONDS = 2.0


class RelayServers:
    """Creates the HTTP servers of one VM."""

    def __init__(self, settings, dialect, knowledge, gate, tracer):
        """Prepare the creation of the servers.

        Args:
            settings: the ``RelaySettings``.
            dialect: the ``Dialect``, the protocol adapter of the platform.
            knowledge: the ``Knowledge``: state that the components share.
            gate: the ``Gate``: limit of requests in flight on this VM.
            tracer: the ``Tracer``.
        """
        self._started_at = clocks.now()
        self._settings = settings
        self._dialect = dialect
        self._knowledge = knowledge
        self._gate = gate
        self._tracer = tracer

    def make(self, directory, gossip, proposer, make_control_api):
        """Create an ``HttpServer`` for each listen address that is set.

        Args:
            directory: the ``Directory`` of VMs and endpoints.
            gossip: the ``Gossip``.
            proposer: the ``Proposer`` of commands for the replicated log.
            make_control_api: called with the ``Control``; returns a
                function from a ``ServiceRequest`` to a ``ServiceReply``.

        Returns:
            The servers, as a list; none of them is started.
        """
        settings = self._settings
        servers = []
        if settings.caller_listen is not None:
            servers.append(self._make_caller_server(directory, gossip))
        apis = [
            (
                settings.ready_listen,
                self._report_readiness,
                STATUS_API_THREADS,
            ),
            (
                settings.metrics_listen,
                self._report_metrics,
                STATUS_API_THREADS,
            ),
        ]
        if settings.control_listen is not None:
            operations = control.Control(
                proposer, directory, self._dialect, self._knowledge.weights
            )
            api = make_control_api(operations)
            apis.append((settings.control_listen, api, CONTROL_THREADS))
        for address, handle, threads in apis:
            if address is not None:
                servers.append(
                    http_server.HttpServer(
                        address, gateway.make_api_gateway(handle), threads
                    )
                )
        return servers

    def _make_caller_server(self, directory, gossip):
        server = http_server.HttpServer(
            self._settings.caller_listen,
            gateway.make_relay_gateway(self._make_relay(directory, gossip)),
            RELAY_THREADS,
        )
        state = self._knowledge.state
        state.on_change(self._knowledge.stores.adopt)
        state.on_change(
            lambda configuration: server.set_limits(
                configuration.limits.header_bytes,
                configuration.limits.body_bytes,
            )
        )
        return server

    def _make_relay(self, directory, gossip):
        bounds = self._settings.bounds
        knowledge = self._knowledge
        dependencies = relay_parts.RelayParts(
            data_centre=self._settings.data_centre,
            weights_seconds=bounds.weights_seconds,
            is_settled=self._is_settled,
            state=knowledge.state,
            dialect=self._dialect,
            directory=directory,
            weights=knowledge.weights,
            loads=knowledge.loads,
            reading=fleet_loads.ReadingShares(),
            spread_loads=gossip.spread_near,
            prefix_cache_index=knowledge.prefix_cache_index,
            stores=knowledge.stores,
            health=knowledge.health,
            waiting=knowledge.waiting,
            retries=retries.RetryAllowance(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_seconds,
                knowledge.news.entry_vm_count,
            ),
            crash_suspects=knowledge.crash_suspects,
            pool=knowledge.pool,
            gate=self._gate,
            tracer=self._tracer,
            metrics=knowledge.metrics,
        )
        return relay.Relay(
            dependencies,
            admission.Admission(
                knowledge.state,
                self._dialect,
                knowledge.quota,
                knowledge.crash_suspects,
                _choose_share,
            ),
            selector.Selector(dependencies),
        )

    def _is_settled(self):
        return clocks.now() - self._started_at > SETTLE_SECONDS

    def _report_readiness(self, request):
        """Tell the load balancer whether to send connections here."""
        del request
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        is_configured = self._knowledge.state.configuration is not None
        if self._gate.is_ready and is_configured:
            status = http.HTTPStatus.OK
        return gateway.ServiceReply(status.value, status.phrase)

    def _report_metrics(self, request):
        del request
        return gateway.ServiceReply(
            http.HTTPStatus.OK.value,
            http.HTTPStatus.OK.phrase,
            self._knowledge.metrics.text(),
            'text/plain; version=0.0.4',
        )


def _choose_share(route):
    """Return a ``ServiceShare`` of a route, at random by weight."""
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0]
