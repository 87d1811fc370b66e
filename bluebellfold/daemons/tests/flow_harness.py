"""Run the processes of a site and the flows of its clients, in tests."""

import asyncio
import hashlib
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from bluebellfold.core import Endpoint, Sentinel
from bluebellfold.daemons.tests.flow_checks import (
    FeedReader,
    Upload,
    assert_complete,
)
from bluebellfold.operators import StatusReport, fetch_all_statuses
from bluebellfold.standins.child import Child
from bluebellfold.standins.fleet import CONTROL_PORT, Fleet
from bluebellfold.standins.fleet_harness import FleetHarness
from bluebellfold.standins.quic_client import ClientFlow

SITE = 'marrinup'
BALANCER_COUNT = 3
STEP_SECONDS = 20.0
STATUS_INTERVAL_SECONDS = 0.05
LINES = 5

Reports = tuple[StatusReport | Sentinel, ...]


class FlowHarness:
    """Run a fleet and the flows of its clients."""

    def __init__(self, *, directory: Path) -> None:
        self.fleet = Fleet(directory=directory, site=SITE)
        self.fleet_harness = FleetHarness(fleet=self.fleet)
        self.feeds: list[FeedReader] = []
        self.response_tasks: list[asyncio.Task[None]] = []
        self._order_flows: list[ClientFlow] = []
        self._uploads: list[Upload] = []
        self._flows: list[tuple[ClientFlow, str]] = []
        self._feed_tasks: list[asyncio.Task[None]] = []
        self._used_balancers = set(range(BALANCER_COUNT))
        self._seeds = random.Random(4)
        self._runner = asyncio.Runner()

    def run(self, step: Awaitable[Any]) -> Any:
        """Run one step; raise TimeoutError after STEP_SECONDS."""
        return self._runner.run(asyncio.wait_for(step, STEP_SECONDS))

    async def start(self, **upstreams: int) -> None:
        """Start the platform, the balancers and the services."""
        await self.fleet.start_platform()
        await asyncio.gather(
            *(
                self.fleet.start_balancer(index)
                for index in range(BALANCER_COUNT)
            ),
        )
        await asyncio.gather(
            *(
                self.fleet.start_service(service, count)
                for service, count in upstreams.items()
            ),
        )
        await self.fleet.wait_for_members()

    def open_flow(self, kind: str) -> ClientFlow:
        """Return a flow whose datagrams are sprayed over the balancers."""
        flow = ClientFlow(
            balancers=self._addresses(kind),
            seed=self._seeds.getrandbits(32),
        )
        self._flows.append((flow, kind))
        return flow

    async def open_feeds(self, number: int) -> None:
        """Open feeds, and wait for a line of each."""
        feeds = [FeedReader(flow=self.open_flow('feed')) for _ in range(number)]
        self.feeds.extend(feeds)
        self._feed_tasks.extend(
            asyncio.create_task(feed.follow()) for feed in feeds
        )
        await asyncio.gather(*(feed.wait_for_lines(1) for feed in feeds))

    async def open_uploads(self, number: int) -> None:
        """Start uploads that continue until ``check_all``."""
        for _ in range(number):
            upload = Upload(
                flow=self.open_flow('batch'),
                path='/batch',
                seed=self._seeds.getrandbits(32),
            )
            self._uploads.append(upload)
            self.response_tasks.append(asyncio.create_task(upload.send()))

    def send_orders(self, number: int, *, work_ms: int, size: int) -> None:
        """Start to send orders; ``check_responses`` awaits the responses."""
        self.response_tasks.extend(
            asyncio.create_task(self._send_order(work_ms, size))
            for _ in range(number)
        )

    async def wait_until_delivered(self, number: int) -> None:
        """Wait until agents have received all bytes of ``number`` orders."""
        while sum(map(_is_delivered, self._order_flows)) < number:
            await asyncio.sleep(STATUS_INTERVAL_SECONDS)

    async def wait_until_started(self, number: int) -> None:
        """Wait until ``number`` orders have a slot of an upstream."""
        while await self.started_count() < number:
            await asyncio.sleep(STATUS_INTERVAL_SECONDS)

    async def started_count(self, *upstreams: str) -> int:
        """Return how many orders have had a slot of the upstreams."""
        names = upstreams or [name for name, _ in self.fleet.upstream_zones]
        records = await asyncio.gather(
            *map(self.fleet_harness.run_counts, names)
        )
        return sum(
            count['begun'] for record in records for count in record.values()
        )

    async def check_responses(self) -> None:
        """Check that every response is complete."""
        await asyncio.gather(*self.response_tasks)

    def feeds_of_draining_agents(self) -> list[FeedReader]:
        """Return the feeds whose agents are draining."""
        return [
            feed for feed in self.feeds if feed.flow.goaway_received.is_set()
        ]

    def feeds_of(self, upstream: str) -> list[FeedReader]:
        """Return the feeds served by the upstream."""
        return [feed for feed in self.feeds if feed.upstream == upstream]

    async def close_feed(self, feed: FeedReader) -> None:
        """Close a feed's flow from the client's side."""
        self._flows.remove((feed.flow, 'feed'))
        feed.flow.close()

    async def check_all(self) -> None:
        """Check that feeds continue and every response is complete."""
        await self.check_feeds()
        for upload in self._uploads:
            upload.finish()
        await self.check_responses()

    async def check_feeds(self) -> None:
        """Check that every feed continues without a gap."""
        await asyncio.gather(
            *(feed.wait_for_lines(LINES) for feed in self.feeds),
        )

    def set_balancer_used(self, index: int, *, used: bool) -> None:
        """Add a balancer to the fabric, or remove it."""
        change = (
            self._used_balancers.add if used else self._used_balancers.discard
        )
        change(index)
        for flow, kind in self._flows:
            flow.fabric.update_balancers(self._addresses(kind))

    async def wait_for_members(self, agents: set[str] | None = None) -> None:
        """Wait until each running balancer knows ``agents`` (default: all)."""
        running = tuple(
            self.balancer_control_endpoint(index)
            for index in range(BALANCER_COUNT)
            if self.child(f'balancer-{index + 1}').exit_code is None
        )
        if agents is None:
            agents = {f'agent-{name}' for name, _ in self.fleet.upstream_zones}
        await wait_for_status(
            running, lambda reports: _all_know(reports, agents)
        )

    @property
    def site_flags(self) -> tuple[str, str]:
        """Return the command line flags for the site's files."""
        return (f'--base={self.fleet.base}', f'--site={self.fleet.overlay}')

    def control_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the control endpoints of all processes."""
        agents = [
            Endpoint(host=self.child(name).host, port=CONTROL_PORT)
            for name, _zone in self.fleet.upstream_zones
        ]
        site = self.fleet.settings.site
        return (*site.balancers, *agents)

    def balancer_control_endpoint(self, index: int) -> Endpoint:
        """Return the control endpoint of a balancer."""
        site = self.fleet.settings.site
        return site.balancers[index]

    def child(self, name: str) -> Child:
        """Return the named process."""
        return self.fleet.child(name)

    async def close(self) -> None:
        """Close all flows, and stop all processes."""
        for task in (*self._feed_tasks, *self.response_tasks):
            task.cancel()
        await asyncio.gather(
            *self._feed_tasks,
            *self.response_tasks,
            return_exceptions=True,
        )
        for flow, _kind in self._flows:
            flow.close()
        await self.fleet.stop()

    def shut_down(self) -> None:
        """Close the harness and its event loop."""
        try:
            self.run(self.close())
        finally:
            self._runner.close()

    async def _send_order(self, work_ms: int, size: int) -> None:
        flow = self.open_flow('order')
        body = random.Random(size).randbytes(size)
        await flow.connect()
        stream_id = flow.start('POST', f'/order?work_ms={work_ms}', body=body)
        self._order_flows.append(flow)
        response = await flow.receive_response(stream_id)
        assert_complete(response, hashlib.sha256(body).hexdigest())
        flow.close()
        self._flows.remove((flow, 'order'))

    def _addresses(self, kind: str) -> tuple[Endpoint, ...]:
        addresses = self.fleet.addresses(kind)
        return tuple(addresses[index] for index in sorted(self._used_balancers))


async def wait_for_status(
    endpoints: tuple[Endpoint, ...],
    is_expected: Callable[[Reports], bool],
) -> Reports:
    """Wait for reports that meet ``is_expected``, and return them."""
    reports = await fetch_all_statuses(endpoints)
    while not is_expected(reports):
        await asyncio.sleep(STATUS_INTERVAL_SECONDS)
        reports = await fetch_all_statuses(endpoints)
    return reports


def _is_delivered(flow: ClientFlow) -> bool:
    return not flow.unacknowledged_bytes


def _all_know(reports: Reports, agents: set[str]) -> bool:
    return all(
        report and agents <= {member.name for member in report.members}
        for report in reports
    )
