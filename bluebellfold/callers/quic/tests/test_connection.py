"""Test TokenConnection and the private parts of aioquic that it uses."""

import inspect

import pytest
from aioquic.h3.connection import H3Connection
from aioquic.quic.connection import QuicConnection, QuicConnectionId

from bluebellfold.agents import TOKEN_BYTES
from bluebellfold.callers.quic.connection import TokenConnection
from bluebellfold.callers.quic.flow import BODY_BUFFER_LIMIT_BYTES
from bluebellfold.callers.quic.messages import RequestBody
from bluebellfold.callers.quic.tests.flow_harness import (
    AGENT,
    NEW_KEYS,
    OLD_KEYS,
    Client,
    FlowHarness,
    token_agent,
)

ATTRIBUTES = (
    '_handshake_complete',
    '_host_cid_seq',
    '_host_cids',
    '_local_initial_source_connection_id',
    '_remote_active_connection_id_limit',
    '_streams',
    'host_cid',
)
OVERRIDES = (
    ('_replenish_connection_ids', ['self']),
    (
        '_write_new_connection_id_frame',
        ['self', 'builder', 'connection_id'],
    ),
    ('_write_stream_limits', ['self', 'builder', 'space', 'stream']),
)
PART = bytes(65_536)


@pytest.mark.parametrize('name', ATTRIBUTES)
def test_aioquic_sets_the_private_attribute(name):
    assert name in vars(Client().quic)


@pytest.mark.parametrize(('name', 'parameters'), OVERRIDES)
def test_aioquic_has_the_overridden_method(name, parameters):
    base_method = getattr(QuicConnection, name)
    assert list(inspect.signature(base_method).parameters) == parameters
    assert getattr(TokenConnection, name) is not base_method


def test_aioquic_has_the_private_parts_that_are_used():
    assert callable(QuicConnection._on_new_connection_id_delivery)
    assert '_local_control_stream_id' in vars(H3Connection(Client().quic))
    fields = QuicConnectionId.__dataclass_fields__
    assert {'cid', 'sequence_number', 'stateless_reset_token'} <= set(fields)
    assert 'was_sent' in fields


def test_each_packet_after_the_first_flight_carries_a_token():
    harness = FlowHarness()
    assert harness.flow.is_established
    harness.client.request(b'order')
    harness.exchange_all()
    assert token_agent(harness.used_ids[0]) is None
    assert token_agent(harness.used_ids[-1]) == AGENT
    assert all(
        len(connection_id) == TOKEN_BYTES and token_agent(connection_id)
        for connection_id in harness.flow.connection_ids
    )


def test_renewal_moves_the_client_to_ids_sealed_with_the_new_key():
    harness = FlowHarness()
    assert harness.opener.update_keys(NEW_KEYS)
    harness.flow.renew_connection_ids()
    harness.exchange_all()
    harness.client.request(b'order')
    harness.exchange_all()
    assert harness.used_ids[-1][0] == NEW_KEYS[0].number
    numbers = {issued[0] for issued in harness.flow.connection_ids}
    assert numbers == {NEW_KEYS[0].number}


def test_a_flow_survives_repeated_renewals():
    harness = FlowHarness()
    for keys in (NEW_KEYS, OLD_KEYS) * 5:
        assert harness.opener.update_keys(keys)
        harness.flow.renew_connection_ids()
        harness.exchange_all()
        harness.client.request(b'order')
        harness.exchange_all()
        assert harness.used_ids[-1][0] == keys[0].number
    assert harness.client.termination is None


def test_a_paused_stream_stops_its_client_until_it_is_released():
    harness = FlowHarness()
    stream_id = harness.client.request(last=False)
    for _ in range(64):
        harness.client.http.send_data(stream_id, PART, end_stream=False)
        harness.exchange_all()
        received_bytes = _body_bytes(harness)
        harness.flow.add_buffered_bytes(
            stream_id, received_bytes - _buffered_bytes(harness, stream_id)
        )
    # The initial window of aioquic is granted in addition to the limit.
    assert _body_bytes(harness) < 64 * len(PART)
    assert _body_bytes(harness) >= BODY_BUFFER_LIMIT_BYTES
    harness.flow.release_stream(stream_id)
    harness.exchange_all()
    assert _body_bytes(harness) == 64 * len(PART)


def test_unacknowledged_bytes_decrease_as_the_client_acknowledges():
    harness = FlowHarness()
    stream_id = harness.client.request(b'order')
    harness.exchange_all()
    harness.flow.send_head(stream_id, 200, ())
    harness.flow.send_body(stream_id, PART, last=True)
    assert harness.flow.unacknowledged_bytes(stream_id) >= len(PART)
    harness.exchange_all()
    assert not harness.flow.unacknowledged_bytes(stream_id)
    assert harness.client.bodies[stream_id] == PART


def _body_bytes(harness: FlowHarness) -> int:
    return sum(
        len(message.payload)
        for message in harness.messages
        if isinstance(message, RequestBody)
    )


def _buffered_bytes(harness: FlowHarness, stream_id: int) -> int:
    return harness.flow._buffered_bytes.get(stream_id, 0)
