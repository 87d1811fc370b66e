"""Test that an odd entry never hides the others, or ends their reader."""

import asyncio
import json

import pytest

from bluebellfold.core import Sentinel
from bluebellfold.core.http_client import ClientResponse, HttpClient
from bluebellfold.core.site import Endpoint
from bluebellfold.platform import (
    UNREADABLE_ANNOUNCEMENT,
    UNREADABLE_CONFIGURATION,
    ObjectStoreClient,
    StoreError,
    decode_announcement,
    decode_routing,
)
from bluebellfold.platform.json_reader import read_json
from bluebellfold.platform.tests.odd_parts import ODD_PARTS
from bluebellfold.platform.tests.test_decoding import (
    ANNOUNCEMENT,
    CONFIGURATION,
    ROUTE,
)

GOOD = b'{"meta":{"Name":"good","Revision":5},"spec":{"host":"10.0.0.1"}}'
ENDPOINT = Endpoint(host='127.0.0.1', port=1)
odd_parts = pytest.mark.parametrize(
    'odd', ODD_PARTS.values(), ids=ODD_PARTS.keys()
)


class FixedResponses(HttpClient):
    """Return one body as the response to each call."""

    def __init__(self, body):
        super().__init__(endpoint=ENDPOINT)
        self._response = ClientResponse(status=200, body=body)

    async def send_request(
        self, request, *, timeout_seconds, max_body_bytes=None
    ):
        return self._response


def call(method, body, **fields):
    client = ObjectStoreClient(endpoint=ENDPOINT)
    client._http_client = FixedResponses(body)
    return asyncio.run(getattr(client, method)('agents', **fields))


def names_in(changes):
    return [change.stored.name for change in changes.changes]


def odd_entries(odd):
    return [
        odd,
        b'{"meta":%s,"spec":{}}' % odd,
        b'{"meta":{"Name":"odd","Revision":%s},"spec":{}}' % odd,
        b'{"meta":{"Name":%s,"Revision":7},"spec":{}}' % odd,
        b'{"meta":{"Name":"odd","Revision":7},"spec":%s}' % odd,
        b'{"spec":%s}' % odd,
    ]


@odd_parts
def test_list_with_an_odd_entry_holds_the_others(odd):
    for entry in odd_entries(odd):
        body = b'{"items":[%s,%s],"StoreRevision":9}' % (entry, GOOD)
        changes = call('list_objects', body)
        assert names_in(changes)[-1] == 'good'
        assert changes.position.revision == 9


@odd_parts
def test_watch_with_an_odd_event_holds_the_others(odd):
    good = b'{"Object":%s,"Deleted":false}' % GOOD
    odd_events = [b'{"Object":%s}' % entry for entry in odd_entries(odd)]
    odd_events += [odd, b'{"Object":%s,"Deleted":%s}' % (GOOD, odd)]
    for event in odd_events:
        body = b'{"events":[%s,%s],"StoreRevision":9}' % (event, good)
        changes = call('watch', body, revision=1, wait_seconds=1)
        assert names_in(changes)[-1] == 'good'
        # Only `true` itself tells that an agent has left.
        deleted = [change.deleted for change in changes.changes]
        assert any(deleted) == (b'"Deleted":true' in event)


@odd_parts
def test_response_that_is_odd_itself_is_a_typed_error(odd):
    with pytest.raises(StoreError):
        call('list_objects', odd)
    if odd != ODD_PARTS['port out of range']:
        # Any number of 64 bits may be a revision.
        with pytest.raises(StoreError):
            call('list_objects', b'{"items":[],"StoreRevision":%s}' % odd)


@odd_parts
@pytest.mark.parametrize('field', sorted(ANNOUNCEMENT))
def test_odd_field_makes_an_announcement_unreadable_at_most(field, odd):
    fields = [
        b'"%s":%s' % (name.encode(), json.dumps(part).encode())
        for name, part in ANNOUNCEMENT.items()
        if name != field
    ]
    fields.append(b'"%s":%s' % (field.encode(), odd))
    announcement = decode_announcement('i-1', b'{%s}' % b','.join(fields))
    if isinstance(announcement, Sentinel):
        assert announcement is UNREADABLE_ANNOUNCEMENT
        return
    assert 1 <= announcement.slots <= 65_535
    assert announcement.warmup_seconds <= 86_400
    assert announcement.sequence < 2**32


def test_announcement_with_a_huge_sequence_is_unreadable():
    # Each later announcement of the upstream would count as older.
    fields = {**ANNOUNCEMENT, 'Sequence': 10**18}
    body = json.dumps(fields).encode()
    assert decode_announcement('i-1', body) is UNREADABLE_ANNOUNCEMENT


@odd_parts
@pytest.mark.parametrize('field', sorted(ROUTE))
def test_odd_route_raises_nothing(field, odd):
    # The configuration in force stays, since a part of one could drop flows.
    route = {**ROUTE, field: read_json(odd)}
    decoded = decode_routing({**CONFIGURATION, 'Routes': [route]})
    if decoded is not UNREADABLE_CONFIGURATION:
        assert decoded
        assert decoded.size == 1


@pytest.mark.parametrize('prefix', ['/70000/', '/-1/', '/\u0661/', '//'])
def test_route_with_a_port_out_of_range_is_unreadable(prefix):
    route = {**ROUTE, 'PathPrefix': prefix}
    spec = {**CONFIGURATION, 'Routes': [route]}
    assert decode_routing(spec) is UNREADABLE_CONFIGURATION


@odd_parts
@pytest.mark.parametrize('field', ['Version', 'Limits', 'Routes'])
def test_odd_configuration_is_unreadable_and_raises_nothing(field, odd):
    spec = {**CONFIGURATION, field: read_json(odd)}
    decoded = decode_routing(spec)
    if decoded is not UNREADABLE_CONFIGURATION:
        assert decoded
        assert decoded.version >= 0
