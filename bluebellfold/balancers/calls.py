"""Run the swap calls of the exchange task to its peers."""

import asyncio
from collections.abc import Iterable
from random import Random

from bluebellfold.balancers.client import ExchangeClient
from bluebellfold.balancers.messages import SwapEnded
from bluebellfold.balancers.swaps import SwapRequest, SwapResponse
from bluebellfold.balancers.timers import tell_with_retry
from bluebellfold.core import Actor, Endpoint, Reply, Sentinel


class SwapCalls:
    """Start calls, and send their results to the actor that owns them."""

    __slots__ = ('_actor', '_client', '_in_progress', '_rng')

    def __init__(self, *, actor: Actor, site: str, rng: Random) -> None:
        self._actor = actor
        self._client = ExchangeClient(site=site)
        self._rng = rng
        self._in_progress: set[Endpoint] = set()

    def choose(self, peers: Iterable[Endpoint], limit: int) -> list[Endpoint]:
        """Return random peers, up to the limit, without a call in progress."""
        idle = [peer for peer in peers if peer not in self._in_progress]
        return self._rng.sample(idle, min(limit, len(idle)))

    def start(
        self,
        peers: Iterable[Endpoint],
        request: SwapRequest,
        *,
        follow_ups_left: int,
        reply: Reply | None = None,
    ) -> None:
        """Call the peers in parallel; the reply receives the response count."""
        targets = tuple(peers)
        self._in_progress.update(targets)
        calls = [self._call(peer, request, follow_ups_left) for peer in targets]
        self._actor.spawn(_count_responses(calls, reply), name='calls')

    def mark_idle(self, peer: Endpoint) -> None:
        """Record that a call to the peer ended."""
        self._in_progress.discard(peer)

    def retain_connections(self, peers: Iterable[Endpoint]) -> None:
        """Close the connections to other peers without a call in progress."""
        self._client.retain_connections(self._in_progress.union(peers))

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _call(
        self,
        peer: Endpoint,
        request: SwapRequest,
        follow_ups_left: int,
    ) -> SwapResponse | Sentinel:
        response = await self._client.swap(peer, request)
        ended = SwapEnded(
            peer=peer, response=response, follow_ups_left=follow_ups_left
        )
        await tell_with_retry(self._actor, ended)
        return response


async def _count_responses(calls: list, reply: Reply | None) -> None:
    responses = await asyncio.gather(*calls)
    if reply is not None:
        reply.put(sum(1 for response in responses if response))
