"""The daemon of one VM: its parts, its start and its stop."""

import dataclasses
import ipaddress
import sys
import threading

from carobwood import events
from carobwood import timer as timers

from .entry import at_most_once
from .entry import caller_app
from .entry import credentials
from .entry import gate as gates
from .entry import listener
from .entry import overdue
from .limits import allowance as allowances
from .limits import lenders
from .membership import arbiter
from .membership import cache_watchers
from .membership import contact_keeper
from .membership import directory as directories
from .membership import fleet_handler
from .membership import follower as followers
from .membership import gossip as gossips
from .membership import incarnations
from .membership import keepers
from .membership import link
from .membership import link_server
from .membership import placement_keeper
from .membership import standing
from .membership import withdrawals as withdrawal_sets
from .observe import metrics as metric_clients
from .observe import tracing
from .operators import operator_app
from .operators import porcelain
from .orders import order_sender
from .orders import rollout
from .replication import data_folder
from .replication import proposer as proposers
from .replication import state_store
from .replication import voter as voters
from .routing import admission
from .routing import breakers
from .routing import cache_events
from .routing import chooser
from .routing import loads as endpoint_loads
from .routing import placements as placement_tables
from .routing import policies
from .routing import prefill_rate
from .routing import retry_budget
from .routing import suspects as suspect_tables

OPERATOR_THREADS = 16
SPARE_THREADS = 8
SWITCH_INTERVAL = 0.0002


@dataclasses.dataclass(frozen=True)
class Parts:
    """What the operators' verbs work with."""

    store: state_store.StateStore
    voter: voters.Voter | None
    proposer: proposers.Proposer
    directory: directories.Directory
    withdrawals: withdrawal_sets.Withdrawals
    gossip: gossips.Gossip
    gate: gates.Gate
    links: link.Links


