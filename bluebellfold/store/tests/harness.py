"""Provide a platform stand-in, clients and subscribers for the tests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from bluebellfold.core import Actor, Configuration, Message, Registry
from bluebellfold.standins.object_api import PlatformStandin
from bluebellfold.store import (
    Backoff,
    ConfigurationChanged,
    ObjectClient,
    ObjectSeen,
)

SEED = 4


class RecordingSubscriber(Actor):
    """Record received messages in a queue that a test can wait for."""

    reactions = Registry(name='reactions of the recording subscriber')

    def __init__(self) -> None:
        super().__init__(name='listener')
        self.received: asyncio.Queue[Message] = asyncio.Queue()

    @reactions.add(ConfigurationChanged)
    @reactions.add(ObjectSeen)
    def _record(self, message: Message) -> None:
        self.received.put_nowait(message)


def short_backoff() -> Backoff:
    return Backoff(
        randomness=Random(SEED),
        base_seconds=0.001,
        cap_seconds=0.01,
    )


def new_client(
    standin: PlatformStandin,
    *,
    timeout_seconds: float = 5,
) -> ObjectClient:
    return ObjectClient(
        endpoint=standin.endpoint,
        backoff=short_backoff(),
        timeout_seconds=timeout_seconds,
    )


def configuration_at(version: int, operation: str = '') -> Configuration:
    return Configuration(
        version=version,
        operation=operation or f'operation-{version}',
        text=f'text {version}',
    )


@asynccontextmanager
async def platform_and_client() -> AsyncIterator[
    tuple[PlatformStandin, ObjectClient]
]:
    standin = PlatformStandin()
    await standin.start()
    client = new_client(standin)
    try:
        yield standin, client
    finally:
        client.close()
        await standin.stop()
