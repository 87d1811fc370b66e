"""Carry requests from flows to the requests task, and answers back."""

from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.quic.hops import FlowHops
from bluebellfold.callers.quic.messages import (
    RequestAborted,
    RequestBody,
    RequestHead,
)
from bluebellfold.callers.quic.streams import OpenStream, StreamTable
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
UNSENT_LIMIT_BYTES = 131_072
_MS_PER_SECOND = 1000
# A longer number is later than any deadline of a kind of work.
_MOST_DEADLINE_DIGITS = 12

_report_reactions = Registry(name='reactions to reports of flows')
_answer_reactions = Registry(name='reactions to answers')


class FlowRequests:
    """Hold the open streams of all flows, as part of the flows task."""

    __slots__ = ('_clock', '_hops', '_owner', '_requests', '_streams')

    def __init__(
        self,
        *,
        owner: Actor,
        requests: Actor,
        hops: FlowHops,
        clock: Clock,
    ) -> None:
        self._hops = hops
        self._owner = owner
        self._requests = requests
        self._clock = clock
        self._streams = StreamTable()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._streams)

    def holds(self, flow: Flow) -> bool:
        """Tell whether the flow has open requests."""
        return bool(self._streams.of(flow))

    def report(self, flow: Flow, report: Message) -> None:
        """Act on a head, a part of a body, or an abort."""
        _report_reactions.find(type(report))(self, flow, report)

    def answer(self, message: Message) -> Flow | None:
        """Write what the requests task tells, return the flow written to."""
        stream = self._streams.find(message.key)
        if stream is None:
            return None
        _answer_reactions.find(type(message))(self, stream, message)
        return stream.flow

    def confirm_sent(self, flow: Flow) -> None:
        """Ask for more of each answer whose caller keeps up."""
        for stream in self._streams.of(flow):
            if not stream.owed_parts:
                continue
            if flow.unsent_bytes(stream.stream_id) > UNSENT_LIMIT_BYTES:
                continue
            self._requests.tell(
                ResponseForwarded(key=stream.key, parts=stream.settle_parts()),
            )

    def withdraw(self, flow: Flow) -> None:
        """Give up all requests of a flow that ended."""
        for stream in self._streams.of(flow):
            self._abort(stream)

    @_report_reactions.add(RequestHead)
    def _start(self, flow: Flow, report: RequestHead) -> None:
        if not report.text_of(':method'):
            # These are trailers, maybe of a request that has ended here.
            self._continue(
                flow,
                RequestBody(
                    stream_id=report.stream_id,
                    payload=b'',
                    last=report.last,
                ),
            )
            return
        stream = self._streams.open(flow, report.stream_id)
        self._requests.tell(
            Submit(
                request=self._read_request(stream.key, flow, report),
                owner=self._owner,
            ),
        )
        if report.last:
            self._pass_body(stream, b'', last=True)

    @_report_reactions.add(RequestBody)
    def _continue(self, flow: Flow, report: RequestBody) -> None:
        stream = self._streams.at(flow, report.stream_id)
        if stream is not None:
            flow.pace(report.stream_id, len(report.payload))
            self._pass_body(stream, report.payload, last=report.last)

    @_report_reactions.add(RequestAborted)
    def _give_up(self, flow: Flow, report: RequestAborted) -> None:
        stream = self._streams.at(flow, report.stream_id)
        if stream is not None:
            self._abort(stream)

    @_answer_reactions.add(ResponseHead)
    def _write_head(self, stream: OpenStream, message: ResponseHead) -> None:
        stream.note_head()
        stream.flow.send_head(
            stream.stream_id,
            message.status,
            message.fields,
        )

    @_answer_reactions.add(ResponseBody)
    def _write_body(self, stream: OpenStream, message: ResponseBody) -> None:
        stream.owe_part()
        stream.flow.send_body(stream.stream_id, message.payload, last=False)

    @_answer_reactions.add(BodyBytesSent)
    def _note_taken(self, stream: OpenStream, message: BodyBytesSent) -> None:
        stream.flow.pace(stream.stream_id, -message.size_bytes)

    @_answer_reactions.add(ResponseEnd)
    def _write_end(self, stream: OpenStream, message: ResponseEnd) -> None:
        flow = stream.flow
        self._streams.close(stream)
        self._hops.note_request(stream, message.outcome)
        flow.finish(stream.stream_id)
        if isinstance(message.outcome, Answered):
            flow.send_body(stream.stream_id, b'', last=True)
        elif stream.head_sent:
            flow.cut(stream.stream_id)
        else:
            self._write_failure(stream, message)

    def _write_failure(self, stream: OpenStream, message: ResponseEnd) -> None:
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

    def _pass_body(
        self,
        stream: OpenStream,
        payload: bytes,
        *,
        last: bool,
    ) -> None:
        part = BodyPart(payload=payload, last=last)
        self._requests.tell(SubmitBody(key=stream.key, part=part))

    def _abort(self, stream: OpenStream) -> None:
        self._streams.close(stream)
        stream.flow.finish(stream.stream_id)
        self._requests.tell(CancelRequest(key=stream.key))

    def _read_request(
        self,
        key: int,
        flow: Flow,
        report: RequestHead,
    ) -> Request:
        now = self._clock.now()
        seconds = flow.kind.deadline_seconds
        stated = report.text_of(DEADLINE_FIELD)
        if stated.isdecimal() and len(stated) <= _MOST_DEADLINE_DIGITS:
            seconds = min(seconds, int(stated) / _MS_PER_SECOND)
        return Request(
            key=key,
            kind=flow.kind,
            method=report.text_of(':method'),
            path=report.text_of(':path'),
            fields=(
                *_end_to_end(report),
                *self._hops.trace_fields(flow, report.stream_id),
            ),
            arrived_at=now,
            deadline_at=now + seconds,
        )


def _end_to_end(report: RequestHead) -> tuple[HeaderField, ...]:
    kept = [field for field in report.fields if not field.name.startswith(':')]
    host = report.text_of(':authority')
    if host and not report.text_of('host'):
        kept.append(HeaderField(name='host', text=host))
    return tuple(kept)
