"""Hold a lease as a process of its own, which a test can freeze."""

import asyncio
import random
import signal
import sys

import fire

from bluebellfold.core import Endpoint, MonotonicClock, Sentinel
from bluebellfold.store import Backoff, LeaseManager, ObjectClient, Row

HOLDS = 'holds the lease'
RETRY_SECONDS = 0.05


async def hold(
    *,
    platform: Endpoint,
    name: str,
    holder: str,
    duration_seconds: float,
) -> None:
    """Acquire the lease, write one row on SIGUSR1, end on SIGTERM."""
    keeper = LeaseManager(
        client=ObjectClient(
            endpoint=platform,
            backoff=Backoff(randomness=random.Random()),
        ),
        clock=MonotonicClock(),
        name=name,
        holder=holder,
        duration_seconds=duration_seconds,
    )
    writing = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, writing.set)
    while not await keeper.acquire():
        await asyncio.sleep(RETRY_SECONDS)
    _say(HOLDS)
    await writing.wait()
    row = Row(key=holder, version=(1, 1), text='{}')
    outcome = await keeper.write((row,))
    _say(outcome.name if isinstance(outcome, Sentinel) else 'written')


def _say(line: str) -> None:
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
