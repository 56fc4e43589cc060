"""An entry VM or a control VM of the relay.

An entry VM relays callers' requests to endpoints and treats them as
opaque. A control VM holds a replica of the fleet's state and controls the
entry VMs.
"""

import sys

from carobwood import clocks
from carobwood import events
from carobwood import timer as timers

from . import relay_membership
from . import relay_servers
from . import relay_stop
from . import relay_tasks
from .entry import request_gate
from .limits import allocator
from .limits import buffer_budget
from .limits import endpoint_permits
from .limits import permit_client
from .limits import rate_limiter
from .membership import endpoint_locks
from .membership import fleet_handler
from .membership import link
from .membership import link_server
from .membership import membership_status
from .membership import stream_origin_links
from .membership import vm_calls
from .observe import process_resources as resources
from .observe import tracing
from .relay import engine_speed_reporter
from .relay import shared_components
from .relay import stream_resumption
from .replication import data_folder
from .rollouts import operations
from .rollouts import reporter
from .routing import software_versions
from .routing import stream_origins

# Thread switch interval of the Python interpreter, whose default is 5 ms.
SWITCH_INTERVAL_SECONDS = 0.0005
# Period of closing expired connections to endpoints.
POOL_CLEANUP_PERIOD_SECONDS = 1.0
# Period of checking the contact with the control VMs.
CONTACT_CHECK_PERIOD_SECONDS = 0.25
# Time without contact with control VMs after which this VM counts as cut off.
CUT_OFF_AFTER_SECONDS = 2.0


