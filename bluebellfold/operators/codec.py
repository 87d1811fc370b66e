"""Encode and decode status reports for control calls."""

from collections.abc import Iterable

from bluebellfold.core import Count, Endpoint, Member
from bluebellfold.operators import control_pb2
from bluebellfold.operators.messages import StatusReport

PLAIN_FIELDS = (
    'name',
    'role',
    'zone',
    'service',
    'state',
    'version',
    'flows',
    'slots',
    'connections',
)
MEMBER_FIELDS = (
    'name',
    'service',
    'zone',
    'control_port',
    'weight',
    'state',
    'incarnation',
    'sequence',
)


def encode_report(report: StatusReport) -> control_pb2.StatusAnswer:
    """Return the protobuf message of a report."""
    return control_pb2.StatusAnswer(
        requests=_encode_counts(report.requests),
        drops=_encode_counts(report.drops),
        members=[_encode_member(member) for member in report.members],
        **{field: getattr(report, field) for field in PLAIN_FIELDS},
    )


def decode_report(response: control_pb2.StatusAnswer) -> StatusReport:
    """Return the report in a protobuf message."""
    return StatusReport(
        requests=_decode_counts(response.requests),
        drops=_decode_counts(response.drops),
        members=tuple(_decode_member(row) for row in response.members),
        **{field: getattr(response, field) for field in PLAIN_FIELDS},
    )


def _encode_counts(counts: Iterable[Count]) -> list[control_pb2.Count]:
    return [
        control_pb2.Count(name=count.name, times=count.times)
        for count in counts
    ]


def _decode_counts(
    counts: Iterable[control_pb2.Count],
) -> tuple[Count, ...]:
    return tuple(Count(name=count.name, times=count.times) for count in counts)


def _encode_member(member: Member) -> control_pb2.MemberRow:
    return control_pb2.MemberRow(
        host=member.endpoint.host,
        port=member.endpoint.port,
        **{field: getattr(member, field) for field in MEMBER_FIELDS},
    )


def _decode_member(row: control_pb2.MemberRow) -> Member:
    return Member(
        endpoint=Endpoint(host=row.host, port=row.port),
        **{field: getattr(row, field) for field in MEMBER_FIELDS},
    )
