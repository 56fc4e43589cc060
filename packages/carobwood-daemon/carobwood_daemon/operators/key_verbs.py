"""The verbs of operators on callers' keys."""

from carobwood import errors
from carobwood import events
from carobwood import keys

from ..replication import commands

from . import messages
from . import verbs

# Time to wait for all peers to confirm a withdrawal.
WITHDRAWAL_CONFIRM_SECONDS = 2.0
# Time to wait for a withdrawal to be committed.
WITHDRAWAL_COMMIT_SECONDS = 1.0


class KeyVerbs(verbs.Verbs):
    """Issues, lists and withdraws keys."""

    def issue(self, message, operator):
        """Record the digest of a customer's new key."""
        document = self._context.store.fleet.document(message.environment)
        if document is None:
            raise errors.NotFound(f'no document of {message.environment}')
        if message.customer not in document.customers_by_id:
            raise errors.NotFound(f'no customer {message.customer[:64]!r}')
        return self._changes.commit(
            commands.IssueKey(
                message.operation_id,
                message.environment,
                message.customer,
                message.digest,
            ),
            operator,
        )

    def all_keys(self, environment):
        """Return the keys of an environment, withdrawn ones included."""
        fleet = self._context.store.fleet
        withdrawn = fleet.withdrawn_digests | self._context.withdrawals.digests
        return [
            messages.KeyInfo(
                keys.key_id_of(record.digest),
                record.environment,
                record.customer,
                record.digest in withdrawn,
            )
            for record in fleet.keys_by_digest.values()
            if record.environment == environment
        ]

    def withdraw(self, message, operator):
        """Withdraw a key on this VM at once, and on the others by gossip.

        This needs no quorum. Without one, a background task commits the
        withdrawal to the replicated log later.
        """
        digest = self._find_digest(message.key)
        context = self._context
        context.withdrawals.add({digest})
        events.emit(
            events.OPERATOR_CHANGE,
            operator=operator,
            change='WithdrawKey',
            key=keys.key_id_of(digest),
        )
        confirmed = context.gossip.confirm(digest, WITHDRAWAL_CONFIRM_SECONDS)
        try:
            context.proposer.submit(
                commands.WithdrawKey(digest), WITHDRAWAL_COMMIT_SECONDS
            )
            committed = True
        except errors.ChangeUncertain:
            committed = False
        return messages.Withdrawal(
            keys.key_id_of(digest),
            committed,
            self._confirmations(confirmed),
        )

    def _find_digest(self, key):
        # A key is named by its id or by its digest of 64 hex digits.
        if len(key) == 64:
            return key
        for digest in self._context.store.fleet.keys_by_digest:
            if keys.key_id_of(digest) == key:
                return digest
        raise errors.NotFound(f'no key {key[:64]!r}')

    def _confirmations(self, confirmed_addresses):
        own = self._context.directory.own_vm
        ids_by_data_centre = {}
        for vm in self._context.directory.vms():
            confirmed, unconfirmed = ids_by_data_centre.setdefault(
                vm.data_centre, ([], [])
            )
            is_confirmed = (
                vm.id == own.id or vm.link_address in confirmed_addresses
            )
            (confirmed if is_confirmed else unconfirmed).append(vm.id)
        return tuple(
            messages.Confirmation(
                data_centre, tuple(confirmed), tuple(unconfirmed)
            )
            for data_centre, (confirmed, unconfirmed) in sorted(
                ids_by_data_centre.items()
            )
        )
