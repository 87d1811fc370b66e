"""Run the site of a soak test, with controls for fault injection."""

import asyncio
import signal
import time
from collections.abc import Sequence
from itertools import pairwise
from pathlib import Path

from bluebellfold.core import Endpoint, Sentinel
from bluebellfold.platform import EVACUATIONS_KIND
from bluebellfold.soak.invariants import InvariantChecker
from bluebellfold.soak.proxy import StoreProxy
from bluebellfold.standins.child import Child
from bluebellfold.standins.packets import SERVICE
from bluebellfold.standins.relay_peers import StandinUpstream
from bluebellfold.standins.relay_site import (
    AGENT_SETTINGS,
    IDLE_MS,
    UPSTREAM_START_MS,
    RelaySite,
    make_configuration,
)

# The platform kills a process that does not stop within this time.
STOP_TIMEOUT_SECONDS = 6.0
ANNOUNCEMENT_SECONDS = 0.3
STORE = 'store'
# The store refuses some processes, cuts their watches or lost its history.
UNSTABLE_STORE = 'unstable-store'
# Port of the route that faults add and remove.
EXTRA_PORT = 444
# Port of the route that faults flood with new flows, and how long its requests
# take: 4 upstreams with 2 slots each finish 32 of them in a second.
BURST_PORT = 445
BURST_WORK_SECONDS = 0.25
MS_PER_SECOND = 1000
# A restarted upstream takes few new flows for this long.
WARMUP_SECONDS = 2.0
WARMUP_FLOWS_PER_SECOND = 2.0
WARMUP_OVERSHOOT = 1.5
# The clients open few flows: without the limit, an upstream gets 5 to 8 in a
# second, which a slack of 5 would allow.
WARMUP_SLACK = 1
BOUNDS = f"""
[bounds]
warmup_overshoot = {WARMUP_OVERSHOOT}
warmup_slack = {WARMUP_SLACK}
"""


