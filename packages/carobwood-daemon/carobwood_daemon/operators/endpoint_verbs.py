"""The verbs of operators on endpoints, and the endpoints' own."""

import time

from carobwood import addresses
from carobwood import errors

from ..membership import endpoint_table
from ..replication import commands

from . import messages
from . import verbs


class EndpointVerbs(verbs.Verbs):
    """Lists and drains endpoints, and places orders to engines."""

    def all_endpoints(self):
        """Return the endpoints known to this VM, sorted by id."""
        drained_ids = self._context.store.fleet.unavailable_endpoints()
        known = sorted(self._context.directory.endpoints(), key=lambda e: e.id)
        return [
            messages.EndpointInfo(
                endpoint.id,
                endpoint.pool,
                endpoint.environment,
                endpoint.address,
                endpoint.data_centre,
                endpoint.incarnation,
                endpoint.weights_version,
                _endpoint_state(endpoint, drained_ids),
                endpoint.running,
                endpoint.waiting,
            )
            for endpoint in known
        ]

    def drain(self, message, operator):
        """Keep new requests from an endpoint, or allow them again."""
        return self._changes.commit(
            commands.DrainEndpoint(
                message.operation_id, message.endpoint_id, message.drained
            ),
            operator,
        )

    def place_order(self, message, operator):
        """Place an order to an engine that is known to this VM."""
        endpoint = self._context.directory.find_endpoint(message.endpoint_id)
        if endpoint is None:
            raise errors.NotFound(f'no endpoint {message.endpoint_id[:64]!r}')
        return self._changes.commit(
            commands.PlaceOrder(
                message.operation_id,
                message.endpoint_id,
                message.kind,
                message.argument,
                operator,
            ),
            operator,
        )

    def orders(self):
        """Return the orders to engines that the fleet's state keeps."""
        return [
            messages.OrderInfo(
                order.fencing_number,
                order.endpoint_id,
                order.kind,
                order.argument,
                order.operator,
                order.state,
                order.detail,
            )
            for order in self._context.store.fleet.orders_by_fencing.values()
        ]

    def record_announcement(self, message):
        """Merge an endpoint's announcement into this VM's directory."""
        try:
            address = str(addresses.parse_address(message.address))
        except ValueError as error:
            raise errors.MalformedRequest(str(error)) from error
        endpoint = endpoint_table.Endpoint(
            message.endpoint_id,
            message.incarnation,
            message.sequence,
            address,
            message.data_centre,
            message.pool,
            message.environment,
            message.weights_version,
            message.leaving,
            message.running,
            message.waiting,
            time.monotonic(),
        )
        self._context.directory.merge_endpoint(endpoint, is_direct=True)
        return messages.Change(self._context.store.version)


def _endpoint_state(endpoint, drained_ids):
    if endpoint.leaving:
        return 'leaving'
    return 'drained' if endpoint.id in drained_ids else 'serving'
