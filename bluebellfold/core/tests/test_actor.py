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
