"""Count platform calls of agents that join at once and of idle watches.

Run ``python -m benchmarks.platform_calls``; takes about 30 seconds. The
platform stand-in runs in the same process, so counts and processor time are
meaningful, but the latency of a real platform is not measured.
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


def build_client(standin: PlatformStandin, *, seed: int) -> ObjectClient:
    """Return a client with its own sequence of backoff delays."""
    return ObjectClient(
        endpoint=standin.endpoint,
        backoff=Backoff(randomness=Random(seed)),
    )


def build_member(number: int) -> Member:
    """Return the member row of one agent."""
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
    """Publish one agent's row and wait until it is stored."""
    client = build_client(standin, seed=SEED + number)
    writer = RowWriter(
        client=client,
        name=members_object_name(service='counter', zone='wa-south-a'),
        attempts=MAX_ATTEMPTS,
    )
    await writer.publish((encode_member(build_member(number)),))
    client.close()


async def count_joins(agents: int) -> str:
    """Return the table row for agents that join at once."""
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


class ConfigurationCounter(Actor):
    """Count the configuration updates and wait for the expected number."""

    reactions = Registry(name='reactions of the configuration counter')

    def __init__(self, *, expected: int) -> None:
        super().__init__(name='hearing')
        self._remaining = expected
        self.complete = asyncio.Event()

    @reactions.add(ConfigurationChanged)
    def _count(self, _message: ConfigurationChanged) -> None:
        self._remaining -= 1
        if self._remaining == 0:
            self.complete.set()


async def count_watches(watches: int) -> str:
    """Return the table row for daemons whose watches report no change."""
    standin = PlatformStandin()
    await standin.start()
    counter = ConfigurationCounter(expected=watches)
    tasks = [
        ConfigurationTask(
            site=SITE,
            client=build_client(standin, seed=SEED + number),
            initial=Configuration(version=0, operation='', text=''),
            subscribers=(counter,),
        )
        for number in range(watches)
    ]
    running = [
        asyncio.ensure_future(actor.run()) for actor in (counter, *tasks)
    ]
    used = time.process_time()
    await asyncio.sleep(WATCH_SECONDS)
    used = time.process_time() - used
    calls = standin.counts['watch']
    seconds = await time_change(standin, counter)
    for actor in (counter, *tasks):
        actor.tell(Stop())
    await asyncio.gather(*running)
    await standin.stop()
    rate = calls / WATCH_SECONDS / watches
    cells = (
        f'{watches}',
        f'{rate:.2f}',
        f'{used / calls * 1000:.1f}',
        f'{seconds * 1000:.0f}',
    )
    return f'| {" | ".join(cells)} |'


async def time_change(
    standin: PlatformStandin, counter: ConfigurationCounter
) -> float:
    """Return the seconds until every daemon has a new configuration."""
    client = build_client(standin, seed=SEED)
    started = time.monotonic()
    await client.write(
        name=configuration_object_name(SITE),
        text='text',
        expected_version=0,
        operation='one',
    )
    await counter.complete.wait()
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
