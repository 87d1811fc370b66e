"""Pass requests from flows to the requests task, and responses back."""

from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.quic.messages import (
    RequestAborted,
    RequestBody,
    RequestHead,
)
from bluebellfold.callers.quic.streams import OpenStream, StreamTable
from bluebellfold.callers.quic.tracing import FlowTracer
from bluebellfold.core import Actor, Clock, Message, Registry
from bluebellfold.upstreams import (
    Answered,
    BodyBytesSent,
    BodyPart,
    CancelRequest,
    HeaderField,
    NotRun,
    Request,
    ResponseBody,
    ResponseEnd,
    ResponseForwarded,
    ResponseHead,
    Submit,
    SubmitBody,
    outcome_fields,
)

DEADLINE_FIELD = 'bluebellfold-deadline-ms'
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
MAX_UNACKNOWLEDGED_BYTES = 131_072
_MS_PER_SECOND = 1000
# A longer number exceeds the deadline of every kind of work, and a very long
# one would raise ValueError or OverflowError.
_MAX_DEADLINE_DIGITS = 12

_flow_reactions = Registry(name='reactions to messages of flows')
_response_reactions = Registry(name='reactions to messages of responses')


class FlowRequests:
    """Hold the open streams of all flows, as part of the flows task."""

    __slots__ = ('_clock', '_tracer', '_owner', '_requests', '_streams')

    def __init__(
        self,
        *,
        owner: Actor,
        requests: Actor,
        tracer: FlowTracer,
        clock: Clock,
    ) -> None:
        self._tracer = tracer
        self._owner = owner
        self._requests = requests
        self._clock = clock
        self._streams = StreamTable()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._streams)

    def has_requests(self, flow: Flow) -> bool:
        """Tell whether the flow has open requests."""
        return bool(self._streams.on_flow(flow))

    def handle_flow_message(self, flow: Flow, message: Message) -> None:
        """Handle a request head, a part of a body or an abort."""
        _flow_reactions.find(type(message))(self, flow, message)

    def handle_response(self, message: Message) -> Flow | None:
        """Write a response message and return the flow it was written to."""
        stream = self._streams.find(message.key)
        if stream is None:
            return None
        _response_reactions.find(type(message))(self, stream, message)
        return stream.flow

    def confirm_forwarded(self, flow: Flow) -> None:
        """Confirm response parts unless too many bytes are unacknowledged."""
        for stream in self._streams.on_flow(flow):
            if not stream.unconfirmed_parts:
                continue
            if (
                flow.unacknowledged_bytes(stream.stream_id)
                > MAX_UNACKNOWLEDGED_BYTES
            ):
                continue
            self._requests.tell(
                ResponseForwarded(
                    key=stream.key, parts=stream.pop_unconfirmed_parts()
                ),
            )

    def cancel_requests(self, flow: Flow) -> None:
        """Cancel all requests of a flow that ended."""
        for stream in self._streams.on_flow(flow):
            self._cancel(stream)

    @_flow_reactions.add(RequestHead)
    def _submit(self, flow: Flow, head: RequestHead) -> None:
        if not head.field_text(':method'):
            # Without a method these are trailers; the request may have ended.
            self._forward_body(
                flow,
                RequestBody(
                    stream_id=head.stream_id,
                    payload=b'',
                    last=head.last,
                ),
            )
            return
        stream = self._streams.open(flow, head.stream_id)
        self._requests.tell(
            Submit(
                request=self._build_request(stream.key, flow, head),
                owner=self._owner,
            ),
        )
        if head.last:
            self._submit_body(stream, b'', last=True)

    @_flow_reactions.add(RequestBody)
    def _forward_body(self, flow: Flow, body: RequestBody) -> None:
        stream = self._streams.find_on_flow(flow, body.stream_id)
        if stream is not None:
            flow.add_buffered_bytes(body.stream_id, len(body.payload))
            self._submit_body(stream, body.payload, last=body.last)

    @_flow_reactions.add(RequestAborted)
    def _abort_request(self, flow: Flow, aborted: RequestAborted) -> None:
        stream = self._streams.find_on_flow(flow, aborted.stream_id)
        if stream is not None:
            self._cancel(stream)

    @_response_reactions.add(ResponseHead)
    def _send_head(self, stream: OpenStream, message: ResponseHead) -> None:
        stream.record_head()
        stream.flow.send_head(
            stream.stream_id,
            message.status,
            message.fields,
        )

    @_response_reactions.add(ResponseBody)
    def _send_body(self, stream: OpenStream, message: ResponseBody) -> None:
        stream.record_part()
        stream.flow.send_body(stream.stream_id, message.payload, last=False)

    @_response_reactions.add(BodyBytesSent)
    def _record_body_sent(
        self, stream: OpenStream, message: BodyBytesSent
    ) -> None:
        stream.flow.add_buffered_bytes(stream.stream_id, -message.size_bytes)

    @_response_reactions.add(ResponseEnd)
    def _finish_response(
        self, stream: OpenStream, message: ResponseEnd
    ) -> None:
        flow = stream.flow
        self._streams.close(stream)
        self._tracer.record_request(stream, message.outcome)
        flow.release_stream(stream.stream_id)
        if isinstance(message.outcome, Answered):
            flow.send_body(stream.stream_id, b'', last=True)
        elif stream.head_sent:
            flow.reset_stream(stream.stream_id)
        else:
            self._send_failure(stream, message)

    def _send_failure(self, stream: OpenStream, message: ResponseEnd) -> None:
        outcome = message.outcome
        not_run = isinstance(outcome, NotRun)
        stream.flow.send_head(
            stream.stream_id,
            NOT_RUN_STATUS if not_run else UNKNOWN_STATUS,
            outcome_fields(outcome),
        )
        stream.flow.send_body(
            stream.stream_id,
            outcome.reason.reason.encode(),
            last=True,
        )

    def _submit_body(
        self,
        stream: OpenStream,
        payload: bytes,
        *,
        last: bool,
    ) -> None:
        part = BodyPart(payload=payload, last=last)
        self._requests.tell(SubmitBody(key=stream.key, part=part))

    def _cancel(self, stream: OpenStream) -> None:
        self._streams.close(stream)
        stream.flow.release_stream(stream.stream_id)
        self._requests.tell(CancelRequest(key=stream.key))

    def _build_request(
        self,
        key: int,
        flow: Flow,
        head: RequestHead,
    ) -> Request:
        now = self._clock.now()
        seconds = flow.kind.deadline_seconds
        deadline_text = head.field_text(DEADLINE_FIELD)
        if (
            deadline_text.isdecimal()
            and len(deadline_text) <= _MAX_DEADLINE_DIGITS
        ):
            seconds = min(seconds, int(deadline_text) / _MS_PER_SECOND)
        return Request(
            key=key,
            kind=flow.kind,
            method=head.field_text(':method'),
            path=head.field_text(':path'),
            fields=(
                *_end_to_end_fields(head),
                *self._tracer.trace_fields(flow, head.stream_id),
            ),
            arrived_at=now,
            deadline_at=now + seconds,
        )


def _end_to_end_fields(head: RequestHead) -> tuple[HeaderField, ...]:
    kept = [field for field in head.fields if not field.name.startswith(':')]
    host = head.field_text(':authority')
    if host and not head.field_text('host'):
        kept.append(HeaderField(name='host', text=host))
    return tuple(kept)
