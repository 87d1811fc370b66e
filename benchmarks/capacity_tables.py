"""Measure the cost of a balancer's tables by addresses and members.

Run ``python -m benchmarks.capacity_tables``; takes about 40 seconds.
"""

import asyncio
import time
import tracemalloc
from pathlib import Path

from benchmarks.capacity_settings import (
    BYTES_PER_KILOBYTE,
    FIRST_PORT,
    MS_PER_SECOND,
    SERVICE_MEMBERS,
    build_text,
    status_megabytes,
)
from bluebellfold.agents import Ranking
from bluebellfold.callers import AddressChanged, AddressTask
from bluebellfold.collectors import NoTraces
from bluebellfold.core import (
    SERVING,
    Actor,
    Endpoint,
    Key,
    Kind,
    Member,
    MonotonicClock,
    Process,
    Stop,
)
from bluebellfold.daemons.balancer import BalancerTask
from bluebellfold.daemons.process_context import ProcessContext
from bluebellfold.operators import KeyRing, Keys, SiteSettings, parse_settings

HOST = '127.0.0.77'
IDLE_ADDRESSES = (250, 1000, 2000)
TABLE_MEMBERS = (1000, 4000, 28_000)
SERVED_ADDRESSES = (200, 2000, 12_000)
RANKED_MEMBERS = (7, 64, 140, 1000, 28_000)
IDLE_SECONDS = 5
KEYS = (Key(number=1, secret=bytes(16)),)
KEY_RING = KeyRing(current=KEYS[0])


def resident_megabytes() -> float:
    """Return the resident memory of this process, in megabytes."""
    status = Path('/proc/self/status').read_text(encoding='ascii')
    return status_megabytes(status, 'VmRSS')


def build_member(number: int, service: int) -> Member:
    """Return the member row of one agent."""
    return Member(
        name=f'upstream-{number}',
        service=service,
        zone='r1-a',
        endpoint=Endpoint(
            host=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
            port=7000,
        ),
        control_port=8000,
        weight=1,
        state=SERVING,
        incarnation=1,
        sequence=0,
    )


def build_kind(number: int) -> Kind:
    """Return a kind of work with its own address."""
    return Kind(
        name=f'kind-{number}',
        number=number,
        service='service-1',
        port=FIRST_PORT + number,
        urgency=1,
        share=0.5,
        repeatable=False,
        holds='slot',
        queue_seconds=2,
        deadline_seconds=10,
        first_flights_per_second=2000,
    )


def count_open_files() -> int:
    """Return the number of file descriptors that this process has open."""
    return len(list(Path('/proc/self/fd').iterdir()))


async def print_addresses(count: int, before: float) -> None:
    """Print the memory, files and processor time of idle addresses."""
    members = tuple(build_member(each, 1) for each in range(SERVICE_MEMBERS))
    files = count_open_files()
    tasks = [
        AddressTask(
            host=HOST,
            change=AddressChanged(
                kind=build_kind(number),
                service=1,
                members=members,
                candidates=2,
            ),
            token_keys=KEYS,
            envelope_keys=KEYS,
            traces=NoTraces(),
            clock=MonotonicClock(),
        )
        for number in range(count)
    ]
    running = [asyncio.ensure_future(task.run()) for task in tasks]
    await asyncio.sleep(1)
    held = resident_megabytes() - before
    files = count_open_files() - files
    used = time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    idle = (time.process_time() - used) / IDLE_SECONDS
    stop_all(tasks)
    await asyncio.gather(*running)
    print(
        f'{count:>9} {held:>8.1f} {held / count * BYTES_PER_KILOBYTE:>10.1f}'
        f' {files:>7} {idle * 100:>14.4f}',
    )


def stop_all(tasks: list[AddressTask]) -> None:
    """Send Stop to all tasks."""
    for task in tasks:
        task.tell(Stop())


def print_rankings() -> None:
    """Print the memory, build time and lookup time of a ranking."""
    print('\n  members  held KB  B/member  build ms  rank us')
    for count in RANKED_MEMBERS:
        members = tuple(build_member(each, 1) for each in range(count))
        tracemalloc.start()
        ranking = Ranking(members)
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.process_time()
        ranking = Ranking(members)
        built = time.process_time()
        for number in range(1000):
            ranking.rank(number.to_bytes(8, 'big'), 2)
        ranked = time.process_time()
        print(
            f'{count:>9} {held / BYTES_PER_KILOBYTE:>8.1f}'
            f' {held / count:>9.0f} {(built - started) * MS_PER_SECOND:>9.2f}'
            f' {(ranked - built) * MS_PER_SECOND:>8.1f}',
        )


class DiscardingAddress(Actor):
    """Replace the task of an address and discard its messages."""

    def tell(self, message: object) -> None:
        """Discard the message."""


class SocketlessBalancer(BalancerTask):
    """Run a balancer whose addresses open no sockets."""

    def time_update(self, members: tuple[Member, ...]) -> float:
        """Update the member table; return the processor time in seconds."""
        self._members = members
        started = time.process_time()
        self.update_members(members)
        return time.process_time() - started

    def _start_address(self, change: AddressChanged) -> None:
        self._addresses[change.kind.number] = DiscardingAddress(name='served')


def build_balancer(settings: SiteSettings) -> SocketlessBalancer:
    """Return a balancer with the settings."""
    return SocketlessBalancer(
        context=ProcessContext(
            settings=settings,
            process=Process(
                name='b',
                zone='r1-a',
                host=HOST,
                control_port=1,
                datagram_port=0,
                keys_file='',
            ),
            keys=Keys(token=KEY_RING, envelope=KEY_RING),
            traces=NoTraces(),
            clock=MonotonicClock(),
        ),
    )


def print_updates() -> None:
    """Print the balancer task's time to process one changed row."""
    print('\naddresses  members  one row changed, ms')
    for addresses in SERVED_ADDRESSES:
        balancer = build_balancer(parse_settings(build_text(addresses)))
        services = addresses // 2
        for count in TABLE_MEMBERS:
            members = tuple(
                build_member(each, each % services + 1) for each in range(count)
            )
            balancer.time_update(members)
            newer = members[0].replace(sequence=1)
            spent = balancer.time_update((newer, *members[1:]))
            print(
                f'{addresses:>9} {count:>8} {spent * MS_PER_SECOND:>20.1f}',
            )


def main() -> None:
    """Print all tables."""
    print('addresses       MB  KB/address   files  idle % of core', flush=True)
    before = resident_megabytes()
    for count in IDLE_ADDRESSES:
        asyncio.run(print_addresses(count, before))
    print_rankings()
    print_updates()


if __name__ == '__main__':
    main()
