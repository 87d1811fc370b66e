"""Call the exchange service of peers over persistent connections."""

import asyncio
import logging
from collections.abc import Iterable

from grpclib.client import Channel
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)

from bluebellfold.balancers.control_grpc import ExchangeStub
from bluebellfold.balancers.swap_codec import decode_response, encode_request
from bluebellfold.balancers.swaps import SwapRequest, SwapResponse
from bluebellfold.core import Endpoint, Sentinel

CALL_TIMEOUT_SECONDS = 1.0

_log = logging.getLogger(__name__)

_FAILURES = (OSError, ProtocolError, StreamTerminatedError)

UNREACHABLE = Sentinel(
    name='unreachable',
    reason='the peer refused the call or did not respond in time',
)


class ExchangeClient:
    """Own a connection to each peer that was called."""

    __slots__ = ('_channels', '_site')

    def __init__(self, *, site: str) -> None:
        self._site = site
        self._channels: dict[Endpoint, Channel] = {}

    async def swap(
        self,
        peer: Endpoint,
        request: SwapRequest,
    ) -> SwapResponse | Sentinel:
        """Return the peer's response, or UNREACHABLE."""
        stub = ExchangeStub(self._channel(peer))
        encoded = encode_request(request, site=self._site)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                response = await stub.Swap(encoded)
        except GRPCError as error:
            _log_refusal(peer, error)
            return UNREACHABLE
        except _FAILURES:
            self._close_channel(peer)
            return UNREACHABLE
        return decode_response(response)

    def retain_connections(self, peers: Iterable[Endpoint]) -> None:
        """Close the connections to all other peers."""
        for peer in self._channels.keys() - frozenset(peers):
            self._close_channel(peer)

    def close(self) -> None:
        """Close every connection."""
        self.retain_connections(())

    def _channel(self, peer: Endpoint) -> Channel:
        channel = self._channels.get(peer)
        if channel is None:
            channel = Channel(host=peer.host, port=peer.port)
            self._channels[peer] = channel
        return channel

    def _close_channel(self, peer: Endpoint) -> None:
        channel = self._channels.pop(peer, None)
        if channel is not None:
            channel.close()


def _log_refusal(peer: Endpoint, error: GRPCError) -> None:
    _log.warning(
        'peer refused the call',
        extra={
            'event': 'BBF0203',
            'peer': str(peer),
            'status': error.status.name,
            'problem': error.message,
        },
    )
