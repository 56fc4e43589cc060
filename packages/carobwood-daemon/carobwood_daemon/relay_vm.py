"""A VM that relays opaque requests, or controls VMs that do."""

import http
import random
import sys
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood import timer as timers

from .entry import gate as gates
from .limits import allowance as allowances
from .membership import arbiter
from .membership import directory as directories
from .membership import endpoint_keeper
from .membership import fleet_handler
from .membership import follower as followers
from .membership import gossip as gossips
from .membership import incarnations
from .membership import keepers
from .membership import link
from .membership import link_server
from .membership import placement_keeper
from .membership import withdrawals as withdrawal_sets
from .observe import metrics as metric_clients
from .observe import tracing
from .orders import turn
from .orders import weights_rollout
from .relay import admission
from .relay import control
from .relay import engine_caches
from .relay import engine_weights
from .relay import fleet_loads
from .relay import gateway
from .relay import health
from .relay import http_server
from .relay import kv_stores
from .relay import news
from .relay import parts as relay_parts
from .relay import quota
from .relay import relay
from .relay import retries
from .relay import selector
from .relay import state
from .relay import upstream
from .relay import waiting
from .replication import data_folder
from .replication import proposer as proposers
from .replication import state_store
from .replication import voter as voters
from .routing import placements as placement_tables
from .routing import suspects as suspect_tables

SWITCH_SECONDS = 0.0005
# Loads and spending of entry VMs are needed by each other soon.
ENTRY_GOSSIP_SECONDS = 0.4
GOSSIP_SECONDS = 1.0
POOL_SECONDS = 1.0
CONTACT_SECONDS = 0.25
# Time in which a VM that starts hears of the endpoints.
SETTLE_SECONDS = 2.0
# Silence of the control VMs after which this VM counts as cut off.
CUT_OFF_SECONDS = 2.0
RELAY_THREADS = 160
CONTROL_THREADS = 48
SERVICE_THREADS = 4
# Time at the end of a stop that is left for what closes last.
CLOSING_SECONDS = 1.0
# Time for late callers after the balancer has seen it; what is taken
# later might last longer than the stop.
SERVING_SECONDS = 0.4


