"""Encode and decode rows of shared objects: members and leases."""

import json

from bluebellfold.core import Endpoint, Member
from bluebellfold.store.codec import compact_json, malformed_response
from bluebellfold.store.lease import Lease
from bluebellfold.store.row_changes import Row

# No member has this name.
LEASE_KEY = '~lease'


def encode_rows(rows: tuple[Row, ...]) -> str:
    """Return the text of a shared object.

    >>> encode_rows((Row(key='a', version=(1, 2), text='{"x":3}'),))
    '{"a":{"version":[1,2],"row":{"x":3}}}'
    """
    return compact_json(
        {
            row.key: {'version': row.version, 'row': json.loads(row.text)}
            for row in rows
        }
    )


def decode_rows(text: str) -> tuple[Row, ...]:
    """Return the rows of a shared object, or raise PlatformResponseError."""
    try:
        return tuple(
            Row(
                key=key,
                version=(fields['version'][0], fields['version'][1]),
                text=compact_json(fields['row']),
            )
            for key, fields in dict(json.loads(text)).items()
        )
    except (ValueError, TypeError, KeyError) as error:
        raise malformed_response('rows') from error


def encode_member(member: Member) -> Row:
    """Return the row of a member."""
    fields = {
        'name': member.name,
        'service': member.service,
        'zone': member.zone,
        'host': member.endpoint.host,
        'port': member.endpoint.port,
        'control_port': member.control_port,
        'weight': member.weight,
        'state': member.state,
    }
    return Row(
        key=member.name, version=member.version, text=compact_json(fields)
    )


def decode_members(text: str) -> tuple[Member, ...]:
    """Return the members in an object, or raise PlatformResponseError."""
    rows = decode_rows(text)
    try:
        return tuple(
            _decode_member(row) for row in rows if row.key != LEASE_KEY
        )
    except (ValueError, TypeError, KeyError) as error:
        raise malformed_response('members') from error


def encode_lease(lease: Lease) -> Row:
    """Return the row of a lease."""
    fields = {
        'holder': lease.holder,
        'duration_seconds': lease.duration_seconds,
    }
    return Row(
        key=LEASE_KEY,
        version=(lease.fencing_token, lease.renewals),
        text=compact_json(fields),
    )


def find_lease(rows: tuple[Row, ...]) -> Lease | None:
    """Return the lease among the rows, or raise PlatformResponseError."""
    row = next((row for row in rows if row.key == LEASE_KEY), None)
    if row is None:
        return None
    fields = json.loads(row.text)
    try:
        return Lease(
            holder=fields['holder'],
            fencing_token=row.version[0],
            renewals=row.version[1],
            duration_seconds=fields['duration_seconds'],
        )
    except (TypeError, KeyError) as error:
        raise malformed_response('a lease') from error


def _decode_member(row: Row) -> Member:
    fields = json.loads(row.text)
    return Member(
        name=fields['name'],
        service=fields['service'],
        zone=fields['zone'],
        endpoint=Endpoint(host=fields['host'], port=fields['port']),
        control_port=fields['control_port'],
        weight=fields['weight'],
        state=fields['state'],
        incarnation=row.version[0],
        sequence=row.version[1],
    )
