"""An entry VM or a control VM of the relay.

An entry VM relays callers' requests to endpoints and treats them as
opaque. A control VM holds a replica of the fleet's state and controls the
entry VMs.
"""

import sys
import threading

from carobwood import clocks
from carobwood import events
from carobwood import threads
from carobwood import timer as timers

from . import relay_servers
from . import relay_tasks
from .entry import request_gate
from .entry import server_stop
from .limits import allocator
from .limits import buffer_budget
from .limits import endpoint_permits
from .limits import permit_client
from .limits import rate_limiter
from .membership import directory as directories
from .membership import endpoint_locks
from .membership import fleet_handler
from .membership import gossip as gossips
from .membership import incarnations
from .membership import link
from .membership import link_server
from .membership import membership_status
from .membership import state_poller
from .membership import stream_origin_links
from .membership import vm_calls
from .membership import withdrawals as withdrawal_sets
from .observe import process_resources as resources
from .observe import tracing
from .relay import cut_off_records
from .relay import gossip_topic
from .relay import http_server
from .relay import leaving_records
from .relay import rate_limit_records
from .relay import shared_components
from .relay import stream_resumption
from .relay import weights_records
from .replication import data_folder
from .replication import proposer as proposers
from .replication import replica_runner as replica_runners
from .replication import state_store
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
# Part of the stop time that is reserved for closing servers and threads after
# the requests have finished.
CLOSE_RESERVE_SECONDS = 1.0
# Part of the stop time in which requests that have not finished are answered.
ANSWER_RESERVE_SECONDS = 0.25
# Longest time for which late requests are still accepted after the balancer
# has taken this VM out. Requests accepted later might outlast the stop.
LATE_REQUEST_SECONDS = 0.4


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
        self._gate = request_gate.RequestGate(relay_servers.RELAY_THREADS)
        self._links = link.Links(
            settings.link_secret, settings.link_listen.host
        )
        self._data_folder = None
        if settings.data_folder:
            self._data_folder = data_folder.DataFolder(settings.data_folder)
        self._build_replication()
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
        self._build_membership()
        self._persisters = self._make_persisters()
        self._periodic_tasks = self._make_periodic_tasks()
        server_factory = relay_servers.ServerFactory(
            settings, dialect, self._shared, self._gate, self._tracer
        )
        self._servers = server_factory.create_servers(
            self._directory, self._gossip, self._proposer, make_control_api
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
        started_at = clocks.now()
        asked_at = started_at if asked_at is None else asked_at
        events.emit(
            events.DAEMON_STOPPING,
            vm=self._settings.vm_id,
            late=round(started_at - asked_at, 3),
            allowed=self._settings.fleet_limits.shutdown_seconds,
        )
        ends_at = asked_at + self._settings.fleet_limits.shutdown_seconds
        ends_at -= CLOSE_RESERVE_SECONDS + ANSWER_RESERVE_SECONDS
        self._gate.mark_not_ready(max(0.0, ends_at - started_at))
        replica_stop = self._start_replica_stop()
        if self._settings.caller_listen is not None:
            served_until = asked_at + self._settings.balancer_delay_seconds
            threading.Event().wait(max(0.0, served_until - clocks.now()))
        self._gate.wait_until_idle(LATE_REQUEST_SECONDS)
        drained = self._gate.drain(max(0.0, ends_at - clocks.now()))
        if not drained:
            events.emit(events.DRAIN_TIMED_OUT, in_flight=self._gate.in_flight)
            # What is still in flight gets an answer that says what is known.
            self._gate.interrupt()
            for server in self._servers:
                server.end_reads()
            self._gate.wait_until_idle(ANSWER_RESERVE_SECONDS)
        # A disk that hangs may hold it up beyond the time of the stop.
        replica_stop.join(max(0.0, ends_at - clocks.now()))
        server_stop.stop_together(
            self._servers, ends_at, http_server.MIN_ANSWER_SECONDS
        )
        self._close()
        if self._data_folder is not None and not replica_stop.is_alive():
            self._data_folder.close()
        events.emit(
            events.DAEMON_STOPPED,
            vm=self._settings.vm_id,
            seconds=round(clocks.now() - asked_at, 3),
            drained=drained,
        )
        return drained

    def _start_replica_stop(self):
        """Stop the replica, if there is one, beside the drain."""
        stop = threads.StepThread(self._stop_replica, 'replica-stop')
        stop.start()
        return stop

    def _stop_replica(self):
        if self._replica_runner is not None:
            self._replica_runner.stop()

    def _close(self):
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
        self._tracer.shut_down()

    def add_seeds(self, seeds):
        """Add seed addresses from reloaded settings.

        Args:
            seeds: link addresses of VMs to contact.
        """
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
            self._data_folder is not None,
            settings.caller_listen is not None,
            forward_address=str(settings.forward_listen or ''),
        )
        self._directory = directories.Directory(own_vm, settings.seeds)
        self._replica_runner = None
        if self._data_folder is not None:
            self._replica_runner = replica_runners.ReplicaRunner(
                self._data_folder,
                settings.vm_id,
                str(settings.link_listen),
                self._links,
                self._store,
                settings.replica_options,
                self._directory.data_centres_by_address,
            )
        self._proposer = proposers.Proposer(
            self._replica_runner, self._links, self._directory
        )

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
        settings = self._settings
        topic = gossip_topic.RelayGossipTopic(
            self._directory,
            self._shared.loads,
            self._shared.quota,
            self._shared.past_usage_table,
            settings.fleet_limits.quota_tolerance.window,
            self._shared.wait_queue.notify_all,
        )
        self._gossip = gossips.Gossip(
            self._directory,
            withdrawal_sets.Withdrawals(),
            self._shared.crash_suspects,
            self._shared.prefix_cache_index,
            self._store,
            self._links,
            topics=(topic,),
            sources=(
                weights_records.WeightsRecords(self._shared.engine_weights),
                rate_limit_records.RateLimitRecords(self._shared.rate_limits),
                leaving_records.LeavingRecords(self._shared.availability),
                cut_off_records.CutOffRecords(self._shared.peers),
                self._shared.kv_stores,
            ),
        )
        self._membership_status = membership_status.MembershipStatus(
            self._replica_runner, self._store
        )
        self._gossip.fleet_id = self._membership_status.fleet_id
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
        self._state_poller = state_poller.StatePoller(
            self._store,
            self._directory,
            self._links,
            self._membership_status.is_member,
            self._gossip.contact_age,
        )
        self._gossip.on_newer_version = self._state_poller.fetch_newer
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
        )
        self._link_server = link_server.LinkServer(
            settings.link_listen, settings.link_secret, handler
        )

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
                self._directory, self._dialect, self._shared
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
        return all_tasks

    def _update_contact(self):
        self._membership_status.note_contact()
        self._shared.quota.set_control_reachable(self._is_in_touch())

    def _is_in_touch(self):
        """Return whether this VM is in contact with the control VMs."""
        return self._store.contact_age() < CUT_OFF_AFTER_SECONDS
