"""Test the decoding of announcements, calls and configurations."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.core import RoutingTable, Sentinel, pack_address
from bluebellfold.platform import (
    UNKNOWN_CALL,
    UNREADABLE_ANNOUNCEMENT,
    UNREADABLE_CONFIGURATION,
    AnnounceCall,
    DeregisterCall,
    ReadinessCall,
    decode_announcement,
    decode_call,
    decode_routing,
)

ANNOUNCEMENT = {
    'Service': 'counter',
    'Address': '10.128.0.9:8080',
    'Zone': 'a',
    'Version': 'v1',
    'Concurrency': 2,
    'State': 'ready',
    'WarmupLeftMs': 1500,
    'Sequence': 4,
    'born': 1_760_000_000_000,
}
ROUTE = {
    'Name': 'r',
    'Hostname': '198.18.0.1',
    'PathPrefix': '/8080/',
    'Type': 'idempotent',
    'TimeoutMs': 2500,
    'TargetLatencyMs': 150,
    'Priority': 2,
    'Service': 'counter',
}
CONFIGURATION = {
    'Version': 7,
    'Routes': [ROUTE],
    'Services': [
        {'Name': 'counter', 'WarmupPerS': 4.0},
        {'Name': 'makeroom', 'WarmupPerS': 0},
        {'Name': 'press'},
    ],
    'Limits': {'IdleTimeoutMs': 15_000},
}


def test_announcement_is_decoded():
    announcement = decode_announcement('i-1', json.dumps(ANNOUNCEMENT).encode())
    assert announcement
    assert announcement.slots == 2
    assert announcement.warmup_seconds == pytest.approx(1.5)
    assert not announcement.draining
    assert announcement.born == 1_760_000_000_000
    assert announcement.sequence == 4


@pytest.mark.parametrize(
    ('field', 'invalid'),
    [
        ('Service', 7),
        ('State', 'resting'),
        ('Sequence', '4'),
        ('Sequence', None),
        ('Concurrency', 2.5),
        ('born', 'today'),
        ('WarmupLeftMs', 'long'),
    ],
)
def test_invalid_field_makes_announcement_unreadable(field, invalid):
    body = json.dumps({**ANNOUNCEMENT, field: invalid}).encode()
    assert decode_announcement('i-1', body) is UNREADABLE_ANNOUNCEMENT


@given(st.binary(max_size=200))
def test_arbitrary_body_is_unreadable_announcement(body):
    assert decode_announcement('i-1', body) is UNREADABLE_ANNOUNCEMENT


def test_calls_are_decoded_by_method_and_path():
    body = json.dumps(ANNOUNCEMENT).encode()
    announce = decode_call(
        'POST', '/bluebellfold/Instances.Heartbeat/i-1', body
    )
    assert isinstance(announce, AnnounceCall)
    deregister = decode_call(
        'POST', '/bluebellfold/Instances.Deregister/i-1', b''
    )
    assert deregister == DeregisterCall(name='i-1')
    readiness = decode_call('GET', '/bluebellfold/ready', b'')
    assert readiness == ReadinessCall()
    assert decode_call('GET', '/else', b'') is UNKNOWN_CALL


def test_routes_are_decoded():
    table = decode_routing(CONFIGURATION)
    assert table
    route = table.find(pack_address('198.18.0.1', 8080))
    assert route
    assert table.version == 7
    assert table.idle_seconds == 15
    assert route.repeatable
    assert route.select_service(0.5) == 'counter'
    assert table.find(pack_address('198.18.0.1', 8081)) is None


def test_optional_fields_of_a_route_are_decoded():
    route = {**ROUTE, 'AllowedRegions': ['north', 'south']}
    table = decode_routing({**CONFIGURATION, 'Routes': [route]})
    assert table
    found = table.find(pack_address('198.18.0.1', 8080))
    assert found
    assert found.target_seconds == pytest.approx(0.15)
    assert found.allowed_regions == {'north', 'south'}


def test_route_without_optional_fields_is_decoded():
    route = {**ROUTE}
    route.pop('TargetLatencyMs')
    table = decode_routing({**CONFIGURATION, 'Routes': [route]})
    assert table
    found = table.find(pack_address('198.18.0.1', 8080))
    assert found
    assert found.target_seconds == 0
    assert not found.allowed_regions


# Guards against any region for a route whose regions are unreadable.
@pytest.mark.parametrize('regions', [7, 'north', [7], [None], [['north']]])
def test_route_with_unreadable_regions_is_rejected(regions):
    route = {**ROUTE, 'AllowedRegions': regions}
    decoded = decode_routing({**CONFIGURATION, 'Routes': [route]})
    assert decoded is UNREADABLE_CONFIGURATION


@pytest.mark.parametrize(
    ('name', 'rate'), [('counter', 4), ('makeroom', 0), ('press', 0)]
)
def test_warmup_rate_of_a_service_is_decoded(name, rate):
    table = decode_routing(CONFIGURATION)
    assert table
    service = table.find_service(name)
    assert service
    assert service.warmup_flows_per_second == rate


def test_configuration_without_routes_is_valid():
    table = decode_routing({**CONFIGURATION, 'Routes': []})
    assert table
    assert table.size == 0


def test_traffic_split_is_decoded():
    split = [
        {'Service': 'counter', 'Weight': 90},
        {'Service': 'makeroom', 'Weight': 10},
    ]
    route = {**ROUTE, 'TrafficSplit': split}
    route.pop('Service')
    table = decode_routing({**CONFIGURATION, 'Routes': [route]})
    assert table
    found = table.find(pack_address('198.18.0.1', 8080))
    assert found
    assert found.select_service(0.89) == 'counter'
    assert found.select_service(0.91) == 'makeroom'


@pytest.mark.parametrize('field', [*CONFIGURATION, 'PathPrefix', 'Hostname'])
def test_invalid_field_makes_configuration_unreadable(field):
    if field == 'Services':
        return
    spec = {**CONFIGURATION, 'Routes': [dict(ROUTE)]}
    section = spec if field in spec else spec['Routes'][0]
    section[field] = 'unfit'
    assert decode_routing(spec) is UNREADABLE_CONFIGURATION


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
def test_arbitrary_specification_is_a_table_or_sentinel(spec):
    decoded = decode_routing(spec)
    assert isinstance(decoded, RoutingTable | Sentinel)


@pytest.mark.parametrize('entry', [None, 1, 'counter', []])
@pytest.mark.parametrize('part', ['Routes', 'Services'])
def test_entry_that_is_no_object_makes_configuration_unreadable(part, entry):
    # A service that is null raised AttributeError in the balancer's watch.
    spec = {**CONFIGURATION, part: [entry]}
    assert decode_routing(spec) is UNREADABLE_CONFIGURATION
