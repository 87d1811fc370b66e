"""Trace flows and requests under ids that balancers derive as well."""

import time

from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.quic.streams import OpenStream
from bluebellfold.collectors import (
    WHOLE_FLOW,
    Attribute,
    Span,
    Traces,
    owner_span_id,
    trace_id_of,
)
from bluebellfold.upstreams import HeaderField, Outcome, outcome_name

TRACE_FIELD = 'traceparent'


class FlowTracer:
    """Record the spans of traced flows."""

    __slots__ = ('_traces',)

    def __init__(self, *, traces: Traces) -> None:
        self._traces = traces

    def trace_fields(
        self,
        flow: Flow,
        stream_id: int,
    ) -> tuple[HeaderField, ...]:
        """Return the header field that propagates the trace upstream."""
        if not self._traces.is_traced(flow.key):
            return ()
        trace = format(trace_id_of(flow.key), '032x')
        span = format(owner_span_id(flow.key, stream_id), '016x')
        return (HeaderField(name=TRACE_FIELD, text=f'00-{trace}-{span}-01'),)

    def record_flow(self, flow: Flow, error_code: int) -> None:
        """Record the span of a flow that ended."""
        self._record(
            'agent.flow',
            flow,
            WHOLE_FLOW,
            flow.started_at,
            (Attribute(name='error_code', attribute_value=error_code),),
        )

    def record_request(self, stream: OpenStream, outcome: Outcome) -> None:
        """Record the span of a request that ended."""
        self._record(
            'agent.request',
            stream.flow,
            stream.stream_id,
            stream.started_at,
            (Attribute(name='outcome', attribute_value=outcome_name(outcome)),),
        )

    def _record(
        self,
        name: str,
        flow: Flow,
        request: int,
        started_at: float,
        attributes: tuple[Attribute, ...],
    ) -> None:
        if not self._traces.is_traced(flow.key):
            return
        kind = Attribute(name='kind', attribute_value=flow.kind.name)
        self._traces.record(
            Span(
                name=name,
                flow=flow.key,
                request=request,
                owner=True,
                started_at=started_at,
                ended_at=time.time(),
                attributes=(kind, *attributes),
            ),
        )