class RelayVm:
    """All parts of a VM that relays or controls, from its settings."""

    def __init__(self, settings, dialect, make_control_api):
        """Build the parts.

        Args:
            settings: the ``RelaySettings``.
            dialect: the ``Dialect`` of the platform.
            make_control_api: called with the ``Control``; returns a
                function from a ``ServiceRequest`` to a ``ServiceReply``.
        """
        self._started_at = clocks.now()
        self._settings = settings
        self._dialect = dialect
        self._make_control_api = make_control_api
        self._timer = timers.Timer()
        self._metrics = metric_clients.PrometheusMetrics()
        self._tracer = tracing.make_tracer(
            settings.trace.export, settings.trace.target, settings.vm_id
        )
        self._gate = gates.Gate(RELAY_THREADS)
        self._links = link.Links(
            settings.link_secret, settings.link_listen.host
        )
        self._folder = None
        if settings.data_folder:
            self._folder = data_folder.DataFolder(settings.data_folder)
        self._build_replication()
        self._build_knowledge()
        self._build_membership()
        self._saving_keepers = self._make_saving_keepers()
        self._keepers = self._make_keepers()
        self._servers = self._make_servers()

    @property
    def voter(self):
        """The ``Voter``, or None on a VM without a data folder."""
        return self._voter

    @property
    def loads(self):
        """The ``FleetLoads``."""
        return self._loads

    def start(self):
        """Start serving."""
        sys.setswitchinterval(SWITCH_SECONDS)
        self._timer.start()
        for keeper in self._saving_keepers:
            keeper.load()
        self._proposer.start()
        if self._voter is not None:
            self._voter.start(self._timer)
            if self._settings.is_first_start:
                self._voter.found_together(self._settings.seeds)
        self._link_server.start()
        self._gossip.start(self._timer)
        self._follower.start()
        for keeper in self._keepers:
            keeper.start()
        self._timer.subscribe(CONTACT_SECONDS, self._note_contact)
        self._timer.subscribe(POOL_SECONDS, self._pool.drop_expired)
        for server in self._servers:
            server.start()
        events.emit(
            events.DAEMON_STARTED,
            vm=self._settings.vm_id,
            data_centre=self._settings.data_centre,
            seeds=list(self._settings.seeds),
            first=self._settings.is_first_start,
        )

    def stop(self):
        """Stop gracefully: no request in flight is cut.

        Returns:
            Whether every request in flight has finished.
        """
        started_at = clocks.now()
        events.emit(events.DAEMON_STOPPING, vm=self._settings.vm_id)
        self._gate.announce_stop()
        if self._voter is not None:
            self._voter.stop()
        if self._settings.caller_listen is not None:
            threading.Event().wait(self._settings.balancer_seconds)
        ends_at = started_at + self._settings.bounds.stop_seconds
        self._gate.await_idle(SERVING_SECONDS)
        left = ends_at - CLOSING_SECONDS - clocks.now()
        drained = self._gate.drain(max(0.0, left))
        if not drained:
            events.emit(events.DRAIN_TIMED_OUT, in_flight=self._gate.in_flight)
        self._close()
        events.emit(events.DAEMON_STOPPED, vm=self._settings.vm_id)
        return drained

    def _close(self):
        for server in self._servers:
            server.stop()
        for keeper in self._keepers:
            keeper.stop()
        self._follower.stop()
        self._proposer.stop()
        self._gossip.stop()
        self._link_server.stop()
        self._links.close()
        self._timer.stop()
        self._tracer.shut_down()
        if self._folder is not None:
            self._folder.close()

    def add_seeds(self, seeds):
        """Take over VMs to ask from changed settings."""
        self._directory.add_seeds(seeds)
        events.emit(events.SETTINGS_RELOADED, seeds=list(seeds))

    def _build_replication(self):
        settings = self._settings
        self._store = state_store.StateStore()
        own_vm = directories.Vm(
            settings.vm_id,
            settings.data_centre,
            str(settings.link_listen),
            '',
            incarnations.new_incarnation(),
            self._folder is not None,
        )
        self._directory = directories.Directory(own_vm, settings.seeds)
        self._voter = None
        if self._folder is not None:
            self._voter = voters.Voter(
                self._folder,
                settings.vm_id,
                str(settings.link_listen),
                self._links,
                self._store,
                settings.replica_options,
            )
        self._proposer = proposers.Proposer(
            self._voter, self._links, self._directory
        )

    def _build_knowledge(self):
        bounds = self._settings.bounds
        self._weights = engine_weights.EngineWeights()
        self._loads = fleet_loads.FleetLoads()
        self._quota = quota.FleetQuota(
            bounds.quota_tolerance, self._settings.is_first_start
        )
        self._waiting = waiting.WaitingRoom()
        self._placements = placement_tables.Placements()
        self._suspects = suspect_tables.Suspects()
        self._pool = upstream.UpstreamPool()
        self._stores = kv_stores.KvStores(self._dialect)
        self._state = state.RelayState(
            self._store, self._dialect, self._weights
        )
        self._state.on_change(
            lambda configuration: self._quota.adopt(configuration.customers)
        )
        self._news = news.RelayNews(
            self._loads,
            self._quota,
            self._weights,
            self._settings.caller_listen is not None,
            self._waiting.wake,
        )

    def _build_membership(self):
        settings = self._settings
        self._gossip = gossips.Gossip(
            self._directory,
            withdrawal_sets.Withdrawals(),
            self._suspects,
            self._placements,
            self._store,
            self._links,
            topics=(self._news,),
            periods=gossips.Periods(
                ENTRY_GOSSIP_SECONDS, GOSSIP_SECONDS, self._is_near
            ),
        )
        self._gossip.fleet_id = self._fleet_id
        if self._voter is not None:
            self._store.on_change(lambda fleet: self._gossip.spread())
        self._directory.on_endpoint_change(self._note_endpoint)
        self._follower = followers.Follower(
            self._store, self._directory, self._links, self._is_member
        )
        self._gossip.on_newer_version = self._follower.note_newer
        handler = fleet_handler.FleetHandler(
            self._voter,
            self._store,
            self._gossip,
            allowances.Allowance(1),
            arbiter.Holds(),
            self._suspects,
        )
        self._link_server = link_server.LinkServer(
            settings.link_listen, settings.link_secret, handler
        )

    def _make_saving_keepers(self):
        if self._folder is None:
            return []
        return [
            endpoint_keeper.EndpointKeeper(self._folder, self._directory),
            placement_keeper.PlacementKeeper(self._folder, self._placements),
        ]

    def _make_keepers(self):
        made = list(self._saving_keepers)
        if self._settings.caller_listen is not None:
            made.append(
                keepers.EndpointProber(
                    self._directory, self._placements.forget, self._answers
                )
            )
            made.append(
                engine_caches.EngineCaches(
                    self._settings.vm_id,
                    self._state,
                    self._directory,
                    self._news,
                    self._dialect,
                    self._placements,
                )
            )
        if self._voter is not None:
            made.append(
                keepers.Joiner(self._voter, self._directory, self._links)
            )
            made.append(
                weights_rollout.WeightsRollout(
                    self._voter,
                    turn.OrdersTurn(
                        self._voter,
                        self._store,
                        self._settings.vm_id,
                        self._settings.bounds.lease_seconds,
                    ),
                    self._state,
                    self._directory,
                    self._weights,
                    self._dialect,
                    weights_rollout.RolloutOptions(
                        self._settings.vm_id,
                        self._gossip.spread,
                    ),
                )
            )
        return made

    def _make_servers(self):
        settings = self._settings
        servers = []
        if settings.caller_listen is not None:
            server = http_server.HttpServer(
                settings.caller_listen,
                gateway.relaying(self._make_relay()),
                RELAY_THREADS,
            )
            self._state.on_change(self._stores.adopt)
            self._state.on_change(
                lambda configuration: server.set_limits(
                    configuration.limits.header_bytes,
                    configuration.limits.body_bytes,
                )
            )
            servers.append(server)
        services = [
            (settings.ready_listen, self._answer_ready, SERVICE_THREADS),
            (settings.metrics_listen, self._answer_metrics, SERVICE_THREADS),
        ]
        if settings.control_listen is not None:
            api = self._make_control_api(
                control.Control(
                    self._proposer,
                    self._directory,
                    self._dialect,
                    self._weights,
                )
            )
            services.append((settings.control_listen, api, CONTROL_THREADS))
        for address, handle, threads in services:
            if address is not None:
                servers.append(
                    http_server.HttpServer(
                        address, gateway.serving(handle), threads
                    )
                )
        return servers

    def _make_relay(self):
        bounds = self._settings.bounds
        parts = relay_parts.RelayParts(
            data_centre=self._settings.data_centre,
            weights_seconds=bounds.weights_seconds,
            is_settled=self._is_settled,
            state=self._state,
            dialect=self._dialect,
            directory=self._directory,
            weights=self._weights,
            loads=self._loads,
            reading=fleet_loads.ReadingShares(),
            spread_loads=self._gossip.spread_near,
            placements=self._placements,
            stores=self._stores,
            health=health.Health(),
            waiting=self._waiting,
            retries=retries.RetryAllowance(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_seconds,
                self._news.entry_vm_count,
            ),
            suspects=self._suspects,
            pool=self._pool,
            gate=self._gate,
            tracer=self._tracer,
            metrics=self._metrics,
        )
        return relay.Relay(
            parts,
            admission.Admission(
                self._state,
                self._dialect,
                self._quota,
                self._suspects,
                _draw_share,
            ),
            selector.Selector(parts),
        )

    def _answer_ready(self, request):
        del request
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if self._gate.is_ready and self._state.configuration is not None:
            status = http.HTTPStatus.OK
        return gateway.ServiceReply(status.value, status.phrase)

    def _answer_metrics(self, request):
        del request
        return gateway.ServiceReply(
            http.HTTPStatus.OK.value,
            http.HTTPStatus.OK.phrase,
            self._metrics.text(),
            'text/plain; version=0.0.4',
        )

    def _answers(self, endpoint):
        """Tell whether a silent endpoint accepts a connection."""
        try:
            self._pool.take(endpoint.address, False).close()
        except errors.EndpointUnreachable as error:
            events.emit(
                events.ENDPOINT_UNREACHED,
                endpoint=endpoint.id,
                reason=error.detail,
            )
            return False
        return True

    def _note_endpoint(self, endpoint):
        if endpoint.weights_version:
            self._weights.note_version(endpoint, int(endpoint.weights_version))
        self._waiting.wake()

    def _is_settled(self):
        return clocks.now() - self._started_at > SETTLE_SECONDS

    def _is_near(self, message):
        both_enter = self._settings.caller_listen is not None
        return both_enter and bool(message.takes_callers)

    def _fleet_id(self):
        return self._voter.fleet_id if self._voter is not None else ''

    def _is_member(self):
        if self._voter is None or not self._voter.is_running:
            return False
        replica = self._voter.replica
        in_contact = replica.contact_age() < followers.STALE_CONTACT
        return replica.is_member and in_contact

    def _note_contact(self):
        if self._voter is not None and self._voter.is_running:
            replica = self._voter.replica
            if replica.is_leader:
                self._store.note_contact(replica.contact_age())
        age = self._store.contact_age()
        self._quota.note_contact(age < CUT_OFF_SECONDS)


def _draw_share(route):
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0]
