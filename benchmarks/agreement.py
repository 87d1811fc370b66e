"""Measure platform calls and configuration changes of a fleet of processes.

Run ``python -m benchmarks.agreement``; takes about two minutes. For each size
it counts the platform calls while the processes join and while they are idle,
then applies configuration changes. A change is timed from just before its
write until every process reports its version.
"""

import asyncio
import re
import tempfile
import time
from pathlib import Path

from bluebellfold.operators.apply import apply_change, read_change
from bluebellfold.operators.config_commands import open_store
from bluebellfold.standins.fleet import Fleet
from bluebellfold.standins.fleet_harness import FleetHarness

SIZES = ((3, 2), (3, 8), (3, 16), (6, 8), (12, 8))
IDLE_SECONDS = 8.0
CHANGES = 10
FIRST_UPSTREAM_COUNT = 20
SITE = 'marrinup'


class Measurement:
    """Start a fleet and measure it."""

    def __init__(self, directory: Path, *, balancers: int, agents: int) -> None:
        self._fleet = Fleet(directory=directory, site=SITE)
        self._harness = FleetHarness(fleet=self._fleet)
        self._balancers = balancers
        self._agents = agents
        self._write_balancers()

    async def run(self) -> str:
        """Return a row of the table."""
        try:
            return await self._measure()
        finally:
            await self._fleet.stop()

    async def _measure(self) -> str:
        await self._fleet.start_platform()
        await self._harness.start_balancers()
        await self._fleet.start_service('counter', self._agents)
        await self._fleet.wait_for_members()
        calls_to_join = await self._harness.platform_call_counts()
        await asyncio.sleep(IDLE_SECONDS)
        calls_after_idle = await self._harness.platform_call_counts()
        rate = (
            sum(calls_after_idle.values()) - sum(calls_to_join.values())
        ) / IDLE_SECONDS
        durations = sorted(
            [await self._time_change(number) for number in range(CHANGES)]
        )
        cells = (
            self._balancers,
            self._agents,
            calls_to_join.get('read', 0),
            calls_to_join.get('write', 0),
            f'{rate:.1f}',
            f'{durations[CHANGES // 2] * 1000:.0f}',
            f'{durations[-1] * 1000:.0f}',
        )
        return f'| {" | ".join(map(str, cells))} |'

    async def _time_change(self, number: int) -> float:
        settings = self._fleet.settings
        site = settings.site
        text = re.sub(
            'upstreams = [0-9]+',
            f'upstreams = {number + FIRST_UPSTREAM_COUNT}',
            settings.text,
            count=1,
        )
        async with open_store(site.platform) as store:
            change = await read_change(store, site=site.name, text=text)
            started_at = time.monotonic()
            written = await apply_change(
                store, change, operation=f'change-{number}'
            )
        await self._harness.wait_for(
            lambda report: report.version == written.version,
            *self._daemon_names(),
        )
        return time.monotonic() - started_at

    def _daemon_names(self) -> list[str]:
        roles = ('balancer-', 'agent-')
        names = [child.name for child in self._fleet.children]
        return [name for name in names if name.startswith(roles)]

    def _write_balancers(self) -> None:
        site = self._fleet.settings.site
        first = site.balancers[0]
        network = first.host.rpartition('.')[0]
        balancers = ', '.join(
            f'{network}.{11 + index}:{first.port}'
            for index in range(self._balancers)
        )
        text = self._fleet.overlay.read_text(encoding='utf-8')
        self._fleet.overlay.write_text(
            re.sub('balancers = .*', f'balancers = {balancers}', text),
            encoding='utf-8',
        )


def main() -> None:
    """Print the table."""
    print(
        '| balancers | agents | reads to join | writes to join'
        ' | calls/s idle | change everywhere, median ms | slowest ms |'
    )
    print('|---|---|---|---|---|---|---|')
    for balancers, agents in SIZES:
        with tempfile.TemporaryDirectory() as directory:
            measurement = Measurement(
                Path(directory), balancers=balancers, agents=agents
            )
            print(asyncio.run(measurement.run()), flush=True)


if __name__ == '__main__':
    main()
