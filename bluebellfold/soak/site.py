"""Give the faults of a soak something to strike."""

import asyncio
import signal
import time
from pathlib import Path

from bluebellfold.core import Endpoint
from bluebellfold.soak.ledger import Ledger
from bluebellfold.soak.proxy import StoreProxy
from bluebellfold.standins.child import Child
from bluebellfold.standins.packets import SERVICE
from bluebellfold.standins.relay_ends import StandinUpstream
from bluebellfold.standins.relay_site import (
    BORN,
    RelaySite,
    configuration_of,
)

# Processes that are asked to stop are killed after this, by the platform.
GRACE_SECONDS = 6.0
BEAT_SECONDS = 0.3
STORE = 'store'
# A route that comes and goes.
EXTRA_PORT = 444


class SoakSite(RelaySite):
    """Run processes that each have a proxy before the store."""

    def __init__(self, *, folder: Path, net: int, ledger: Ledger) -> None:
        super().__init__(folder=folder, net=net)
        self.ledger = ledger
        self.proxies: dict[str, StoreProxy] = {}
        self.born: list[int] = []
        self.draining: set[int] = set()
        self.has_extra = False
        self.routes_since = float(0)
        self._version = 1
        self._began_at = time.monotonic()
        self._busy: set[str] = set()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._began_at

    def begin(self) -> None:
        """Let the run begin."""
        self._began_at = time.monotonic()
        self.born = [BORN for _ in self.upstreams]

    def change_routes(self, *, has_extra: bool) -> None:
        """Let the operator add a route, or drop it."""
        self.has_extra = has_extra
        self._version += 1
        self.routes_since = self.now()
        ports = (SERVICE[1], EXTRA_PORT) if has_extra else (SERVICE[1],)
        self.store.put(
            'config', 'main', configuration_of(self._version, *ports)
        )

    def note_trouble(self, what: str, seconds: float) -> None:
        """Note that something is disturbed from now on."""
        now = self.now()
        self.ledger.note_trouble(what, began=now, ended=now + seconds)

    def agent_hosts(self) -> tuple[str, ...]:
        """Return where the agents run."""
        return tuple(agent.host for agent in self.agents)

    def index_of(self, upstream: str) -> int | None:
        """Return the place of an upstream by its name."""
        names = [known.name for known in self.upstreams]
        return names.index(upstream) if upstream in names else None

    def claim(self, what: str) -> bool:
        """Tell whether nothing else strikes a thing, and claim it."""
        if what in self._busy:
            return False
        self._busy.add(what)
        return True

    def release(self, what: str) -> None:
        """Let others strike a thing again."""
        self._busy.discard(what)

    async def store_of(self, host: str) -> Endpoint:
        """Return the proxy through which a process sees the store."""
        proxy = self.proxies.get(host)
        if proxy is None:
            proxy = StoreProxy(store=self.platform.endpoint)
            await proxy.start()
            self.proxies[host] = proxy
        return proxy.endpoint

    async def restart(self, children: list[Child], index: int) -> None:
        """Start the process of a place again."""
        host = children[index].host
        is_agent = children is self.agents
        start = self.start_agent if is_agent else self.start_balancer
        children[index] = await start(host)

    async def stop(self, child: Child) -> None:
        """Ask a process to stop, and note how it ends."""
        child.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                code = await child.wait()
        except TimeoutError:
            code = None
            child.kill()
            await child.wait()
        self.ledger.note_end(child.name, code)

    def crash_upstream(self, index: int) -> None:
        """End an upstream; its flows are lost."""
        self.upstreams[index].close()

    def start_upstream(self, index: int) -> StandinUpstream:
        """Start an upstream anew at its place."""
        self.born[index] += 1
        return self.replace_upstream(index)

    async def keep_announcing(self) -> None:
        """Announce the upstreams that run, until cancelled."""
        while True:
            await asyncio.gather(
                *(
                    self.announce(
                        index,
                        born=self.born[index],
                        state='draining' if index in self.draining else 'ready',
                    )
                    for index, upstream in enumerate(self.upstreams)
                    if upstream.listens
                ),
                return_exceptions=True,
            )
            await asyncio.sleep(BEAT_SECONDS)
