"""One request at one endpoint, up to the head of the answer."""

import dataclasses

from carobwood import errors

from . import messages
from . import upstream

# Time in which a request's bytes must be taken by an endpoint's socket.
SEND_SECONDS = 1.0
# Time for the rest of a head or a chunk that has begun to come.
REST_SECONDS = 1.0
MAX_STRAY_ANSWERS = 2
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, eq=False)
class Answer:
    """An endpoint's answer whose body is still to be read.

    Attributes:
        head: the ``AnswerHead``.
        headers: headers by name in lower case.
        upstream: the ``Upstream`` that holds the body.
    """

    head: messages.AnswerHead
    headers: dict[str, str]
    upstream: upstream.Upstream


class Visit:
    """Sends a request to an endpoint and waits for its answer."""

    def __init__(self, parts, caller, request, trace):
        self._parts = parts
        self._caller = caller
        self._request = request
        self._trace = trace

    def run(self, place, resume_id, patience):
        """Return the endpoint's ``Answer``.

        Args:
            place: the ``Place`` that was taken.
            resume_id: last event that was passed on, or empty.
            patience: seconds to wait for the head.

        Raises:
            EndpointUnreachable: nothing was sent.
            EndpointNotRun: the endpoint did not run it.
            EndpointFailed, EndpointTimeout: it may have run.
            CallerLeft: the caller left; it may have run.
        """
        pool = self._parts.pool
        # A kept connection may be gone without a sign, and what must not
        # run twice could then not be sent again.
        may_be_kept = self._request.route.is_idempotent
        connection = pool.take(place.endpoint.address, may_be_kept)
        try:
            connection.send(self._call(place, resume_id), SEND_SECONDS)
            return self._await_answer(connection, patience)
        except BaseException:
            connection.close()
            raise

    def _call(self, place, resume_id):
        request = self._request
        dialect = self._parts.dialect
        dispatch = messages.Dispatch(
            place.endpoint.id,
            request.customer_name,
            max(0.0, request.seconds_left),
            place.salt,
            place.weights_version,
            fetch_from=place.fetch_from,
            save_to=place.save_to,
            urgency=request.priority if place.salt else None,
            resume_id=resume_id or request.hints.resume_id,
        )
        traced = {}
        self._trace.propagate(traced)
        headers = [
            (name, value)
            for name, value in self._caller.passed_headers()
            if name != 'authorization'
            and name not in traced
            and not dialect.is_reserved(name)
        ]
        headers += traced.items()
        headers += dialect.describe_dispatch(dispatch)
        return upstream.Call(
            self._caller.method,
            self._caller.target,
            tuple(headers),
            request.body,
        )

    def _await_answer(self, connection, patience):
        for _ in range(1 + MAX_STRAY_ANSWERS):
            match connection.wait(self._caller.socket, patience):
                case upstream.Wait.CALLER_LEFT:
                    raise errors.CallerLeft('the caller left')
                case upstream.Wait.TIMED_OUT:
                    raise errors.EndpointTimeout('no answer in time')
            status, headers = connection.read_head(
                self._caller.method, REST_SECONDS
            )
            head = self._parts.dialect.parse_answer(status, headers)
            if head.request_id in ('', self._request.hints.request_id):
                return self._judge(Answer(head, headers, connection))
            # An answer to an earlier request that came late.
            connection.read_all(REST_SECONDS, MAX_ANSWER_BYTES)
        raise errors.AnswerMismatch('the answers name other requests')

    def _judge(self, answer):
        head = answer.head
        if head.has_not_run or head.status == 421:
            raise errors.EndpointNotRun(head)
        if 200 <= head.status < 300 and not head.is_stamped:
            raise errors.EndpointFailed('the answer bears no signature')
        return answer
