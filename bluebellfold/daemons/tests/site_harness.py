"""Run a fleet and one event loop for all steps of a scenario."""

import asyncio
from contextlib import contextmanager

from bluebellfold.standins.fleet import Fleet
from bluebellfold.standins.fleet_harness import FleetHarness


class SiteHarness:
    """Run the steps of a scenario, and hold the data they share."""

    def __init__(self, *, fleet_harness, runner):
        self.fleet_harness = fleet_harness
        self.run = runner.run
        self.context = {}

    @property
    def fleet(self):
        return self.fleet_harness.fleet

    def version(self):
        return self.context['version']

    def write_overlay(self, name, *changes):
        path = self.fleet.directory / f'{name}.ini'
        text = self.fleet.overlay.read_text()
        for old, new in changes:
            assert old in text
            text = text.replace(old, new)
        path.write_text(text)
        return path

    async def apply(self, overlay, *flags):
        return await self.fleet_harness.run_command(
            'config',
            'apply',
            f'--base={self.fleet.base}',
            f'--site={overlay}',
            *flags,
        )


@contextmanager
def open_site_harness(directory, site='marrinup'):
    fleet = Fleet(directory=directory, site=site)
    with asyncio.Runner() as runner:
        harness = SiteHarness(
            fleet_harness=FleetHarness(fleet=fleet), runner=runner
        )
        try:
            yield harness
        finally:
            runner.run(fleet.stop())


async def start_site(harness, *, counter=0, makeroom=0):
    fleet = harness.fleet
    await fleet.start_platform()
    await harness.fleet_harness.start_balancers()
    if counter:
        await fleet.start_service('counter', counter)
    if makeroom:
        await fleet.start_service('makeroom', makeroom)
    async with asyncio.timeout(20):
        await fleet.wait_for_members()


BALANCERS = ('balancer-1', 'balancer-2', 'balancer-3')


def has_version(version):
    return lambda report: report.version == version
