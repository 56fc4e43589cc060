"""Interface of protocol adapters, through which a platform is supported.

A platform has its own header names, its own configuration format and its
own calls to model engines. An adapter translates them; the relay itself
works with the classes of ``messages`` and ``configuration`` only.
"""

import abc


class Dialect(abc.ABC):
    """Translates a platform's protocols and makes no decisions."""

    @abc.abstractmethod
    def parse_request_headers(self, headers_by_name):
        """Return the ``RequestMetadata`` in the headers of a caller's request.

        Args:
            headers_by_name: values by header name in lower case.

        Raises:
            MalformedRequest: a header has an invalid value.
        """

    @abc.abstractmethod
    def is_reserved(self, name):
        """Tell whether only the relay may set a header.

        Such headers are removed from callers' requests.

        Args:
            name: name of the header in lower case.
        """

    @abc.abstractmethod
    def format_forwarding_headers(self, metadata):
        """Return the headers that are added to a forwarded request.

        Args:
            metadata: the ``ForwardingMetadata``.

        Returns:
            (name, value) pairs.
        """

    @abc.abstractmethod
    def parse_response_head(self, status, headers_by_name):
        """Return the ``ResponseHead`` of an endpoint's response.

        Args:
            status: HTTP status.
            headers_by_name: values by header name in lower case.
        """

    @abc.abstractmethod
    def format_error_headers(self, request_id):
        """Return the headers of an error response of the relay itself.

        Args:
            request_id: the caller's id of the request, or empty.

        Returns:
            (name, value) pairs.
        """

    @abc.abstractmethod
    def parse_configuration(self, content):
        """Return the ``Configuration`` in the platform's format.

        Args:
            content: the encoded configuration, as bytes.

        Raises:
            ConfigurationInvalid: with a description of each fault.
        """

    @abc.abstractmethod
    def parse_committed_configuration(self, content):
        """Return a configuration that is in force and can't be refused.

        Args:
            content: the encoded configuration, as bytes.

        Returns:
            The ``Configuration``, without the fields that are not valid,
            and a list of their faults.

        Raises:
            ConfigurationInvalid: no build can have put it in force.
        """

    @abc.abstractmethod
    def read_engine_report(self, address, timeout):
        """Request the ``EngineReport`` of an engine.

        Args:
            address: ``host:port`` of the engine.
            timeout: seconds after which the call has failed.

        Raises:
            EngineCallFailed: no valid report was received in time;
                ``has_answered`` tells whether another answer was.
        """

    @abc.abstractmethod
    def request_health(self, address, endpoint_id, path, timeout):
        """Request the health of an endpoint of a plain service.

        Any response will do: it tells that the endpoint answers.

        Args:
            address: ``host:port`` of the endpoint.
            endpoint_id: id of the endpoint; another one at its address does
                not run the request.
            path: path of its health check.
            timeout: seconds after which the call has failed.

        Raises:
            EngineCallFailed: no response was received in time.
        """

    @abc.abstractmethod
    def read_instance_id(self, address, endpoint_id, path, timeout):
        """Request the id of the endpoint at an address, on a new connection.

        Args:
            address: ``host:port`` of the endpoint.
            endpoint_id: id of the endpoint that is expected there.
            path: path of its health check.
            timeout: seconds after which the call has failed.

        Returns:
            The id that the response names, or empty if it names none.

        Raises:
            EngineCallFailed: no response was received in time.
        """

    @abc.abstractmethod
    def fetch_cache_events(self, address, position, wait, timeout):
        """Request the ``CacheEventBatch`` of a cache from a position on.

        Args:
            address: ``host:port`` of the engine or KV cache store.
            position: position to continue from, 0 for the oldest change
                that is available.
            wait: seconds that the server may wait for a change (long
                polling).
            timeout: seconds after which the call has failed.

        Raises:
            EngineCallFailed: no valid response was received in time.
        """

    @abc.abstractmethod
    def send_weights_order(self, order, timeout):
        """Send an engine a ``WeightsOrder``.

        Args:
            order: the ``WeightsOrder``.
            timeout: seconds after which the call has failed.

        Raises:
            EngineCallFailed: no response was received; the engine may
                still execute the order.
            EngineOrderRefused: the engine has rejected the order.
        """

    @abc.abstractmethod
    def close(self):
        """Close the idle connections that its calls have left open."""
