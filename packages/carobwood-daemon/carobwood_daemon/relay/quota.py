"""Rate limits of customers, enforced jointly by all entry VMs.

Load pattern: a customer sends several times its rate through all VMs at
once, while VMs join, restart and are partitioned from each other.

Each VM tracks the usage of each customer in the whole fleet: the units
that it admits itself and the units that other VMs report by gossip. A
token bucket with the customer's rate and burst decides which requests
are within the rate. Requests beyond it are admitted up to the operators'
tolerance in a sliding window, because the tracked usage is only as exact
as the reports are recent; such requests get the lowest priority. A VM
that is cut off from the control VMs uses only the part of each limit
that corresponds to the VMs from which it receives reports.

Units that the others may have admitted without having reported them yet are
estimated; see ``customer_quota``.
"""

import dataclasses
import enum
import threading

from carobwood import clocks
from carobwood import events

from . import customer_quota as customer_quotas
from . import past_usage
from . import reporting_vms
from . import usage_reports

# Seconds within which a restarted VM receives the usage of the others.
WARM_UP_SECONDS = 1.0
# Seconds before a VM's stop whose usage it may not have reported.
UNREPORTED_SECONDS = 1.0
# Part of the burst that the bucket of a restarted VM starts with.
RESTART_BURST_SHARE = 0.5


class Verdict(enum.Enum):
    """Whether a request is admitted, and on what grounds.

    Attributes:
        WITHIN_RATE: admitted; the token bucket covers it.
        WITHIN_TOLERANCE: admitted beyond the rate, at the lowest
            priority.
        REFUSED: not admitted.
    """

    WITHIN_RATE = 'within-rate'
    WITHIN_TOLERANCE = 'within-tolerance'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True)
class QuotaDecision:
    """A verdict on a request and the figures behind it.

    Attributes:
        verdict: the ``Verdict``.
        level: units in the token bucket before the request, less those
            that others are assumed to have admitted unreported.
        recent: units admitted in the window before the request, those
            included.
        bound: units that the window may hold; 0 for a request beyond the
            rate while a restarted VM does not use the tolerance.
        retry_after: seconds after which a refused request would be
            admitted.
        awaits_usage: whether it is refused only because this VM has just
            started and does not know the usage of the others.
    """

    verdict: Verdict
    level: float = 0.0
    recent: float = 0.0
    bound: float = 0.0
    retry_after: float = 0.0
    awaits_usage: bool = False


