"""Measure the cost of the control protocol per process.

Run ``python -m benchmarks.capacity_control``; takes about a minute. The rows
differ in the number of processes and the rate of membership changes. All
simulated processes share one event loop. Figures are per process and cover
both directions; bytes are HTTP/2 bytes, without TCP and IP headers.
"""

import asyncio
import time
from random import Random

from grpclib.protocol import H2Protocol

from benchmarks.spread import FIRST_PORT, Fleet, build_remote_member

PROCESSES = (5, 20)
CHANGES_PER_SECOND = (0, 1, 5, 20)
SECONDS = 5


class ByteCounter:
    """Count the bytes received by all HTTP/2 connections of this process."""

    def __init__(self) -> None:
        self.received = 0

    def install(self) -> None:
        """Start to count."""
        data_received = H2Protocol.data_received

        def count(protocol: H2Protocol, received: bytes) -> None:
            self.received += len(received)
            data_received(protocol, received)

        H2Protocol.data_received = count


async def measure(
    byte_counter: ByteCounter,
    processes: int,
    first_port: int,
) -> None:
    """Print a row for each rate in CHANGES_PER_SECOND."""
    fleet = Fleet(
        ports=range(first_port, first_port + processes),
        seeds=min(processes, 3),
    )
    await fleet.start()
    await asyncio.sleep(1)
    rng = Random(processes)
    number = 0
    for rate in CHANGES_PER_SECOND:
        received = byte_counter.received
        processor_time = time.process_time()
        started = time.monotonic()
        announcements = []
        for _ in range(rate * SECONDS):
            number += 1
            member = build_remote_member(number)
            announcements.append(
                asyncio.ensure_future(fleet.announce(member, rng))
            )
            await asyncio.sleep(1 / rate)
        if not rate:
            await asyncio.sleep(SECONDS)
        await asyncio.gather(*announcements)
        seconds = time.monotonic() - started
        processor_time = (
            (time.process_time() - processor_time) / seconds / processes
        )
        bytes_each = (
            (byte_counter.received - received) * 2 / seconds / processes
        )
        print(
            f'{processes:>9} {rate:>10} {bytes_each:>12.0f}'
            f' {processor_time * 100:>14.3f}',
            flush=True,
        )
    await fleet.stop()


def main() -> None:
    """Print the table."""
    byte_counter = ByteCounter()
    byte_counter.install()
    print('processes  changes/s  bytes/s each  % of core each')
    first_port = FIRST_PORT + 100
    for processes in PROCESSES:
        asyncio.run(measure(byte_counter, processes, first_port))
        first_port += processes


if __name__ == '__main__':
    main()
