"""Builds, starts and stops the components of a VM's daemon."""

import ipaddress
import sys
import threading

from carobwood import clocks
from carobwood import events
from carobwood import threads
from carobwood import timer as timers

from .entry import at_most_once
from .entry import authentication
from .entry import caller_app
from .entry import engine_liveness
from .entry import hang_detector
from .entry import listener
from .entry import request_gate
from .entry import server_stop
from .limits import buffer_budget
from .limits import endpoint_permits
from .limits import rate_limiter
from .limits import token_borrower
from .membership import cache_watchers
from .membership import contact_persister
from .membership import directory as directories
from .membership import endpoint_locks
from .membership import fleet_handler
from .membership import gossip as gossips
from .membership import incarnations
from .membership import link
from .membership import link_server
from .membership import membership_status
from .membership import periodic_tasks
from .membership import prefix_cache_persister
from .membership import stream_origin_links
from .membership import withdrawals as withdrawal_sets
from .observe import metrics as metric_clients
from .observe import tracing
from .operators import operator_app
from .operators import porcelain
from .operators import porcelain_context
from .orders import order_sender
from .orders import rollout
from .replication import data_folder
from .replication import proposer as proposers
from .replication import replica_runner as replica_runners
from .replication import state_store
from .routing import admission
from .routing import cache_events
from .routing import circuit_breakers
from .routing import crash_suspects
from .routing import endpoint_loads
from .routing import endpoint_selector
from .routing import policies
from .routing import prefill_time
from .routing import prefix_cache_index
from .routing import retry_budget
from .routing import software_versions
from .routing import stream_origins

# Requests that the operators' listener serves at once.
OPERATOR_THREADS = 16
# Threads of the callers' listener beyond ``max_requests``; they answer
# health checks and refuse requests while that many are being served.
EXTRA_CALLER_THREADS = 8
# Time at a stop to store the state; only a disk that hangs needs longer.
STORE_SECONDS = 5.0
# Time at a stop to export the last spans.
EXPORT_SECONDS = 5.0
# Interval after which a thread that waits for the GIL makes the running one
# release it; CPython's default is 5 ms.
SWITCH_INTERVAL_SECONDS = 0.0002


