"""Send messages to an actor after a delay."""

import asyncio

from bluebellfold.core import Actor, InboxFullError, Message

FULL_INBOX_RETRY_SECONDS = 0.05


async def tell_with_retry(actor: Actor, message: Message) -> None:
    """Put a message into an inbox, retrying while the inbox is full."""
    while True:
        try:
            return actor.tell(message)
        except InboxFullError:
            await asyncio.sleep(FULL_INBOX_RETRY_SECONDS)


class Timers:
    """Run at most one timer per message type for the owning actor."""

    __slots__ = ('_actor', '_pending')

    def __init__(self, *, actor: Actor) -> None:
        self._actor = actor
        self._pending: set[type[Message]] = set()

    def start(self, seconds: float, message: Message) -> None:
        """Send the message after a delay, unless one of its type is pending."""
        message_type = type(message)
        if message_type in self._pending:
            return
        self._pending.add(message_type)
        self._actor.spawn(
            self._tell_after(seconds, message),
            name=message_type.__name__,
        )

    async def _tell_after(self, seconds: float, message: Message) -> None:
        await asyncio.sleep(seconds)
        self._pending.discard(type(message))
        await tell_with_retry(self._actor, message)