class SoakSite(RelaySite):
    """Run a site whose processes reach the store through proxies."""

    agent_settings = AGENT_SETTINGS + BOUNDS
    warmup_rate = WARMUP_FLOWS_PER_SECOND
    ports = (SERVICE[1], BURST_PORT)
    zones = ('a', 'b', 'c')

    def __init__(
        self, *, folder: Path, net: int, checker: InvariantChecker
    ) -> None:
        super().__init__(folder=folder, net=net)
        self.checker = checker
        self.proxies: dict[str, StoreProxy] = {}
        self.incarnations: list[int] = []
        self.draining: set[int] = set()
        self.evacuated: set[str] = set()
        # By how much the usual number of new flows of a route is exceeded.
        self.burst_factor = 1
        self._warm_at: dict[int, float] = {}
        # Includes those that have crashed.
        self._all_upstreams: list[StandinUpstream] = []
        self.has_extra_route = False
        self.routes_changed_at = float(0)
        self._idle_changes = [(float(0), IDLE_MS)]
        self._version = 1
        self._configuration = make_configuration(
            self._version, *self.ports, warmup_rate=self.warmup_rate
        )
        self._started_at = time.monotonic()
        self._acquired: set[str] = set()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def reset_clock(self) -> None:
        """Restart the clock and reset the incarnations of upstreams."""
        self._started_at = time.monotonic()
        self._idle_changes = [(float(0), IDLE_MS)]
        self.incarnations = [UPSTREAM_START_MS for _ in self.upstreams]
        self._all_upstreams = list(self.upstreams)

    def set_extra_route(self, *, enabled: bool) -> None:
        """Add or remove the extra route in the configuration."""
        self.has_extra_route = enabled
        self.routes_changed_at = self.now()
        self._write_configuration()

    def set_idle_time(self, idle_ms: int) -> None:
        """Change after how many milliseconds idle flows may be removed."""
        self._idle_changes.append((self.now(), idle_ms))
        self._write_configuration()

    def repeat_operator_writes(self) -> None:
        """Write again what the operator wrote and the store has lost."""
        self._put_configuration()
        for zone in self.zones:
            stored = self.store.read(EVACUATIONS_KIND, zone)
            if zone in self.evacuated and not stored:
                self.store.put(EVACUATIONS_KIND, zone, {})
            elif stored and zone not in self.evacuated:
                self.end_evacuation(zone)

    def end_evacuation(self, zone: str) -> None:
        """Remove the object of an evacuation, if there is one."""
        stored = self.store.read(EVACUATIONS_KIND, zone)
        if isinstance(stored, Sentinel):
            return
        self.store.delete(
            EVACUATIONS_KIND, zone, revision=stored['meta']['Revision']
        )

    def may_expire(self, idle_since: float) -> bool:
        """Return whether a flow has been idle for longer than allowed."""
        changes = [*self._idle_changes, (self.now(), 0)]
        return any(
            (ended_at - idle_since) * MS_PER_SECOND > idle_ms
            for (_, idle_ms), (ended_at, _) in pairwise(changes)
        )

    def record_disturbance(self, component: str, seconds: float) -> None:
        """Record that a component is disturbed from now on."""
        now = self.now()
        self.checker.record_disturbance(
            component, started_at=now, ended_at=now + seconds
        )

    def agent_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the agents."""
        return tuple(agent.host for agent in self.agents)

    def openings(self, zone: str) -> list[tuple[str, float]]:
        """Return which upstreams of a zone received new flows, and when."""
        names = {
            upstream.name
            for index, upstream in enumerate(self.upstreams)
            if self.zone(index) == zone
        }
        return [
            (upstream.name, at - self._started_at)
            for upstream in self._all_upstreams
            if upstream.name in names
            for at in upstream.opening_times
        ]

    def find_accepting(self, flow: bytes) -> str:
        """Return the upstream that has accepted a flow, or an empty string.

        An upstream whose agent is disturbed doesn't count.
        """
        now = self.now()
        for upstream, agent in zip(self.upstreams, self.agents, strict=True):
            settled = self.checker.is_undisturbed(agent.host, at=now)
            if settled and upstream.has_accepted(flow):
                return upstream.name
        return ''

    def are_zones_settled(self) -> bool:
        """Return whether no zone is evacuated, or was until recently."""
        now = self.now()
        return not self.evacuated and all(
            self.checker.is_undisturbed(zone, at=now) for zone in self.zones
        )

    def can_serve(self) -> bool:
        """Return whether a settled upstream must get new flows."""
        return any(
            upstream.is_listening and self._must_get_flows(index)
            for index, upstream in enumerate(self.upstreams)
        )

    def try_acquire(self, component: str) -> bool:
        """Acquire a component for a fault, unless another fault has it."""
        if component in self._acquired:
            return False
        self._acquired.add(component)
        return True

    def try_acquire_all(self, components: Sequence[str]) -> bool:
        """Acquire components for a fault, unless another fault has one."""
        if not self._acquired.isdisjoint(components):
            return False
        self._acquired.update(components)
        return True

    def release(self, component: str) -> None:
        """Release a component for other faults."""
        self._acquired.discard(component)

    async def store_endpoint(self, host: str) -> Endpoint:
        """Return the endpoint of the proxy between a process and the store."""
        proxy = self.proxies.get(host)
        if proxy is None:
            proxy = StoreProxy(store=self.platform.endpoint)
            await proxy.start()
            self.proxies[host] = proxy
        return proxy.endpoint

    async def restart(self, children: list[Child], index: int) -> None:
        """Start a new process in place of one that ended."""
        host = children[index].host
        is_agent = children is self.agents
        start = self.start_agent if is_agent else self.start_balancer
        children[index] = await start(host)

    async def stop(self, child: Child) -> None:
        """Stop a process gracefully and check its exit code."""
        child.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                code = await child.wait()
        except TimeoutError:
            code = None
            child.kill()
            await child.wait()
        self.checker.record_exit(child.name, code)

    def crash_upstream(self, index: int) -> None:
        """Stop an upstream and lose its flows."""
        self.upstreams[index].close()

    def start_upstream(
        self, index: int, *, clock_step_ms: int = 1
    ) -> StandinUpstream:
        """Start a new incarnation of an upstream.

        Its start time differs from the previous one by ``clock_step_ms``.
        """
        self.incarnations[index] += clock_step_ms
        upstream = self.restart_upstream(index)
        self._all_upstreams.append(upstream)
        self.record_disturbance(upstream.name, 0)
        return upstream

    def start_cold_upstream(self, index: int) -> StandinUpstream:
        """Start a new incarnation of an upstream that has to warm up."""
        self._warm_at[index] = self.now() + WARMUP_SECONDS
        upstream = self.start_upstream(index)
        self.record_disturbance(upstream.name, WARMUP_SECONDS)
        return upstream

    async def announce_current(self, index: int) -> int:
        """Announce a running upstream, and return the response's status."""
        left = self._warm_at.get(index, 0) - self.now()
        return await self.announce(
            index,
            born=self.incarnations[index],
            state='draining' if index in self.draining else 'ready',
            warmup_ms=max(0, round(left * MS_PER_SECOND)),
        )

    async def keep_announcing(self) -> None:
        """Announce the running upstreams periodically, until cancelled."""
        while True:
            await asyncio.gather(
                *(
                    self.announce_current(index)
                    for index, upstream in enumerate(self.upstreams)
                    if upstream.is_listening
                ),
                return_exceptions=True,
            )
            await asyncio.sleep(ANNOUNCEMENT_SECONDS)

    def _must_get_flows(self, index: int) -> bool:
        zone, now = self.zone(index), self.now()
        if index in self.draining or zone in self.evacuated:
            return False
        return all(
            self.checker.is_undisturbed(component, at=now)
            for component in (
                zone,
                self.agents[index].host,
                self.upstreams[index].name,
            )
        )

    def _write_configuration(self) -> None:
        self._version += 1
        ports = (*self.ports, EXTRA_PORT)[: 2 + self.has_extra_route]
        _, idle_ms = self._idle_changes[-1]
        self._configuration = make_configuration(
            self._version,
            *ports,
            idle_ms=idle_ms,
            warmup_rate=self.warmup_rate,
        )
        self._put_configuration()

    def _put_configuration(self) -> None:
        self.store.put('config', 'main', self._configuration)
