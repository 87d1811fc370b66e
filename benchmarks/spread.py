"""Measure how fast announcements propagate and the cost of idle processes."""

import asyncio
import time
from random import Random
from statistics import median

from grpclib.server import Server

from bluebellfold.balancers import (
    Announce,
    ExchangeService,
    ExchangeTask,
    MembersChanged,
)
from bluebellfold.core import (
    SERVING,
    Actor,
    Endpoint,
    Member,
    MonotonicClock,
    Process,
    Registry,
    Site,
    Stop,
)

SPREAD_PROCESSES = (3, 10, 40)
ANNOUNCEMENTS = 20
IDLE_SECONDS = 5
FIRST_PORT = 27_200
MS_PER_SECOND = 1e3
HOST = '127.0.0.1'
ZONE = 'wa-south-0'


class Recorder(Actor):
    """Record when each member row arrived."""

    reactions = Registry(name='reactions of the recorder')

    def __init__(self) -> None:
        super().__init__(name='recorder')
        self._received_at: dict[str, float] = {}
        self._changed = asyncio.Event()

    async def wait_for(self, name: str) -> float:
        """Wait for the row; return its arrival time in seconds."""
        while name not in self._received_at:
            self._changed.clear()
            await self._changed.wait()
        return self._received_at[name]

    @reactions.add(MembersChanged)
    def _record_members(self, message: MembersChanged) -> None:
        for member in message.changed:
            self._received_at.setdefault(member.name, time.perf_counter())
        self._changed.set()


class Fleet:
    """Run exchange tasks with their servers in one event loop."""

    def __init__(self, *, ports: range, seeds: int) -> None:
        self._site = build_site(ports[:seeds])
        self._ports = ports
        self._recorders = [Recorder() for _ in ports]
        self._tasks = [
            self._build_task(port, recorder)
            for port, recorder in zip(ports, self._recorders, strict=True)
        ]
        self._servers = [
            Server([ExchangeService(task=task, site=self._site.name)])
            for task in self._tasks
        ]
        self._running: list[asyncio.Future] = []

    async def start(self) -> None:
        """Start all processes and wait until each knows all members."""
        starts = map(start_server, self._servers, self._ports)
        await asyncio.gather(*starts)
        self._running = [
            asyncio.ensure_future(actor.run())
            for actor in (*self._recorders, *self._tasks)
        ]
        members = tuple(map(build_member, self._ports))
        for task, member in zip(self._tasks, members, strict=True):
            task.tell(Announce(member=member))
        await asyncio.gather(*(self.wait_for(row.name) for row in members))

    async def announce(self, member: Member, rng: Random) -> list[float]:
        """Announce a member; return the seconds until each process knew it."""
        start = time.perf_counter()
        rng.choice(self._tasks).tell(Announce(member=member))
        times = await self.wait_for(member.name)
        return [received_at - start for received_at in times]

    async def wait_for(self, name: str) -> list[float]:
        """Return when each process learnt of the row, in seconds."""
        waits = (recorder.wait_for(name) for recorder in self._recorders)
        return await asyncio.gather(*waits)

    async def stop(self) -> None:
        """Stop all servers and actors."""
        for server in self._servers:
            server.close()
        for actor in (*self._recorders, *self._tasks):
            actor.tell(Stop())
        await asyncio.gather(*self._running)

    def _build_task(self, port: int, recorder: Recorder) -> ExchangeTask:
        return ExchangeTask(
            site=self._site,
            process=Process(
                name=str(port),
                zone=ZONE,
                host=HOST,
                control_port=port,
                datagram_port=0,
                keys_file='',
            ),
            rng=Random(port),
            clock=MonotonicClock(),
            subscribers=(recorder,),
        )


async def start_server(server: Server, port: int) -> None:
    """Start the server on a loopback port."""
    await server.start(HOST, port)


def build_site(seeds: range) -> Site:
    """Return a site whose balancers use these ports as seeds."""
    return Site(
        name='s',
        region='wa-south',
        zones=(ZONE,),
        services=(),
        kinds=(),
        balancers=tuple(Endpoint(host=HOST, port=port) for port in seeds),
        platform=Endpoint(host=HOST, port=1),
        candidates=2,
        drain_seconds=1.0,
    )


def build_member(port: int) -> Member:
    """Return a member with its control port at this port."""
    return Member(
        name=f'member-{port}',
        service=1,
        zone=ZONE,
        endpoint=Endpoint(host=HOST, port=port),
        control_port=port,
        weight=1.0,
        state=SERVING,
        incarnation=1,
        sequence=0,
    )


async def print_propagation(processes: int, seeds: int) -> None:
    """Print the time until announcements have reached every process."""
    ports = range(FIRST_PORT, FIRST_PORT + processes)
    fleet = Fleet(ports=ports, seeds=seeds)
    await fleet.start()
    rng = Random(processes)
    waits = [
        # One at a time, so that announcements do not affect each other.
        await fleet.announce(build_remote_member(number), rng)  # noqa: WPS476
        for number in range(ANNOUNCEMENTS)
    ]
    used = time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    idle = (time.process_time() - used) / IDLE_SECONDS / processes
    await fleet.stop()
    print(
        f'{processes:>9} {seeds:>6}'
        f' {format_waits([max(wait[:seeds]) for wait in waits])}'
        f' {format_waits([max(wait) for wait in waits])} {idle * 100:>12.3f}',
    )


def format_waits(waits: list[float]) -> str:
    """Format the median and the longest wait in milliseconds."""
    middle = median(waits) * MS_PER_SECOND
    return f'{middle:>10.0f} {max(waits) * MS_PER_SECOND:>9.0f}'


def build_remote_member(number: int) -> Member:
    """Return a member of a zone and service that no other process has."""
    return build_member(FIRST_PORT).replace(
        name=f'late-{number}',
        zone='elsewhere',
        service=2,
    )


def main() -> None:
    """Print the table."""
    print('wall time until all seeds, and all processes, know an announcement')
    print('                   seeds ms                  all ms         idle %')
    print(
        'processes  seeds     median     worst     median     worst  of a core'
    )
    for processes in SPREAD_PROCESSES:
        asyncio.run(print_propagation(processes, min(processes, 3)))


if __name__ == '__main__':
    main()
