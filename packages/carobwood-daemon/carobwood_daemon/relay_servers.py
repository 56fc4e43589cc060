"""The addresses that a VM that relays or controls answers on."""

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

RELAY_THREADS = 160
CONTROL_THREADS = 48
SERVICE_THREADS = 4
# Time in which a VM that starts hears of the endpoints.
SETTLE_SECONDS = 2.0


class RelayServers:
    """Makes the servers of one VM."""

    def __init__(self, settings, dialect, knowledge, gate, tracer):
        """Create the maker.

        Args:
            settings: the ``RelaySettings``.
            dialect: the ``Dialect``.
            knowledge: the ``Knowledge``.
            gate: the ``Gate``.
            tracer: the ``Tracer``.
        """
        self._started_at = clocks.now()
        self._settings = settings
        self._dialect = dialect
        self._knowledge = knowledge
        self._gate = gate
        self._tracer = tracer

    def make(self, directory, gossip, proposer, make_control_api):
        """Return the ``HttpServer`` of each address that is set.

        Args:
            directory: the ``Directory``.
            gossip: the ``Gossip``.
            proposer: the ``Proposer``.
            make_control_api: called with the ``Control``; returns a
                function from a ``ServiceRequest`` to a ``ServiceReply``.
        """
        settings = self._settings
        servers = []
        if settings.caller_listen is not None:
            servers.append(self._make_caller_server(directory, gossip))
        services = [
            (settings.ready_listen, self._answer_ready, SERVICE_THREADS),
            (settings.metrics_listen, self._answer_metrics, SERVICE_THREADS),
        ]
        if settings.control_listen is not None:
            verbs = control.Control(
                proposer, directory, self._dialect, self._knowledge.weights
            )
            api = make_control_api(verbs)
            services.append((settings.control_listen, api, CONTROL_THREADS))
        for address, handle, threads in services:
            if address is not None:
                servers.append(
                    http_server.HttpServer(
                        address, gateway.serving(handle), threads
                    )
                )
        return servers

    def _make_caller_server(self, directory, gossip):
        server = http_server.HttpServer(
            self._settings.caller_listen,
            gateway.relaying(self._make_relay(directory, gossip)),
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
        known = self._knowledge
        parts = relay_parts.RelayParts(
            data_centre=self._settings.data_centre,
            weights_seconds=bounds.weights_seconds,
            is_settled=self._is_settled,
            state=known.state,
            dialect=self._dialect,
            directory=directory,
            weights=known.weights,
            loads=known.loads,
            reading=fleet_loads.ReadingShares(),
            spread_loads=gossip.spread_near,
            placements=known.placements,
            stores=known.stores,
            health=known.health,
            waiting=known.waiting,
            retries=retries.RetryAllowance(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_seconds,
                known.news.entry_vm_count,
            ),
            suspects=known.suspects,
            pool=known.pool,
            gate=self._gate,
            tracer=self._tracer,
            metrics=known.metrics,
        )
        return relay.Relay(
            parts,
            admission.Admission(
                known.state,
                self._dialect,
                known.quota,
                known.suspects,
                _draw_share,
            ),
            selector.Selector(parts),
        )

    def _is_settled(self):
        return clocks.now() - self._started_at > SETTLE_SECONDS

    def _answer_ready(self, request):
        del request
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        is_configured = self._knowledge.state.configuration is not None
        if self._gate.is_ready and is_configured:
            status = http.HTTPStatus.OK
        return gateway.ServiceReply(status.value, status.phrase)

    def _answer_metrics(self, request):
        del request
        return gateway.ServiceReply(
            http.HTTPStatus.OK.value,
            http.HTTPStatus.OK.phrase,
            self._knowledge.metrics.text(),
            'text/plain; version=0.0.4',
        )


def _draw_share(route):
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0]
