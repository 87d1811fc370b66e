"""Measure the resident memory of each daemon, idle and with open flows.

Run ``python -m benchmarks.memory``.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from bluebellfold.standins.child import Child
from bluebellfold.standins.fleet import Fleet
from bluebellfold.standins.quic_client import ClientFlow

FLOWS = 200
MAX_CONCURRENT_HANDSHAKES = 20
KILOBYTES_PER_MEGABYTE = 1024


def resident_megabytes(child: Child, field: str) -> float:
    """Return a memory field of the status of a process, in megabytes."""
    status = Path(f'/proc/{child.pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith(field):
            return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE
    return 0


def print_memory(fleet: Fleet, label: str) -> None:
    """Print the memory of all balancers and agents."""
    for child in fleet.children:
        if child.name.startswith(('balancer', 'agent')):
            figure = resident_megabytes(child, 'VmRSS')
            anonymous = resident_megabytes(child, 'RssAnon')
            sys.stdout.write(
                f'{label:20} {child.name:20} {figure:6.1f} MB,'
                f' anonymous {anonymous:6.1f} MB\n',
            )


async def open_flow(fleet: Fleet, limit: asyncio.Semaphore) -> ClientFlow:
    """Return an established flow."""
    async with limit:
        flow = ClientFlow(balancers=fleet.addresses('feed'))
        await flow.connect()
        return flow


async def run() -> None:
    """Start one agent and three balancers, and open flows."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), site='marrinup')
        try:
            await fleet.start_platform()
            for index in range(3):
                await fleet.start_balancer(index)
            await fleet.start_service('counter', 1)
            await fleet.wait_for_members()
            print_memory(fleet, 'idle')
            limit = asyncio.Semaphore(MAX_CONCURRENT_HANDSHAKES)
            flows = await asyncio.gather(
                *(open_flow(fleet, limit) for _ in range(FLOWS)),
            )
            print_memory(fleet, f'{FLOWS} open flows')
            for flow in flows:
                flow.close()
        finally:
            await fleet.stop()


if __name__ == '__main__':
    asyncio.run(run())
