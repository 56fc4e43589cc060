"""Units that VMs have admitted for customers, as they report them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Usage:
    """Units that a VM has admitted for a customer.

    Attributes:
        total: units since the start of the VM.
        recent: units within the last window.
        units_by_second: ``recent`` split by second, the latest second
            first.
        acknowledged: units of ``total`` that an aggregator has counted.
    """

    total: int
    recent: int
    units_by_second: tuple[int, ...] = ()
    acknowledged: int = 0


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """The last usage report of another VM, or of a group of VMs.

    Attributes:
        incarnation: incarnation of that VM.
        received_at: when this VM received the report.
        by_customer: ``Usage`` by customer name.
        vm_count: number of entry VMs whose usage it holds, without this VM.
    """

    incarnation: int
    received_at: float
    by_customer: dict[str, Usage]
    vm_count: int

    def increase_since(self, previous):
        """Return the units admitted since the previous report.

        Args:
            previous: the VM's previous ``UsageReport``, or None. Without
                one of the same incarnation, all units of the window count.

        Returns:
            Units by customer name; negative after a refund, or if an older
            report arrives after a newer one.
        """
        if previous is None or previous.incarnation != self.incarnation:
            return {
                name: usage.recent for name, usage in self.by_customer.items()
            }
        counted = previous.by_customer
        return {
            name: usage.total - counted.get(name, Usage(0, 0)).total
            for name, usage in self.by_customer.items()
        }
