"""Make planned changes to a site while flows run."""

import asyncio
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from bluebellfold.core import Endpoint
from bluebellfold.daemons.tests.flow_harness import (
    STEP_SECONDS,
    FlowHarness,
    Reports,
    wait_for_status,
)
from bluebellfold.operators import fetch_all_statuses
from bluebellfold.standins.child import Child
from bluebellfold.standins.fleet import CONTROL_PORT

KEYS_RELOADED = 'BBF0106'
# As the fleet writes it: a key that occurs twice is refused.
START_WEIGHT = 'weight = 1\n'


class PlannedChangeHarness(FlowHarness):
    """Replace, add, drain and configure the processes of a site."""

    async def replace_balancer(self, index: int) -> None:
        """Stop a balancer gracefully, and restart it."""
        position = index + 1
        child = self.fleet.child(f'balancer-{position}')
        await self.terminate_balancer(index)
        assert await child.wait() == 0
        await self.check_feeds()
        await self.fleet.start_balancer(index)
        await self.wait_for_members()
        self.set_balancer_used(index, used=True)

    async def terminate_balancer(self, index: int) -> None:
        """Send SIGTERM to a balancer, and remove it from the fabric."""
        position = index + 1
        self.child(f'balancer-{position}').terminate()
        endpoint = self.balancer_control_endpoint(index)
        await wait_for_status((endpoint,), _is_draining)
        self.set_balancer_used(index, used=False)

    async def terminate_agent(self, upstream: str) -> None:
        """Send SIGTERM to an agent, and wait until it is draining."""
        child = self.child(f'agent-{upstream}')
        child.terminate()
        endpoint = Endpoint(host=child.host, port=CONTROL_PORT)
        await wait_for_status((endpoint,), _is_draining)

    async def add_upstream(self, service: str, position: int) -> None:
        """Start an upstream and its agent in the first zone."""
        name = f'{service}-{position}'
        await self.fleet.start_upstream(service, name)
        site = self.fleet.settings.site
        await self.fleet.start_agent(service, name, zone=site.zones[0])
        await self.wait_for_members()

    async def open_feeds_until(self, upstream: str) -> None:
        """Open feeds until the upstream serves one."""
        while upstream not in {feed.upstream for feed in self.feeds}:
            await self.open_feeds(1)

    async def start_replacement_agent(self, upstream: str) -> None:
        """Start a second agent next to the one of an upstream."""
        zones = dict(self.fleet.upstream_zones)
        child = await self.fleet.start_agent(
            'counter',
            upstream,
            zone=zones[upstream],
            generation=1,
        )
        await self.wait_for_members({child.name})

    async def drain(self, name: str, *, seconds: float = STEP_SECONDS) -> None:
        """Drain an upstream's agent with the operator's command."""
        drained = await self.fleet_harness.run_command(
            'drain',
            f'agent-{name}',
            *self.site_flags,
            f'--deadline={seconds}',
        )
        assert not drained.code, drained.output

    async def apply(self, *changes: tuple[str, str]) -> None:
        """Apply changes to the overlay, and wait until they are in force."""
        text = self.fleet.overlay.read_text()
        for old, new in changes:
            assert old in text
            text = text.replace(old, new)
        self.fleet.overlay.write_text(text)
        before = max(
            _versions(await fetch_all_statuses(self.control_endpoints()))
        )
        applied = await self.fleet_harness.run_command(
            'config', 'apply', *self.site_flags
        )
        assert not applied.code, applied.output
        await wait_for_status(
            self.control_endpoints(),
            lambda reports: min(_versions(reports)) > before,
        )

    def change_weight(self, upstream: str, weight: float) -> None:
        """Set the weight in the agent's file, and reload the file."""
        agent = f'agent-{upstream}'
        settings = self.fleet.directory / f'{agent}.ini'
        text = settings.read_text()
        assert START_WEIGHT in text
        settings.write_text(text.replace(START_WEIGHT, f'weight = {weight}\n'))
        self.fleet.child(agent).send_signal(signal.SIGHUP)

    async def wait_for_weight(self, upstream: str, weight: float) -> None:
        """Wait until every process knows the weight."""
        agent = f'agent-{upstream}'
        await wait_for_status(
            self.control_endpoints(),
            lambda reports: all(
                _weight(agent, report) == weight for report in reports
            ),
        )

    async def rotate_keys(self) -> None:
        """Perform one step of a key rotation at every process."""
        daemons = [child for child in self.fleet.children if _is_daemon(child)]
        rotated = await self.fleet_harness.run_command(
            'keys',
            'rotate',
            str(self.fleet.keys_file),
        )
        assert not rotated.code, rotated.output
        await asyncio.gather(*map(_reload_keys, daemons))

    async def drop_count(self, reason: str) -> int:
        """Return how many packets were dropped for a reason."""
        reports = await fetch_all_statuses(self.control_endpoints())
        return sum(
            count.times
            for report in reports
            for count in report.drops
            if count.name == reason
        )


def _weight(agent, report):
    weights = {member.name: member.weight for member in report.members}
    return weights.get(agent)


@contextmanager
def open_harness(directory: Path) -> Iterator[PlannedChangeHarness]:
    """Yield a harness, and shut it down afterwards."""
    harness = PlannedChangeHarness(directory=directory)
    try:
        yield harness
    finally:
        harness.shut_down()


def _is_draining(reports: Reports) -> bool:
    return all(not report or report.state == 'draining' for report in reports)


def _versions(reports: Reports) -> list[int]:
    return [report.version if report else 0 for report in reports]


async def _reload_keys(child: Child) -> None:
    reloads = child.log.count(KEYS_RELOADED)
    child.send_signal(signal.SIGHUP)
    await child.wait_for_log(KEYS_RELOADED, times=reloads + 1)


def _is_daemon(child: Child) -> bool:
    return child.name.startswith(('agent-', 'balancer-'))