class Daemon:
    """The daemon of one VM."""

    def __init__(self, settings):
        """Build the components without starting them.

        Args:
            settings: the checked ``Settings``.
        """
        self._settings = settings
        self._timer = timers.Timer()
        self._data_folder = None
        if settings.data_folder:
            self._data_folder = data_folder.DataFolder(settings.data_folder)
        self._links = link.Links(
            settings.link_secret, _source_host(settings.link_listen)
        )
        self._store = state_store.StateStore()
        self._withdrawals = withdrawal_sets.Withdrawals(self._data_folder)
        self._gate = request_gate.RequestGate(settings.max_requests)
        self._build_membership()
        self._build_request_handling()
        self._listeners = []

    def start(self):
        """Start all components and the listeners.

        Raises:
            CarobwoodError: a component could not start.
            OSError: an address or a file could not be opened. After
                either error no listener runs and the process can exit.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
        try:
            self._start_components()
        except BaseException:
            # Threads of the listeners would keep the process alive.
            server_stop.stop_together(
                self._listeners, clocks.now(), least_seconds=0.0
            )
            raise

    def _start_components(self):
        self._timer.start()
        self._proposer.start()
        self._claim_settler.start()
        for persister in self._persisters:
            persister.load()
        if self._replica_runner is not None:
            self._replica_runner.start(self._timer)
        self._link_server.start()
        self._gossip.start(self._timer)
        self._state_poller.start()
        self._hang_detector.start(self._timer)
        for task in self._periodic_tasks:
            task.start()
        self._timer.subscribe(
            gossips.CHECK_PERIOD_SECONDS, self._membership_status.note_contact
        )
        self._build_listeners()
        for server in self._listeners:
            server.start()
        events.emit(
            events.DAEMON_STARTED,
            vm=self._settings.vm_id,
            data_centre=self._settings.data_centre,
            caller=str(self._settings.caller_listen),
        )

    def stop(self, asked_at=None):
        """Stop after the requests in flight, within the drain timeout.

        The VM reports not ready for ``balancer_delay`` seconds while it
        still serves new requests. Then it refuses new requests and waits
        up to ``drain_timeout`` seconds for those in flight.

        Args:
            asked_at: time by ``clocks.now`` at which the stop was asked
                for, maybe during the start; None for now.

        Returns:
            Whether all requests in flight have finished.
        """
        events.emit(events.DAEMON_STOPPING, vm=self._settings.vm_id)
        self._gate.mark_not_ready()
        asked_at = clocks.now() if asked_at is None else asked_at
        served_until = asked_at + self._settings.balancer_delay
        threading.Event().wait(max(0.0, served_until - clocks.now()))
        ends_at = clocks.now() + self._settings.drain_timeout
        drained = self._gate.drain(self._settings.drain_timeout)
        if not drained:
            events.emit(events.DRAIN_TIMED_OUT, in_flight=self._gate.in_flight)
        server_stop.stop_together(
            self._listeners, ends_at, listener.MIN_ANSWER_SECONDS
        )
        for task in self._periodic_tasks:
            task.stop()
        self._state_poller.stop()
        has_stored = self._store_state()
        self._gossip.stop()
        self._link_server.stop()
        self._links.close()
        self._timer.stop()
        self._tracer.shut_down(EXPORT_SECONDS)
        if self._data_folder is not None and has_stored:
            self._data_folder.close()
        events.emit(events.DAEMON_STOPPED, vm=self._settings.vm_id)
        return drained

    def _store_state(self):
        """Store state and stop the replica, within ``STORE_SECONDS``.

        Returns:
            Whether both have ended.
        """
        stop = threads.StepThread(self._stop_replica, 'replica-stop')
        stop.start()
        stop.join(STORE_SECONDS)
        return not stop.is_alive()

    def _stop_replica(self):
        for persister in self._persisters:
            persister.save()
        self._proposer.stop()
        if self._replica_runner is not None:
            self._replica_runner.stop()

    def _build_membership(self):
        settings = self._settings
        own_vm = directories.Vm(
            settings.vm_id,
            settings.data_centre,
            settings.link_advertise,
            settings.operator_advertise,
            incarnations.new_incarnation(),
            self._data_folder is not None,
        )
        self._directory = directories.Directory(own_vm, settings.peers)
        self._persisters = []
        self._replica_runner = None
        if self._data_folder is not None:
            self._replica_runner = replica_runners.ReplicaRunner(
                self._data_folder,
                settings.vm_id,
                settings.link_advertise,
                self._links,
                self._store,
                settings.replica_options,
                self._directory.data_centres_by_address,
            )
        self._proposer = proposers.Proposer(
            self._replica_runner, self._links, self._directory
        )
        self._crash_suspects = crash_suspects.CrashSuspects()
        self._prefix_cache_index = prefix_cache_index.PrefixCacheIndex()
        self._gossip = gossips.Gossip(
            self._directory,
            self._withdrawals,
            self._crash_suspects,
            self._prefix_cache_index,
            self._store,
            self._links,
        )
        self._membership_status, self._state_poller = (
            membership_status.follow_fleet(
                self._replica_runner,
                self._store,
                self._directory,
                self._links,
                self._gossip,
            )
        )
        self._lock_table = endpoint_locks.EndpointLockTable()
        self._rate_limiter = rate_limiter.RateLimiter(
            settings.vm_slots,
            token_borrower.TokenBorrower(self._directory, self._links),
        )
        handler = fleet_handler.FleetHandler(
            self._replica_runner,
            self._store,
            self._gossip,
            self._rate_limiter,
            self._lock_table,
            self._crash_suspects,
            endpoint_permits.PermitTable(),
            stream_origin_links.StreamOriginKeeper(
                stream_origins.StreamOriginTable(),
                software_versions.SoftwareVersionHistory(
                    self._directory, lambda: True
                ),
                self._directory.own_vm.incarnation,
            ),
        )
        self._link_server = link_server.LinkServer(
            settings.link_listen, settings.link_secret, handler
        )

    def _build_request_handling(self):
        settings = self._settings
        self._tracer = tracing.make_tracer(
            settings.trace_export, settings.trace_target, settings.vm_id
        )
        self._metrics = metric_clients.Metrics()
        if settings.statsd is not None:
            self._metrics = metric_clients.StatsdMetrics(settings.statsd)
        self._claim_settler = at_most_once.ClaimSettler(self._proposer)
        self._loads = endpoint_loads.EndpointLoads()
        self._circuit_breakers = circuit_breakers.CircuitBreakers()
        self._hang_detector = hang_detector.HangDetector(
            self._circuit_breakers
        )
        self._prefill_rates = prefill_time.PrefillTimeEstimator()
        self._cache_events = cache_events.CacheEvents(self._prefix_cache_index)
        self._store.add_change_listener(self._apply_fleet_state)
        self._withdrawals.on_addition(self._gate.mark_withdrawn)
        self._periodic_tasks = [
            periodic_tasks.Registrar(
                self._directory, self._store, self._proposer
            ),
            periodic_tasks.WithdrawalProposer(
                self._withdrawals, self._store, self._proposer
            ),
            periodic_tasks.SilentEndpointProber(
                self._directory, self._forget_endpoint
            ),
            cache_watchers.CacheWatchers(
                self._directory, self._store, self._cache_events
            ),
        ]
        if self._replica_runner is not None:
            self._persisters = [
                contact_persister.ContactPersister(
                    self._data_folder, self._store
                ),
                prefix_cache_persister.PrefixCachePersister(
                    self._data_folder, self._prefix_cache_index
                ),
            ]
            self._periodic_tasks += self._persisters
            self._periodic_tasks += [
                periodic_tasks.Joiner(
                    self._replica_runner, self._directory, self._links
                ),
                order_sender.OrderSender(
                    self._replica_runner,
                    self._store,
                    self._directory,
                    self._proposer,
                ),
                rollout.Rollout(
                    self._replica_runner,
                    self._store,
                    self._directory,
                    self._proposer,
                ),
            ]

    def _build_listeners(self):
        settings = self._settings
        buffers = buffer_budget.BufferBudget(
            buffer_budget.budget_bytes(settings.memory_limit_bytes),
            self._metrics,
        )
        caller_application = caller_app.CallerApplication(
            self._caller_services()
        )
        self._listeners.append(
            listener.Listener(
                settings.caller_listen,
                caller_application.handle,
                settings.max_requests + EXTRA_CALLER_THREADS,
                settings.tls,
                buffers,
            )
        )
        operator_verbs = porcelain.Porcelain(self._porcelain_context())
        operator_application = operator_app.OperatorApplication(
            operator_verbs, settings.operator_tokens, settings.announce_token
        )
        self._listeners.append(
            listener.Listener(
                settings.operator_listen,
                operator_application.handle,
                OPERATOR_THREADS,
                settings.tls,
                buffers,
            )
        )

    def _caller_services(self):
        settings = self._settings
        return caller_app.CallerAppContext(
            environment=settings.environment,
            max_body_bytes=settings.max_body_bytes,
            store=self._store,
            authenticator=authentication.Authenticator(
                self._store, self._withdrawals, settings.environment
            ),
            gate=self._gate,
            rate_limiter=self._rate_limiter,
            endpoint_selector=endpoint_selector.EndpointSelector(
                self._directory,
                self._store,
                self._loads,
                self._circuit_breakers,
                self._prefix_cache_index,
                self._prefill_rates,
                settings.data_centre,
                policies.POLICIES_BY_NAME[settings.choice](),
            ),
            loads=self._loads,
            circuit_breakers=self._circuit_breakers,
            admission=admission.Admission(self._loads),
            retry_budget=retry_budget.RetryBudget(),
            prefix_cache_index=self._prefix_cache_index,
            hang_detector=self._hang_detector,
            engine_liveness=engine_liveness.EngineLiveness(),
            cache_events=self._cache_events,
            prefill_times=self._prefill_rates,
            crash_suspects=self._crash_suspects,
            gossip=self._gossip,
            endpoint_locks=endpoint_locks.EndpointLocks(
                self._lock_table,
                self._crash_suspects,
                self._directory,
                self._links,
            ),
            proposer=self._proposer,
            claim_settler=self._claim_settler,
            tracer=self._tracer,
            metrics=self._metrics,
        )

    def _porcelain_context(self):
        return porcelain_context.PorcelainContext(
            self._store,
            self._replica_runner,
            self._proposer,
            self._directory,
            self._withdrawals,
            self._gossip,
            self._gate,
            self._links,
        )

    def _forget_endpoint(self, endpoint):
        self._prefix_cache_index.forget(endpoint)
        self._cache_events.forget(endpoint)

    def _apply_fleet_state(self, fleet):
        # A change that this VM has committed as the leader proves contact
        # with a quorum, as a heartbeat does.
        self._membership_status.note_contact()
        self._gate.mark_withdrawn(fleet.withdrawn_digests)
        document = fleet.document(self._settings.environment)
        if document is not None:
            self._rate_limiter.update_customers(document)


def _source_host(address):
    # Connections cannot be made from a wildcard address; with an empty
    # host the operating system chooses the source address.
    is_wildcard = ipaddress.ip_address(address.host).is_unspecified
    return '' if is_wildcard else address.host