class RelayVm:
    """All parts of an entry VM or a control VM, built from its settings.

    Attributes:
        silent_endpoint_prober: the ``SilentEndpointProber`` of an entry VM,
            or None.
    """

    def __init__(self, settings, dialect, make_control_api, buffers=None):
        """Build the parts.

        Args:
            settings: the ``RelaySettings``.
            dialect: the ``Dialect`` of the platform.
            make_control_api: called with the ``ControlOperations``; returns a
                function from an ``ApiRequest`` to an ``ApiResponse``.
            buffers: the ``BufferBudget`` of this VM, or None for one of the
                size that the settings allow.
        """
        self.silent_endpoint_prober = None
        self._settings = settings
        self._dialect = dialect
        self._buffers = buffers or buffer_budget.BufferBudget(
            buffer_budget.budget_bytes(settings.memory_limit_bytes)
        )
        self._timer = timers.Timer()
        self._tracer = tracing.make_tracer(
            settings.trace.export, settings.trace.target, settings.vm_id
        )
        self._gate = request_gate.RequestGate(relay_servers.MAX_REQUESTS)
        self._links = link.Links(
            settings.link_secret, settings.link_listen.host
        )
        self._data_folder = None
        if settings.data_folder:
            self._data_folder = data_folder.DataFolder(settings.data_folder)
        replicated = relay_membership.make_replicated_state(
            settings, self._data_folder, self._links
        )
        self._store = replicated.store
        self._directory = replicated.directory
        self._replica_runner = replicated.replica_runner
        self._proposer = replicated.proposer
        calls = vm_calls.VmCalls(self._directory, self._links)
        self._build_stream_resumption(calls)
        self._permit_table = endpoint_permits.PermitTable()
        self._shared = shared_components.make_shared_components(
            settings,
            dialect,
            self._store,
            permit_client.PermitClient(self._permit_table, calls).request,
            self._stream_resumption,
            self._directory,
            self._buffers,
        )
        self._resources = resources.ResourceWatch(
            self._shared.metrics, settings.memory_limit_bytes, self._buffers
        )
        self._rollout_owner = relay_tasks.make_rollout_owner(
            settings, self._replica_runner, self._directory, self._shared
        )
        self._build_membership()
        self._persisters = self._make_persisters()
        self._periodic_tasks = self._make_periodic_tasks()
        server_factory = relay_servers.ServerFactory(
            settings, dialect, self._shared, self._gate, self._tracer
        )
        self._servers = server_factory.create_servers(
            self._directory,
            self._gossip,
            self._proposer,
            make_control_api,
            self._make_rollout_operations(),
        )

    @property
    def replica_runner(self):
        """The ``ReplicaRunner``, or None on a VM without a data folder."""
        return self._replica_runner

    @property
    def directory(self):
        """The ``Directory`` of VMs and endpoints."""
        return self._directory

    @property
    def gate(self):
        """The ``RequestGate``."""
        return self._gate

    @property
    def pool(self):
        """The ``ConnectionPool`` of connections to endpoints."""
        return self._shared.pool

    @property
    def peers(self):
        """The ``ForwardingPeers``."""
        return self._shared.peers

    @property
    def reachability(self):
        """The ``EndpointReachability``."""
        return self._shared.reachability

    @property
    def loads(self):
        """The ``FleetLoads``."""
        return self._shared.loads

    def start(self):
        """Restore saved state, start all parts and begin serving."""
        sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
        allocator.return_large_blocks()
        self._timer.start()
        for persister in self._persisters:
            persister.load()
        self._proposer.start()
        if self._replica_runner is not None:
            self._replica_runner.start(self._timer)
            if self._settings.is_first_start:
                self._replica_runner.found_with_peers(self._settings.seeds)
        self._link_server.start()
        self._gossip.start(self._timer)
        self._state_poller.start()
        for task in self._periodic_tasks:
            task.start()
        if self._settings.caller_listen is not None:
            self._stream_reporter.start()
            self._start_engine_speed_reporter()
        self._timer.subscribe(
            software_versions.SAMPLE_PERIOD_SECONDS,
            self._software_versions.sample,
        )
        self._timer.subscribe(
            resources.SAMPLE_PERIOD_SECONDS, self._resources.sample
        )
        self._timer.subscribe(
            CONTACT_CHECK_PERIOD_SECONDS, self._update_contact
        )
        self._timer.subscribe(
            POOL_CLEANUP_PERIOD_SECONDS, self._shared.close_expired_connections
        )
        for server in self._servers:
            server.start()
        events.emit(
            events.DAEMON_STARTED,
            vm=self._settings.vm_id,
            incarnation=self._directory.own_vm.incarnation,
            data_centre=self._settings.data_centre,
            seeds=list(self._settings.seeds),
            first=self._settings.is_first_start,
        )

    def _start_engine_speed_reporter(self):
        if self._shared.engine_speeds is None:
            return
        reporter = engine_speed_reporter.EngineSpeedReporter(
            self._shared.engine_speeds,
            self._shared.loads,
            self._directory,
            self._shared.metrics,
        )
        self._timer.subscribe(
            engine_speed_reporter.SAMPLE_PERIOD_SECONDS, reporter.sample
        )

    def stop(self, asked_at=None):
        """Stop gracefully and let requests in flight finish.

        The VM first reports that it is not ready and keeps serving until
        the balancer has noticed. It then waits for the requests in flight
        for as long as the stop time of the settings allows.

        Args:
            asked_at: time by ``clocks.now`` at which the stop was asked
                for, maybe during the start; None for now.

        Returns:
            Whether every request in flight has finished.
        """
        stop = relay_stop.RelayStop(
            self._settings,
            self._gate,
            self._servers,
            self._replica_runner,
            self._data_folder,
            self._close,
        )
        return stop.run(asked_at)

    def _close(self, export_ends_at):
        for task in self._periodic_tasks:
            task.stop()
        self._stream_reporter.stop()
        self._state_poller.stop()
        self._proposer.stop()
        self._gossip.stop()
        self._link_server.stop()
        self._links.close()
        self._shared.close_connections()
        self._dialect.close()
        self._timer.stop()
        self._tracer.shut_down(max(0.0, export_ends_at - clocks.now()))

    def add_seeds(self, seeds):
        """Add seed addresses from reloaded settings.

        Args:
            seeds: link addresses of VMs to contact.
        """
        self._directory.add_seeds(seeds)
        events.emit(events.SETTINGS_RELOADED, seeds=list(seeds))

    def _build_stream_resumption(self, calls):
        self._software_versions = software_versions.SoftwareVersionHistory(
            self._directory, self._is_in_touch
        )
        # On an entry VM the streams that began there, on a control VM those
        # that entry VMs have reported.
        self._stream_origins = stream_origins.StreamOriginTable()
        self._stream_resumption = stream_resumption.StreamResumption(
            self._stream_origins,
            stream_origin_links.StreamOriginFinder(calls),
            self._software_versions,
        )
        self._stream_reporter = stream_origin_links.StreamOriginReporter(
            self._stream_origins, calls
        )
        self._stream_resumption.on_record(self._stream_reporter.wake)

    def _build_membership(self):
        self._gossip = relay_membership.make_gossip(
            self._settings,
            self._directory,
            self._shared,
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
        if self._replica_runner is not None:
            self._store.add_change_listener(lambda fleet: self._gossip.push())
        else:
            # The VM that sent the configuration can send the endpoints as
            # well, so gossip is requested at once.
            self._shared.configuration_store.on_first_configuration(
                self._gossip.push
            )
        self._directory.on_endpoint_change(self._shared.update_endpoint)
        self._shared.configuration_store.add_change_listener(
            self._shared.kv_stores.apply_configuration
        )
        handler = fleet_handler.FleetHandler(
            self._replica_runner,
            self._store,
            self._gossip,
            rate_limiter.RateLimiter(1),
            endpoint_locks.EndpointLockTable(),
            self._shared.crash_suspects,
            self._permit_table,
            stream_origin_links.StreamOriginKeeper(
                self._stream_origins,
                self._software_versions,
                self._directory.own_vm.incarnation,
            ),
            self._rollout_owner,
        )
        self._link_server = link_server.LinkServer(
            self._settings.link_listen, self._settings.link_secret, handler
        )

    def _make_rollout_operations(self):
        if self._settings.rollout_limits is None:
            return None
        return operations.RolloutOperations(
            self._proposer,
            self._directory,
            self._shared.configuration_store,
            self._software_versions,
            self._log_member_ids,
        )

    def _log_member_ids(self):
        """Return the ids of the VMs with a member of the replicated log."""
        runner = self._replica_runner
        if runner is None or not runner.is_running:
            return frozenset()
        members = runner.replica.membership.members_by_id.values()
        return frozenset(member.vm_id for member in members)

    def _make_persisters(self):
        if self._data_folder is None:
            return []
        persisters = relay_tasks.make_persisters(
            self._data_folder, self._directory, self._shared
        )
        self._gossip.save_endpoints = persisters[0].save
        return persisters

    def _make_periodic_tasks(self):
        all_tasks = list(self._persisters)
        if self._settings.caller_listen is not None:
            self.silent_endpoint_prober = relay_tasks.make_silent_prober(
                self._directory, self._shared
            )
            all_tasks.append(self.silent_endpoint_prober)
            all_tasks += relay_tasks.make_entry_tasks(
                self._settings,
                self._directory,
                self._dialect,
                self._shared,
                vm_calls.VmCalls(
                    self._directory,
                    self._links,
                    avoid_seconds=reporter.AVOID_SECONDS,
                ),
            )
        if self._replica_runner is not None:
            all_tasks += relay_tasks.make_control_tasks(
                self._settings,
                self._dialect,
                self._replica_runner,
                self._directory,
                self._shared,
                self._gossip.push,
                self._links,
            )
        if self._rollout_owner is not None:
            all_tasks.append(self._rollout_owner)
        return all_tasks

    def _update_contact(self):
        self._membership_status.note_contact()
        self._shared.quota.set_control_reachable(self._is_in_touch())

    def _is_in_touch(self):
        """Return whether this VM is in contact with the control VMs."""
        return self._store.contact_age() < CUT_OFF_AFTER_SECONDS
