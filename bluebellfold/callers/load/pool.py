"""Share a fixed number of flows among the requests of a kind."""

import asyncio
import random

from bluebellfold.callers.load.flow import LoadFlow
from bluebellfold.callers.load.plan import KindLoad


class PooledFlow:
    """Hold one flow, and replace it after it has ended."""

    __slots__ = ('_connect_lock', '_flow', '_kind', '_rng')

    def __init__(self, *, kind: KindLoad, rng: random.Random) -> None:
        self._kind = kind
        self._rng = rng
        self._connect_lock = asyncio.Lock()
        self._flow: LoadFlow | None = None

    async def ensure_connected(self) -> LoadFlow:
        """Return a connected flow, or raise FlowEndedError."""
        async with self._connect_lock:
            if self._flow is None or self._flow.is_ended:
                flow = LoadFlow(
                    balancers=self._kind.balancers,
                    rng=self._rng,
                )
                await flow.connect()
                self._flow = flow
            return self._flow

    def discard(self, flow: LoadFlow) -> None:
        """Use a new flow from now on; pending responses still arrive."""
        if self._flow is flow:
            self._flow = None

    def close(self) -> None:
        """Close the flow, if there is one."""
        if self._flow is not None:
            self._flow.close()


class FlowPool:
    """Hold the flows of one kind, and select them round-robin."""

    __slots__ = ('_next_index', '_pooled_flows')

    def __init__(
        self,
        *,
        kind: KindLoad,
        size: int,
        rng: random.Random,
    ) -> None:
        self._pooled_flows = [
            PooledFlow(kind=kind, rng=rng) for _ in range(size)
        ]
        self._next_index = 0

    def next_flow(self) -> PooledFlow:
        """Return the next flow, round-robin."""
        self._next_index = (self._next_index + 1) % len(self._pooled_flows)
        return self._pooled_flows[self._next_index]

    def close(self) -> None:
        """Close all flows."""
        for pooled_flow in self._pooled_flows:
            pooled_flow.close()
