"""HTTP servers of a VM: callers, control API, readiness and metrics."""

import http
import random

from carobwood import clocks

from .membership import leaving_confirmation
from .relay import admission
from .relay import control_operations
from .relay import ended_endpoints
from .relay import endpoint_activity
from .relay import endpoint_liveness
from .relay import explainer
from .relay import explanation_api
from .relay import fleet_loads
from .relay import fleet_retry_budget
from .relay import forwarding_headers
from .relay import gateway
from .relay import http_server
from .relay import overload_control
from .relay import planned_work
from .relay import relay
from .relay import relay_context
from .relay import selector
from .relay import stop_admission
from .relay import vm_forwarder
from .routing import rendezvous
from .routing import segment_suspects

# Requests in flight on this VM, its callers' and those of other VMs.
MAX_REQUESTS = 160
# Worker threads for callers beyond those, which refuse what has no place.
# Slow heads hold them too, and refused bodies that are still coming.
EXTRA_CALLER_THREADS = 32
# Worker threads of the control API, and so its requests at once.
CONTROL_THREADS = 48
# Some more than the requests of other VMs that are taken, so that those beyond
# are refused at once.
FORWARD_THREADS = relay.MAX_FORWARDED_REQUESTS + 8
# For the readiness API and for the metrics API.
STATUS_API_THREADS = 4
# Largest body of a request to these, which they do not need.
STATUS_API_BODY_BYTES = 64 * 1024
# Largest configuration that the control API takes.
CONTROL_BODY_BYTES = 16 * 1024 * 1024
# Time after its start in which a VM receives the endpoints' announcements.
SETTLE_SECONDS = 2.0


