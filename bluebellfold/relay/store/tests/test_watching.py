"""Test that no error ends the watch of a kind."""

import asyncio

import pytest

from bluebellfold.core import InboxFullError, Stop
from bluebellfold.relay.agents import AgentEntry
from bluebellfold.relay.store import AGENTS_KIND, AgentWatch
from bluebellfold.relay.store.tests.test_agents import RecordingActor
from bluebellfold.standins.object_api import PlatformStandin

ADDRESS = ('10.0.0.1', 8172)


class FailingOnce(AgentWatch):
    """Fail at the first change, as a defect in its decoding would."""

    def __init__(self, *, error, **fields):
        super().__init__(**fields)
        self._errors = [error]

    def apply(self, changes):
        if self._errors and changes.changes:
            raise self._errors.pop()
        super().apply(changes)


@pytest.mark.parametrize(
    'error',
    [
        RecursionError(),
        OverflowError(),
        KeyError('meta'),
        InboxFullError(problem='full', remedy='wait'),
    ],
    ids=lambda error: type(error).__name__,
)
def test_watch_goes_on_after_any_error(error):
    async def scenario():
        standin = PlatformStandin()
        await standin.start()
        actor = RecordingActor()
        watch = FailingOnce(endpoint=standin.endpoint, actor=actor, error=error)
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(0.1)
        spec = {'host': ADDRESS[0], 'port': ADDRESS[1]}
        await watch._client.create(AGENTS_KIND, ADDRESS[0], spec)
        message = await actor.wait_for_addresses([ADDRESS])
        assert message.entries == (AgentEntry(address=ADDRESS),)
        watch.tell(Stop())
        await running
        await standin.stop()

    asyncio.run(scenario())
