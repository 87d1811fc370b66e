"""Count the platform's calls: agents that join at once, idle watches.

Run by ``python -m benchmarks.platform_calls``; takes about 30 seconds. The
platform's stand-in runs in the same process, so only counts and this
process's own processor time are of use, not the stand-in's speed.
"""

import asyncio
import time
from random import Random

from bluebellfold.core import (
    SERVING,
    Actor,
    Configuration,
    Endpoint,
    Member,
    Registry,
    Stop,
)
from bluebellfold.standins.object_api import PlatformStandin
from bluebellfold.store import (
    Backoff,
    ConfigurationChanged,
    ConfigurationTask,
    ObjectClient,
    RowWriter,
    configuration_object_name,
    encode_member,
    members_object_name,
)

SEED = 4
JOINING = (1, 7, 28, 112, 224)
WATCHES = (1, 40)
WATCH_SECONDS = 10.0
MAX_ATTEMPTS = 1000
SITE = 'wa-south'


def client_of(standin: PlatformStandin, *, seed: int) -> ObjectClient:
    """Return a client with delays of its own."""
    return ObjectClient(
        endpoint=standin.endpoint,
        backoff=Backoff(randomness=Random(seed)),
    )


def member_of(number: int) -> Member:
    """Return the row of one agent."""
    return Member(
        name=f'counter-{number}',
        service=1,
        zone='wa-south-a',
        endpoint=Endpoint(host='127.0.0.1', port=number + 1),
        control_port=number + 1,
        weight=1,
        state=SERVING,
        incarnation=1,
        sequence=0,
    )


async def join(standin: PlatformStandin, number: int) -> None:
    """Publish one agent's row and return once it is kept."""
    client = client_of(standin, seed=SEED + number)
    writer = RowWriter(
        client=client,
        name=members_object_name(service='counter', zone='wa-south-a'),
        attempts=MAX_ATTEMPTS,
    )
    await writer.publish((encode_member(member_of(number)),))
    client.close()


async def count_joins(agents: int) -> str:
    """Return a row of the table for agents that join at once."""
    standin = PlatformStandin()
    await standin.start()
    started = time.monotonic()
    await asyncio.gather(*(join(standin, each) for each in range(agents)))
    seconds = time.monotonic() - started
    await standin.stop()
    counts = standin.counts
    reads = counts['read'] / agents
    writes = counts['write'] / agents
    return f'| {agents} | {reads:.1f} | {writes:.1f} | {seconds:.2f} |'


class Hearing(Actor):
    """Count the configurations that daemons adopt."""

    reactions = Registry(name='reactions of the hearing')

    def __init__(self, *, wanted: int) -> None:
        super().__init__(name='hearing')
        self._wanted = wanted
        self.complete = asyncio.Event()

    @reactions.add(ConfigurationChanged)
    def _count(self, _message: ConfigurationChanged) -> None:
        self._wanted -= 1
        if self._wanted == 0:
            self.complete.set()


async def count_watches(watches: int) -> str:
    """Return a row of the table for daemons that watch and hear nothing."""
    standin = PlatformStandin()
    await standin.start()
    hearing = Hearing(wanted=watches)
    tasks = [
        ConfigurationTask(
            site=SITE,
            client=client_of(standin, seed=SEED + number),
            initial=Configuration(version=0, operation='', text=''),
            subscribers=(hearing,),
        )
        for number in range(watches)
    ]
    running = [
        asyncio.ensure_future(actor.run()) for actor in (hearing, *tasks)
    ]
    used = time.process_time()
    await asyncio.sleep(WATCH_SECONDS)
    used = time.process_time() - used
    turns = standin.counts['watch']
    seconds = await spread(standin, hearing)
    for actor in (hearing, *tasks):
        actor.tell(Stop())
    await asyncio.gather(*running)
    await standin.stop()
    rate = turns / WATCH_SECONDS / watches
    cells = (
        f'{watches}',
        f'{rate:.2f}',
        f'{used / turns * 1000:.1f}',
        f'{seconds * 1000:.0f}',
    )
    return f'| {" | ".join(cells)} |'


async def spread(standin: PlatformStandin, hearing: Hearing) -> float:
    """Return the seconds until every daemon has adopted a new version."""
    client = client_of(standin, seed=SEED)
    started = time.monotonic()
    await client.write(
        name=configuration_object_name(SITE),
        text='text',
        expected_version=0,
        operation='one',
    )
    await hearing.complete.wait()
    client.close()
    return time.monotonic() - started


def main() -> None:
    """Print both tables."""
    print('| agents that join at once | reads each | writes each | seconds |')
    print('|---|---|---|---|')
    for agents in JOINING:
        print(asyncio.run(count_joins(agents)))
    print()
    print('| watches | calls/s each | ms a call, both ends | change seen, ms |')
    print('|---|---|---|---|')
    for watches in WATCHES:
        print(asyncio.run(count_watches(watches)))


if __name__ == '__main__':
    main()