class ServerFactory:
    """Creates the HTTP servers of one VM."""

    def __init__(self, settings, dialect, shared, gate, tracer):
        """Prepare the creation of the servers.

        Args:
            settings: the ``RelaySettings``.
            dialect: the ``Dialect``, the protocol adapter of the platform.
            shared: the ``SharedComponents`` of the VM.
            gate: the ``RequestGate``: limit of requests in flight on this VM.
            tracer: the ``Tracer``.
        """
        self._started_at = clocks.now()
        self._settings = settings
        self._dialect = dialect
        self._shared = shared
        self._gate = gate
        self._tracer = tracer
        # The ``Explainer`` of an entry VM.
        self._explainer = None

    def create_servers(
        self, directory, gossip, proposer, make_control_api, rollouts=None
    ):
        """Create an ``HttpServer`` for each listen address that is set.

        Args:
            directory: the ``Directory`` of VMs and endpoints.
            gossip: the ``Gossip``.
            proposer: the ``Proposer`` of commands for the replicated log.
            make_control_api: called with the ``ControlOperations``; returns a
                function from an ``ApiRequest`` to an ``ApiResponse``.
            rollouts: the ``RolloutOperations``, or None if there are no
                rollouts.

        Returns:
            The servers, as a list; none of them is started.
        """
        settings = self._settings
        servers = []
        if settings.caller_listen is not None:
            servers += self._make_caller_servers(directory, gossip)
        apis = [
            (
                settings.ready_listen,
                self._report_readiness,
                STATUS_API_THREADS,
                STATUS_API_BODY_BYTES,
            ),
            (
                settings.metrics_listen,
                self._make_metrics_handler(),
                STATUS_API_THREADS,
                STATUS_API_BODY_BYTES,
            ),
        ]
        if settings.control_listen is not None:
            confirmation = leaving_confirmation.LeavingConfirmation(
                directory,
                gossip.send_endpoint,
                settings.replica_options.tolerated_losses,
            )
            operations = control_operations.ControlOperations(
                proposer,
                directory,
                self._dialect,
                self._shared.engine_weights,
                confirmation.confirm,
                rollouts,
                gossip.is_cut_off,
            )
            api = make_control_api(operations)
            apis.append(
                (
                    settings.control_listen,
                    api,
                    CONTROL_THREADS,
                    CONTROL_BODY_BYTES,
                )
            )
        servers += [self._make_api_server(*api) for api in apis if api[0]]
        return servers

    def _make_api_server(self, address, handle, threads, body_bytes):
        server = http_server.HttpServer(
            address,
            gateway.make_api_gateway(handle, lambda: not self._gate.is_ready),
            threads,
            self._describe_vm,
            self._shared.buffers,
        )
        server.set_limits(http_server.MAX_HEAD_BYTES, body_bytes)
        return server

    def _make_caller_servers(self, directory, gossip):
        """Create the servers for callers and for requests of other VMs."""
        settings = self._settings
        own_relay = self._make_relay(directory, gossip)
        caller_server = http_server.HttpServer(
            settings.caller_listen,
            gateway.make_relay_gateway(own_relay),
            MAX_REQUESTS + EXTRA_CALLER_THREADS,
            self._describe_vm,
            self._shared.buffers,
        )
        servers = [caller_server]
        self._follow_limits(caller_server, 0)
        self._follow_head_limit(caller_server)
        if settings.forward_listen is not None:
            forward_server = http_server.HttpServer(
                settings.forward_listen,
                gateway.make_forwarded_gateway(
                    own_relay, settings.link_secret
                ),
                FORWARD_THREADS,
                self._describe_vm,
                self._shared.buffers,
            )
            self._follow_limits(forward_server, forwarding_headers.MAX_BYTES)
            servers.append(forward_server)
        return servers

    def _follow_limits(self, server, added_header_bytes):
        """Apply the limits of each configuration to a server."""

        def apply(configuration):
            limits = configuration.limits
            server.set_limits(
                limits.header_bytes + added_header_bytes, limits.body_bytes
            )
            server.set_idle_seconds(limits.idle_seconds)

        self._shared.configuration_store.add_change_listener(apply)

    def _follow_head_limit(self, server):
        """Apply each configuration's time for a head to callers' requests.

        Other VMs are not callers: they send heads over links that may fail.
        """
        self._shared.configuration_store.add_change_listener(
            lambda configuration: server.set_head_seconds(
                configuration.limits.head_seconds
            )
        )

    def _make_relay(self, directory, gossip):
        fleet_limits = self._settings.fleet_limits
        shared = self._shared
        suspects = segment_suspects.SegmentSuspects(
            shared.crash_suspects,
            lambda key: _is_first_entry_vm(key, directory),
        )
        activity = endpoint_activity.EndpointActivity()
        context = relay_context.RelayContext(
            data_centre=self._settings.data_centre,
            weights_change_seconds=fleet_limits.weights_change_seconds,
            is_discovery_done=self._is_discovery_done,
            configuration_store=shared.configuration_store,
            dialect=self._dialect,
            directory=directory,
            engine_weights=shared.engine_weights,
            loads=shared.loads,
            prefill_shares=fleet_loads.PrefillShares(),
            push_loads=gossip.push,
            prefix_cache_index=shared.prefix_cache_index,
            kv_stores=shared.kv_stores,
            activity=activity,
            liveness=endpoint_liveness.EndpointLiveness(
                self._dialect, activity
            ),
            ended_endpoints=ended_endpoints.EndedEndpoints(
                self._dialect, directory
            ),
            health=shared.health,
            availability=shared.availability,
            rate_limits=shared.rate_limits,
            reachability=shared.reachability,
            peers=shared.peers,
            wait_queue=shared.wait_queue,
            retry_budget=fleet_retry_budget.FleetRetryBudget(
                fleet_limits.retry_ratio,
                fleet_limits.retry_slack,
                fleet_limits.retry_window_seconds,
                lambda: len(directory.entry_vms()),
            ),
            crash_suspects=shared.crash_suspects,
            segment_suspects=suspects,
            stream_resumption=shared.stream_resumption,
            pool=shared.pool,
            gate=self._gate,
            tracer=self._tracer,
            metrics=shared.metrics,
            route_durations=stop_admission.RouteDurations(),
            buffers=shared.buffers,
            rollouts=shared.rollouts,
            load_features=self._settings.load_features,
            overload=self._make_overload_control(directory),
            engine_speeds=shared.engine_speeds,
        )
        own_selector = selector.Selector(context)
        self._explainer = explainer.Explainer(
            context,
            own_selector,
            shared.quota,
            lambda service: shared.store.fleet.rollouts_by_service.get(
                service
            ),
        )
        return relay.Relay(
            context,
            admission.Admission(
                shared.configuration_store,
                self._dialect,
                shared.quota,
                shared.crash_suspects,
                suspects,
                _choose_share,
            ),
            own_selector,
            vm_forwarder.VmForwarder(
                context,
                shared.peers,
                shared.peer_pool,
                self._settings.link_secret,
            ),
        )

    def _make_overload_control(self, directory):
        """Return the ``OverloadControl``, or None if it is switched off."""
        if not self._settings.load_features.controls_admission:
            return None
        return overload_control.OverloadControl(
            count_vms=lambda: len(directory.entry_vms())
        )

    def _describe_vm(self):
        return planned_work.log_fields(
            self._gate, self._shared.configuration_store
        )

    def _is_discovery_done(self):
        return clocks.now() - self._started_at > SETTLE_SECONDS

    def _report_readiness(self, request):
        """Tell the load balancer whether to send connections here."""
        del request
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        is_configured = (
            self._shared.configuration_store.configuration is not None
        )
        if self._gate.is_ready and is_configured:
            status = http.HTTPStatus.OK
        return gateway.ApiResponse(status.value, status.phrase)

    def _make_metrics_handler(self):
        """Return the handler of the listener that operators reach."""
        explain = self._explainer.explain if self._explainer else None
        api = explanation_api.ExplanationApi(
            explain, self._settings.link_secret
        )

        def handle(request):
            if request.path == explanation_api.PATH:
                return api.handle(request)
            return self._report_metrics(request)

        return handle

    def _report_metrics(self, request):
        del request
        self._gauge_followed_state()
        buffers = self._shared.buffers
        self._shared.metrics.gauge('buffered_bytes', buffers.used_bytes)
        self._shared.metrics.gauge('buffered_bytes_limit', buffers.total_bytes)
        return gateway.ApiResponse(
            http.HTTPStatus.OK.value,
            http.HTTPStatus.OK.phrase,
            self._shared.metrics.text(),
            'text/plain; version=0.0.4',
        )

    def _gauge_followed_state(self):
        shared = self._shared
        configuration = shared.configuration_store.configuration
        shared.metrics.gauge(
            'configuration_committed', shared.store.fleet.configuration.version
        )
        shared.metrics.gauge(
            'configuration_in_force',
            configuration.version if configuration else 0,
        )
        shared.metrics.gauge(
            'state_listener_failures',
            shared.store.failed_listener_calls
            + shared.configuration_store.failed_listener_calls,
        )


def _choose_share(route):
    """Return a ``WeightedService`` of a route, at random by weight."""
    weights = [share.weight for share in route.weighted_services]
    return random.choices(route.weighted_services, weights)[0]


def _is_first_entry_vm(key, directory):
    """Return whether a key ranks this VM first among the entry VMs."""
    ranked = rendezvous.rank(key, directory.entry_vms())
    return bool(ranked) and ranked[0].id == directory.own_vm.id
