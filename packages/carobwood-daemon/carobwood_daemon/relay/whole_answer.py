"""Answers that are kept until their end, while the VM has memory for them.

A whole answer is read before it is sent, so that another endpoint can be
asked if it is truncated. Load pattern: many large answers at once. What they
take beyond the memory of the VM can't be kept; they are passed on as they
come then, at the price that no other endpoint can be asked any more.
"""

from carobwood import errors
from carobwood import events

from . import answer_blocks
from . import caller_request

# Bound of the body of one answer.
MAX_BODY_BYTES = 32 * 1024 * 1024
BLOCK_BYTES = answer_blocks.BLOCK_BYTES


class WholeAnswer:
    """Reads one answer and sends it to its caller.

    Attributes:
        is_passed_on: whether the head went to the caller before the end of
            the answer was known.
    """

    def __init__(self, caller, status, headers, buffers):
        """Create the answer.

        Args:
            caller: the ``CallerRequest`` that receives it.
            status: HTTP status.
            headers: values by header name in lower case.
            buffers: the ``BufferBudget`` for what is kept of it.
        """
        self.is_passed_on = False
        self._caller = caller
        self._status = status
        self._headers = headers
        self._reservation = buffers.reserve('answer')
        self._blocks = answer_blocks.AnswerBlocks()
        self._size = 0

    def forward(self, reader, find_seconds_left, note_start):
        """Forward the answer until its end.

        If this fails after the head has gone, the caller's response has to
        be aborted.

        Args:
            reader: the ``AnswerReader`` of the endpoint's response.
            find_seconds_left: function without arguments that returns the
                seconds until the answer must have come.
            note_start: called without arguments before the head goes.

        Raises:
            CallerLeft: the caller disconnected.
            EndpointFailed: the answer is truncated, malformed or too large.
            EndpointTimeout: no further part of it came in time.
        """
        self._check_size(reader.declared_length or 0)
        with self._reservation:
            try:
                self._forward(reader, find_seconds_left, note_start)
            finally:
                # The traceback of an error may outlive the reservation.
                self._blocks.clear()

    def _forward(self, reader, find_seconds_left, note_start):
        while not reader.has_ended:
            part = reader.read(find_seconds_left())
            self._check_size(self._size + len(part))
            self._add(part, reader.declared_length, note_start)
        if not self.is_passed_on:
            self._send_head(self._size, note_start)
            self._send_blocks()

    def _check_size(self, size):
        if size > MAX_BODY_BYTES:
            raise errors.EndpointFailed('the body exceeds the size limit')

    def _add(self, part, declared_length, note_start):
        self._size += len(part)
        if self.is_passed_on:
            self._write(part)
            return
        has_room = self._reservation.try_extend(len(part))
        self._blocks.add(part)
        if not has_room:
            self._pass_on(declared_length, note_start)

    def _pass_on(self, declared_length, note_start):
        events.emit(
            events.ANSWER_PASSED_ON,
            kept=self._size,
            declared=declared_length or 0,
            peer=self._caller.peer,
        )
        self.is_passed_on = True
        if declared_length is None:
            # cheroot frames no body of a status that should have none.
            self._caller.close_after_response()
        self._send_head(declared_length, note_start)
        self._send_blocks()
        self._reservation.release()

    def _send_head(self, length, note_start):
        headers = caller_request.end_to_end_headers(self._headers)
        if length is not None:
            headers.append(('Content-Length', str(length)))
        note_start()
        self._caller.start_stream(
            self._status, caller_request.reason_phrase(self._status), headers
        )

    def _send_blocks(self):
        while self._blocks:
            block = self._blocks.pop()
            self._write(block)
            self._reservation.reduce(len(block))

    def _write(self, data):
        if data and self._caller.method != 'HEAD':
            self._caller.write(data)
