"""Encode and decode rows of shared objects: members and leases."""

import json
from typing import Any

from bluebellfold.core import Endpoint, Member
from bluebellfold.platform import is_integer, is_number, is_text, read_json
from bluebellfold.store.codec import compact_json, malformed_response
from bluebellfold.store.lease import Lease
from bluebellfold.store.row_changes import Row

# The version of a row that can't be read: older than any other.
NO_ROW_VERSION = (0, 0)
MAX_COUNT = 0x7FFFFFFFFFFFFFFF
MAX_PORT = 65_535
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
    """Return the rows of a shared object, or raise PlatformResponseError.

    A row that can't be read is kept, and names no member.
    """
    document = read_json(text.encode('utf-8', 'replace'))
    if not isinstance(document, dict):
        raise malformed_response('rows')
    return tuple(_decode_row(key, fields) for key, fields in document.items())


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
    """Return the members in an object, or raise PlatformResponseError.

    A row that describes no member is left out, and the others hold.
    """
    rows = [row for row in decode_rows(text) if row.key != LEASE_KEY]
    decoded = map(_decode_member, rows)
    return tuple(member for member in decoded if member is not None)


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


def _decode_row(key: str, fields: Any) -> Row:
    version = fields.get('version') if isinstance(fields, dict) else None
    if not _is_version(version):
        return Row(key=key, version=NO_ROW_VERSION, text=compact_json(fields))
    return Row(
        key=key,
        version=(version[0], version[1]),
        text=compact_json(fields.get('row')),
    )


def _is_version(version: Any) -> bool:
    if not isinstance(version, list) or len(version) != 2:
        return False
    return all(is_integer(part, least=0, most=MAX_COUNT) for part in version)


def _describes_member(fields: Any) -> bool:
    if not isinstance(fields, dict):
        return False
    names = ('name', 'zone', 'host', 'state')
    numbers = ('port', 'control_port', 'service')
    return (
        all(is_text(fields.get(name)) for name in names)
        and all(
            is_integer(fields.get(name), least=0, most=MAX_PORT)
            for name in numbers
        )
        and is_number(fields.get('weight'), least=0, most=MAX_COUNT)
    )


def _decode_member(row: Row) -> Member | None:
    fields = json.loads(row.text)
    if not _describes_member(fields):
        return None
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
