"""Write a member's row to the platform when it changes."""

import asyncio
import logging

from bluebellfold.core import LEFT, Actor, Member, Registry
from bluebellfold.core.platform_errors import PlatformError
from bluebellfold.store.client import ObjectClient
from bluebellfold.store.messages import PublishMember
from bluebellfold.store.row_codec import encode_member
from bluebellfold.store.row_writer import RowWriter

FINAL_WRITE_TIMEOUT_SECONDS = 2.0

_log = logging.getLogger(__name__)


def members_object_name(*, service: str, zone: str) -> str:
    """Return the name of the object with a service's members in a zone."""
    return f'members/{service}/{zone}'


class MemberPublisher(Actor):
    """Write the newest row of a member, and retry until that succeeds.

    Removes the row of a member that has left. Closes the client.
    """

    reactions = Registry(name='reactions of the member publisher')

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        client: ObjectClient,
    ) -> None:
        super().__init__(name='members')
        self._client = client
        self._writer = RowWriter(
            client=client,
            name=members_object_name(service=service, zone=zone),
        )
        self._pending: Member | None = None
        self._write_task: asyncio.Task[None] | None = None

    async def close(self) -> None:
        """Wait a limited time for a pending write, then close the client."""
        if self._write_task is not None:
            await asyncio.wait(
                (self._write_task,), timeout=FINAL_WRITE_TIMEOUT_SECONDS
            )
        await super().close()
        self._client.close()

    @reactions.add(PublishMember)
    def _publish(self, message: PublishMember) -> None:
        self._pending = message.member
        if self._write_task is None:
            self._write_task = self.spawn(self._write(), name='write')

    async def _write(self) -> None:
        failures = 0
        while self._pending is not None:
            member = self._pending
            try:
                await self._store(member)
            except PlatformError as error:
                _log_failure(member, error, failures)
                delay = self._client.backoff.delay_seconds(failures)
                await asyncio.sleep(delay)
                failures += 1
                continue
            if self._pending is member:
                self._pending = None
        self._write_task = None

    async def _store(self, member: Member) -> None:
        row = encode_member(member)
        await self._writer.publish((row,))
        if member.state == LEFT:
            # The member tables keep the tombstone, so the object needs no row.
            await self._writer.remove((row,))


def _log_failure(member: Member, error: PlatformError, failures: int) -> None:
    if failures:
        return
    _log.warning(
        'member not written to the platform, retrying: %s',
        error,
        extra={'event': 'BBF0306', 'member': member.name},
    )
