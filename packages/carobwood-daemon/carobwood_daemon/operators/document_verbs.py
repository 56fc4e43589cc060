"""The verbs of operators on documents."""

import difflib

from returns import result

from carobwood import document as documents
from carobwood import errors

from ..replication import commands
from ..replication import fleet_state

from . import messages
from . import verbs


class DocumentVerbs(verbs.Verbs):
    """Checks documents, puts them in force and returns them."""

    def check(self, message):
        """Check a document without putting it in force.

        Raises:
            DocumentInvalid: the document is not valid.
        """
        document = _parse_document(message.text, message.environment)
        return messages.DocumentInfo(
            document.environment,
            0,
            documents.digest_text(message.text),
            '',
            '',
        )

    def diff(self, message):
        """Return a unified diff from the document in force, by lines."""
        _parse_document(message.text, message.environment)
        current = self._context.store.fleet.current(message.environment)
        before = current.text if current else ''
        return list(
            difflib.unified_diff(
                before.splitlines(),
                message.text.splitlines(),
                f'{message.environment} version '
                f'{current.version if current else 0}',
                'proposed',
                lineterm='',
            )
        )

    def apply(self, message, operator):
        """Put a document in force on all VMs."""
        _parse_document(message.text, message.environment)
        return self._changes.commit(
            commands.PutDocument(
                message.operation_id,
                message.environment,
                fleet_state.compress_text(message.text),
                documents.digest_text(message.text),
                message.expected_version,
                operator,
            ),
            operator,
        )

    def promote(self, message, operator):
        """Copy an environment's document to another environment.

        Raises:
            DigestMismatch: the source's document is not the expected one.
        """
        source_version = self._context.store.fleet.current(message.source)
        if source_version is None or source_version.digest != message.digest:
            raise errors.DigestMismatch(
                f'{message.source} has no document with digest '
                f'{message.digest[:16]}'
            )
        text = documents.replace_environment_name(
            source_version.text, message.target
        )
        _parse_document(text, message.target)
        return self._changes.commit(
            commands.PromoteDocument(
                message.operation_id,
                message.source,
                message.target,
                message.digest,
                fleet_state.compress_text(text),
                documents.digest_text(text),
                message.expected_version,
                operator,
            ),
            operator,
        )

    def current(self, environment):
        """Return an environment's document in force."""
        current = self._context.store.fleet.current(environment)
        if current is None:
            raise errors.NotFound(f'no document of {environment}')
        return document_info(environment, current, current.text)

    def history(self, environment):
        """Return the kept versions of a document, oldest first."""
        history = self._context.store.fleet.history_by_environment
        return [
            document_info(environment, version)
            for version in history.get(environment, ())
        ]

    def customers(self, environment):
        """Return the customers of an environment's document in force."""
        fleet = self._context.store.fleet
        document = fleet.document(environment)
        if document is None:
            raise errors.NotFound(f'no document of {environment}')
        key_counts = {}
        for record in fleet.keys_by_digest.values():
            is_valid = record.digest not in fleet.withdrawn_digests
            if record.environment == environment and is_valid:
                key_counts[record.customer] = (
                    key_counts.get(record.customer, 0) + 1
                )
        return [
            messages.CustomerInfo(
                customer.id,
                customer.rate_tokens_per_second,
                customer.burst_tokens,
                customer.offline_grace_seconds,
                key_counts.get(customer.id, 0),
            )
            for customer in document.customers
        ]


def document_info(environment, version, text=''):
    """Return the ``DocumentInfo`` of a version of a document."""
    return messages.DocumentInfo(
        environment,
        version.version,
        version.digest,
        version.operator,
        version.promoted_from,
        text,
    )


def _parse_document(text, environment):
    match documents.parse_document(text, environment):
        case result.Failure(error):
            raise error
        case result.Success(document):
            return document