class Daemon:
    """All parts of a VM, built from its settings."""

    def __init__(self, settings):
        self._settings = settings
        self._timer = timers.Timer()
        self._folder = None
        if settings.data_folder:
            self._folder = data_folder.DataFolder(settings.data_folder)
        self._links = link.Links(
            settings.link_secret, _source_of(settings.link_listen)
        )
        self._store = state_store.StateStore()
        self._withdrawals = withdrawal_sets.Withdrawals(self._folder)
        self._gate = gates.Gate(settings.max_requests)
        self._build_membership()
        self._build_entry()
        self._listeners = []

    def start(self):
        """Start serving.

        Raises:
            CarobwoodError, OSError: nothing serves, and the process can
                end.
        """
        sys.setswitchinterval(SWITCH_INTERVAL)
        try:
            self._start_parts()
        except BaseException:
            # Their threads would keep the process alive.
            self._stop_listeners()
            raise

    def _start_parts(self):
        self._timer.start()
        self._proposer.start()
        self._settlements.start()
        for keeper in self._saving_keepers:
            keeper.load()
        if self._voter is not None:
            self._voter.start(self._timer)
        self._link_server.start()
        self._gossip.start(self._timer)
        self._follower.start()
        self._overdue.start(self._timer)
        for keeper in self._keepers:
            keeper.start()
        self._timer.subscribe(gossips.PERIOD, self._standing.note_contact)
        self._build_listeners()
        for server in self._listeners:
            server.start()
        events.emit(
            events.DAEMON_STARTED,
            vm=self._settings.vm_id,
            data_centre=self._settings.data_centre,
            caller=str(self._settings.caller_listen),
        )

    def stop(self):
        """Stop gracefully: no request in flight is cut.

        Returns:
            Whether every request in flight has finished.
        """
        events.emit(events.DAEMON_STOPPING, vm=self._settings.vm_id)
        self._gate.announce_stop()
        threading.Event().wait(self._settings.balancer_delay)
        drained = self._gate.drain(self._settings.drain_timeout)
        if not drained:
            events.emit(events.DRAIN_TIMED_OUT, in_flight=self._gate.in_flight)
        if drained:
            # It waits for its requests without bound.
            self._stop_listeners()
        for keeper in self._keepers:
            keeper.stop()
        self._follower.stop()
        for keeper in self._saving_keepers:
            keeper.save()
        self._proposer.stop()
        if self._voter is not None:
            self._voter.stop()
        self._gossip.stop()
        self._link_server.stop()
        self._links.close()
        self._timer.stop()
        self._tracer.shut_down()
        if self._folder is not None:
            self._folder.close()
        events.emit(events.DAEMON_STOPPED, vm=self._settings.vm_id)
        return drained

    def _stop_listeners(self):
        for server in self._listeners:
            server.stop()

    def _build_membership(self):
        settings = self._settings
        own_vm = directories.Vm(
            settings.vm_id,
            settings.data_centre,
            settings.link_advertise,
            settings.operator_advertise,
            incarnations.new_incarnation(),
            self._folder is not None,
        )
        self._directory = directories.Directory(own_vm, settings.peers)
        self._saving_keepers = []
        self._voter = None
        if self._folder is not None:
            self._voter = voters.Voter(
                self._folder,
                settings.vm_id,
                settings.link_advertise,
                self._links,
                self._store,
                settings.replica_options,
            )
        self._proposer = proposers.Proposer(
            self._voter, self._links, self._directory
        )
        self._suspects = suspect_tables.Suspects()
        self._placements = placement_tables.Placements()
        self._gossip = gossips.Gossip(
            self._directory,
            self._withdrawals,
            self._suspects,
            self._placements,
            self._store,
            self._links,
        )
        self._standing = standing.Standing(self._voter, self._store)
        self._gossip.fleet_id = self._standing.fleet_id
        self._follower = followers.Follower(
            self._store,
            self._directory,
            self._links,
            self._standing.is_member,
        )
        self._gossip.on_newer_version = self._follower.note_newer
        self._holds = arbiter.Holds()
        self._allowance = allowances.Allowance(
            settings.vm_slots,
            lenders.Lenders(self._directory, self._links),
        )
        handler = fleet_handler.FleetHandler(
            self._voter,
            self._store,
            self._gossip,
            self._allowance,
            self._holds,
            self._suspects,
        )
        self._link_server = link_server.LinkServer(
            settings.link_listen, settings.link_secret, handler
        )

    def _build_entry(self):
        settings = self._settings
        self._tracer = tracing.make_tracer(
            settings.trace_export, settings.trace_target, settings.vm_id
        )
        self._metrics = metric_clients.Metrics()
        if settings.statsd is not None:
            self._metrics = metric_clients.StatsdMetrics(settings.statsd)
        self._settlements = at_most_once.Settlements(self._proposer)
        self._loads = endpoint_loads.Loads()
        self._breakers = breakers.Breakers()
        self._overdue = overdue.OverdueWatch(self._breakers)
        self._rates = prefill_rate.PrefillRates()
        self._cache_events = cache_events.CacheEvents(self._placements)
        self._store.on_change(self._adopt)
        self._withdrawals.on_addition(self._gate.withdraw)
        self._keepers = [
            keepers.Registrar(self._directory, self._store, self._proposer),
            keepers.WithdrawalKeeper(
                self._withdrawals, self._store, self._proposer
            ),
            keepers.EndpointProber(self._directory, self._forget),
            cache_watchers.CacheWatchers(
                self._directory, self._store, self._cache_events
            ),
        ]
        if self._voter is not None:
            self._saving_keepers = [
                contact_keeper.ContactKeeper(self._folder, self._store),
                placement_keeper.PlacementKeeper(
                    self._folder, self._placements
                ),
            ]
            self._keepers += self._saving_keepers
            self._keepers += [
                keepers.Joiner(self._voter, self._directory, self._links),
                order_sender.OrderSender(
                    self._voter,
                    self._store,
                    self._directory,
                    self._proposer,
                ),
                rollout.Rollout(
                    self._voter,
                    self._store,
                    self._directory,
                    self._proposer,
                ),
            ]

    def _build_listeners(self):
        settings = self._settings
        application = caller_app.CallerApplication(self._services())
        self._listeners.append(
            listener.Listener(
                settings.caller_listen,
                application.handle,
                settings.max_requests + SPARE_THREADS,
                settings.tls,
            )
        )
        verbs = porcelain.Porcelain(self._parts())
        operators = operator_app.OperatorApplication(
            verbs, settings.operator_tokens, settings.announce_token
        )
        self._listeners.append(
            listener.Listener(
                settings.operator_listen,
                operators.handle,
                OPERATOR_THREADS,
                settings.tls,
            )
        )

    def _services(self):
        settings = self._settings
        return caller_app.Services(
            environment=settings.environment,
            max_body_bytes=settings.max_body_bytes,
            store=self._store,
            gatekeeper=credentials.Gatekeeper(
                self._store, self._withdrawals, settings.environment
            ),
            gate=self._gate,
            allowance=self._allowance,
            chooser=chooser.Chooser(
                self._directory,
                self._store,
                self._loads,
                self._breakers,
                self._placements,
                self._rates,
                settings.data_centre,
                policies.POLICIES_BY_NAME[settings.choice](),
            ),
            loads=self._loads,
            breakers=self._breakers,
            admission=admission.Admission(self._loads),
            retry_budget=retry_budget.RetryBudget(),
            placements=self._placements,
            overdue=self._overdue,
            cache_events=self._cache_events,
            rates=self._rates,
            suspects=self._suspects,
            gossip=self._gossip,
            arbiter=arbiter.Arbiter(
                self._holds, self._suspects, self._directory, self._links
            ),
            proposer=self._proposer,
            settlements=self._settlements,
            tracer=self._tracer,
            metrics=self._metrics,
        )

    def _parts(self):
        return Parts(
            self._store,
            self._voter,
            self._proposer,
            self._directory,
            self._withdrawals,
            self._gossip,
            self._gate,
            self._links,
        )

    def _forget(self, endpoint):
        self._placements.forget(endpoint)
        self._cache_events.forget(endpoint)

    def _adopt(self, fleet):
        # A change that this VM has committed is as good as a heartbeat.
        self._standing.note_contact()
        self._gate.withdraw(fleet.withdrawn_digests)
        document = fleet.document(self._settings.environment)
        if document is not None:
            self._allowance.prepare(document)


def _source_of(address):
    # A wildcard address is no source; the system then chooses one.
    is_wildcard = ipaddress.ip_address(address.host).is_unspecified
    return '' if is_wildcard else address.host
