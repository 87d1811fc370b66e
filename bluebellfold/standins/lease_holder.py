"""Hold a lease in a separate process, which a test can pause."""

import asyncio
import random
import signal
import sys

import fire

from bluebellfold.core import Endpoint, MonotonicClock, Sentinel
from bluebellfold.store import Backoff, LeaseManager, ObjectClient, Row

LEASE_HELD_LINE = 'holds the lease'
RETRY_SECONDS = 0.05


async def hold(
    *,
    platform: Endpoint,
    name: str,
    holder: str,
    duration_seconds: float,
) -> None:
    """Acquire the lease, write one row on SIGUSR1, and return."""
    manager = LeaseManager(
        client=ObjectClient(
            endpoint=platform,
            backoff=Backoff(randomness=random.Random()),
        ),
        clock=MonotonicClock(),
        name=name,
        holder=holder,
        duration_seconds=duration_seconds,
    )
    write_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, write_requested.set)
    while not await manager.acquire():
        await asyncio.sleep(RETRY_SECONDS)
    _print_line(LEASE_HELD_LINE)
    await write_requested.wait()
    row = Row(key=holder, version=(1, 1), text='{}')
    outcome = await manager.write((row,))
    _print_line(outcome.name if isinstance(outcome, Sentinel) else 'written')


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def main(
    host: str,
    port: int,
    name: str,
    holder: str,
    duration_seconds: float,
) -> None:
    """Hold the lease of an object of the platform at the host and port."""
    asyncio.run(
        hold(
            platform=Endpoint(host=host, port=port),
            name=name,
            holder=holder,
            duration_seconds=duration_seconds,
        ),
    )


if __name__ == '__main__':
    fire.Fire(main)