class FleetQuota:
    """Rate limits of all customers that have one.

    A restarted VM has lost the record of what it has admitted itself, and
    receives the usage of the other VMs within ``WARM_UP_SECONDS``. Until
    then it admits nothing of a customer with a limit, because all VMs may
    have restarted and nothing would bound what they admit together. Its
    buckets start with a part of the burst and the units that accrue in a
    whole window, from which the reported usage of the others is
    subtracted. During its first window it does not use the tolerance,
    unless more than half of the reporting VMs have run for longer than a
    window, so that their reports cover most of the usage.
    """

    def __init__(
        self, tolerance, starts_with_full_buckets=True, clock=clocks.now
    ):
        """Create the limits of no customers.

        Args:
            tolerance: the ``QuotaTolerance``.
            starts_with_full_buckets: whether this is the first start of
                the fleet, so that nothing was admitted before.
            clock: returns monotonic seconds that advance during a
                suspension of the machine.
        """
        self._tolerance = tolerance
        self._clock = clock
        self._lock = threading.Lock()
        self._quotas_by_customer = {}
        self._reporting_vms = reporting_vms.ReportingVms()
        self._starts_with_full_buckets = starts_with_full_buckets
        self._strict_until = 0.0
        self._first_window_ends_at = 0.0
        self._warm_up_ends_at = 0.0
        self._acknowledged_by_customer = {}
        # (VM id, incarnation) pairs whose usage is already counted.
        self._counted_incarnations = set()
        # Whether the limits of any customer were ever known, and the
        # ``PastUsage`` that came before.
        self._has_limits = False
        self._early_past_usage = []
        self._usage_known = threading.Event()
        if not starts_with_full_buckets:
            self._strict_until = clock() + tolerance.window
            self._first_window_ends_at = self._strict_until
            self._warm_up_ends_at = clock() + WARM_UP_SECONDS

    def set_limits(self, customers):
        """Apply the limits of the customers of a configuration."""
        now = self._clock()
        with self._lock:
            quotas = {}
            for customer in customers:
                if customer.rate <= 0:
                    continue
                customer_quota = self._quotas_by_customer.get(customer.name)
                if customer_quota is None:
                    customer_quota = customer_quotas.CustomerQuota(
                        customer,
                        self._initial_level(customer),
                        now,
                        not self._has_limits or now < self._warm_up_ends_at,
                    )
                self._advance(customer_quota, now)
                customer_quota.set_limits(customer)
                quotas[customer.name] = customer_quota
            self._quotas_by_customer = quotas
            if quotas and not self._has_limits:
                self._has_limits = True
                self._count_early_usage(now)

    def set_control_reachable(self, is_control_reachable):
        """See ``ReportingVms``."""
        self._reporting_vms.set_control_reachable(is_control_reachable)

    def set_known_vm_count(self, count):
        """See ``ReportingVms.set_known_count``."""
        self._reporting_vms.set_known_count(count)

    def note_usage_known(self):
        """Record that the usage of the others has been merged."""
        self._usage_known.set()

    def await_usage(self, seconds):
        """Wait for the usage of the others, not beyond the warm-up."""
        seconds = min(seconds, self._warm_up_ends_at - self._clock())
        self._usage_known.wait(max(0.0, seconds))

    def admit(self, name, units):
        """Decide on a request and consume its units if it is admitted.

        Args:
            name: the customer's name.
            units: units that the request needs.

        Returns:
            The ``QuotaDecision``. A customer without a limit is always
            within the rate.
        """
        now = self._clock()
        with self._lock:
            decision = self._decide(name, units, now)
            customer_quota = self._quotas_by_customer.get(name)
            if customer_quota is not None:
                if decision.verdict is not Verdict.REFUSED:
                    customer_quota.consume_locally(now, units)
            return decision

    def preview(self, name, units):
        """Return the ``QuotaDecision`` on a request; consume nothing.

        Args:
            name: the customer's name.
            units: units that the request needs.
        """
        with self._lock:
            return self._decide(name, units, self._clock())

    def _decide(self, name, units, now):
        customer_quota = self._quotas_by_customer.get(name)
        if customer_quota is None:
            return QuotaDecision(Verdict.WITHIN_RATE)
        if now < self._warm_up_ends_at and not self._usage_known.is_set():
            return QuotaDecision(
                Verdict.REFUSED,
                retry_after=self._warm_up_ends_at - now,
                awaits_usage=True,
            )
        self._advance(customer_quota, now)
        return self._decide_by_usage(customer_quota, units, now)

    def _decide_by_usage(self, customer_quota, units, now):
        unseen = self._unseen(customer_quota, now)
        level = customer_quota.level - unseen
        recent = customer_quota.recent + unseen
        bound = self._reporting_vms.limit_share(now) * self._tolerance.bound(
            customer_quota.rate, customer_quota.burst
        )
        is_within = level > 0
        if now < self._strict_until:
            # The level of the bucket is only an estimate here, so the
            # units counted in the window must fit the limit as well.
            limit = self._tolerance.limit(
                customer_quota.rate, customer_quota.burst
            )
            limit -= UNREPORTED_SECONDS * customer_quota.rate
            is_within = is_within and recent + units <= limit
        if is_within:
            return QuotaDecision(Verdict.WITHIN_RATE, level, recent, bound)
        if now < self._strict_until:
            bound = 0.0
        excess = recent + units - bound
        if excess > 0:
            retry_after = customer_quota.seconds_until_freed(
                now, self._tolerance.window, excess
            )
            return QuotaDecision(
                Verdict.REFUSED, level, recent, bound, retry_after
            )
        return QuotaDecision(Verdict.WITHIN_TOLERANCE, level, recent, bound)

    def _unseen(self, customer_quota, now):
        """Return the units that others may have admitted but not reported.

        In the first window after a restart, what the others have reported
        does not tell how the requests are spread now.
        """
        if now < self._first_window_ends_at:
            return 0.0
        return customer_quota.unseen(
            now,
            self._reporting_vms.other_count,
            self._reporting_vms.report_age(now),
        )

    def refund(self, name, units):
        """Return the units of an admitted request that has not run."""
        now = self._clock()
        with self._lock:
            customer_quota = self._quotas_by_customer.get(name)
            if customer_quota is not None:
                customer_quota.consume_locally(now, -units)

    def usage(self):
        """Return the ``Usage`` on this VM by customer name."""
        now = self._clock()
        with self._lock:
            usage_by_customer = {}
            for name, customer_quota in self._quotas_by_customer.items():
                self._advance(customer_quota, now)
                recent = sum(
                    units for _, units in customer_quota.local_entries
                )
                usage_by_customer[name] = usage_reports.Usage(
                    customer_quota.local_total,
                    recent,
                    customer_quota.local_units_by_second(now),
                    self._acknowledged_by_customer.get(name, 0),
                )
            return usage_by_customer

    def acknowledge(self, usage_by_customer):
        """Record that an aggregator has counted a report of this VM."""
        with self._lock:
            self._acknowledged_by_customer.update(
                (name, usage.total)
                for name, usage in usage_by_customer.items()
            )

    def merge_usage(
        self, vm_id, incarnation, usage_by_customer, vm_count=1, age=0.0
    ):
        """Count what another VM has admitted since its last report.

        Reports of an older incarnation are ignored.

        Args:
            vm_id: the reporting VM, or the aggregator of a group.
            incarnation: its incarnation.
            usage_by_customer: its ``Usage`` by customer name.
            vm_count: number of entry VMs whose usage the report holds,
                without this VM.
            age: age of the report in seconds.
        """
        now = self._clock()
        with self._lock:
            previous = self._reporting_vms.reports_by_vm.get(vm_id)
            if previous is not None and previous.incarnation > incarnation:
                return
            report = usage_reports.UsageReport(
                incarnation, now - age, usage_by_customer, vm_count
            )
            self._reporting_vms.record(vm_id, report, now)
            self._counted_incarnations.add((vm_id, incarnation))
            if self._reporting_vms.are_mostly_long_running:
                self._strict_until = 0.0
            for name, units in report.increase_since(previous).items():
                customer_quota = self._quotas_by_customer.get(name)
                if customer_quota is not None and units:
                    self._advance(customer_quota, now)
                    customer_quota.consume(now, units)

    def merge_past_usage(self, vm_id, incarnation, age, units_by_customer):
        """Count what a stopped VM had admitted, once per incarnation.

        Args:
            vm_id: the stopped VM.
            incarnation: the incarnation that has stopped.
            age: seconds since its last report.
            units_by_customer: by customer name, the units in each second
                before that report, the latest second first.
        """
        now = self._clock()
        with self._lock:
            source = (vm_id, incarnation)
            if source in self._counted_incarnations:
                return
            self._counted_incarnations.add(source)
            if self._has_limits:
                self._count_past(now - age, units_by_customer, now)
            else:
                self._early_past_usage.append(
                    past_usage.PastUsage(
                        vm_id, incarnation, now - age, units_by_customer
                    )
                )
        events.emit(
            events.PAST_SPENDING_COUNTED,
            vm=vm_id,
            incarnation=incarnation,
            age=round(age, 2),
            customers=len(units_by_customer),
        )

    def _count_early_usage(self, now):
        """Count the usage that was reported before the configuration."""
        oldest = now - self._tolerance.window
        for report in self._reporting_vms.reports_by_vm.values():
            if report.received_at > oldest:
                self._count_past(
                    report.received_at,
                    {n: (u.recent,) for n, u in report.by_customer.items()},
                    now,
                )
        for past in self._early_past_usage:
            if past.reported_at > oldest:
                self._count_past(past.reported_at, past.units_by_customer, now)
        self._early_past_usage.clear()

    def _count_past(self, reported_at, units_by_customer, now):
        for name, units_by_second in units_by_customer.items():
            customer_quota = self._quotas_by_customer.get(name)
            if customer_quota is not None:
                customer_quota.consume_past(reported_at, units_by_second)
                self._advance(customer_quota, now)

    def _initial_level(self, customer):
        if self._starts_with_full_buckets:
            return customer.burst
        accrued = customer.rate * self._tolerance.window
        return RESTART_BURST_SHARE * customer.burst + accrued

    def _advance(self, customer_quota, now):
        customer_quota.advance(
            now,
            self._tolerance.window,
            self._reporting_vms.limit_share(now),
            now >= self._warm_up_ends_at,
        )
