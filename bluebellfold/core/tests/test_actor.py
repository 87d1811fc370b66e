"""Test actors, registries and records."""

import asyncio

import pytest

from bluebellfold.core import (
    Actor,
    InboxFullError,
    Message,
    Registry,
    Reply,
    Stop,
    UnknownEntryError,
    read_only,
)


class Add(Message):
    __slots__ = ('_amount',)
    amount: int = read_only('_amount')

    def __init__(self, *, amount: int) -> None:
        self._amount = amount


class Total(Message):
    __slots__ = ('_reply',)
    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class Adder(Actor):
    reactions = Registry(name='reactions of the adder')

    def __init__(self) -> None:
        super().__init__(name='adder', inbox_messages=4)
        self._total = 0

    @reactions.add(Add)
    def _add(self, message: Add) -> None:
        if message.amount < 0:
            raise ValueError(message.amount)
        self._total += message.amount

    @reactions.add(Total)
    def _report_total(self, message: Total) -> None:
        message.reply.put(self._total)


async def total_after(*amounts: int) -> int:
    adder = Adder()
    reply = Reply()
    for amount in amounts:
        adder.tell(Add(amount=amount))
    adder.tell(Total(reply=reply))
    running = asyncio.ensure_future(adder.run())
    total = await reply.wait()
    adder.tell(Stop())
    await running
    return total


def test_messages_are_handled_in_order():
    assert asyncio.run(total_after(1, 2, 3)) == 6


def test_actor_continues_after_a_reaction_raises():
    assert asyncio.run(total_after(1, -2, 3)) == 4


def test_full_inbox_raises_an_error_with_a_remedy():
    async def fill() -> None:
        adder = Adder()
        for _ in range(5):
            adder.tell(Add(amount=1))

    with pytest.raises(InboxFullError, match='remedy'):
        asyncio.run(fill())


def test_unknown_key_error_names_the_registry():
    with pytest.raises(UnknownEntryError, match='nothing has no entry'):
        Registry(name='nothing').find('x')


def test_supervised_task_is_started_again_until_it_succeeds():
    # A task of a watch ended with an error of another type than expected, and
    # no change was ever seen again.
    async def scenario():
        adder = Adder()
        outcomes = iter((RecursionError, OverflowError, None))
        failures = []
        done = asyncio.Event()

        async def run():
            outcome = next(outcomes)
            if outcome is not None:
                raise outcome
            done.set()

        adder.supervise(run, name='watch', failed=lambda: failures.append(1))
        async with asyncio.timeout(5):
            await done.wait()
        assert len(failures) == 2
        await adder.close()

    asyncio.run(scenario())


def test_supervised_task_ends_with_its_actor():
    async def scenario():
        adder = Adder()

        async def run():
            raise ValueError

        task = adder.supervise(run, name='watch')
        await asyncio.sleep(0)
        await adder.close()
        await asyncio.wait([task], timeout=5)
        assert task.cancelled()

    asyncio.run(scenario())


def test_failed_step_ends_nothing_and_is_logged_less_and_less(caplog):
    async def scenario():
        adder = Adder()

        def fail():
            raise ZeroDivisionError

        for _ in range(100):
            adder.guard(fail)

    asyncio.run(scenario())
    assert len(caplog.records) == 7
