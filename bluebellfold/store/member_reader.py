"""Read the members of a site from the platform."""

import asyncio
import logging

from bluebellfold.core import Actor, InboxFullError, Member, Registry, Site
from bluebellfold.core.platform_errors import (
    PlatformResponseError,
    PlatformUnavailableError,
)
from bluebellfold.store.client import ObjectClient
from bluebellfold.store.members import members_object_name
from bluebellfold.store.messages import MembersRead
from bluebellfold.store.row_codec import decode_members

_log = logging.getLogger(__name__)


def members_object_names(site: Site) -> tuple[str, ...]:
    """Return the names of all objects with members of a site."""
    return tuple(
        members_object_name(service=service.name, zone=zone)
        for service in site.services
        for zone in site.zones
    )


class MemberReader(Actor):
    """Read each object with members once, retrying until that succeeds.

    ``names`` are the names of the objects. The subscriber receives
    MembersRead for each object that has rows. Objects are not watched, since
    later changes arrive as announcements. Closes the client.
    """

    reactions = Registry(name='reactions of the member reader')

    def __init__(
        self,
        *,
        names: tuple[str, ...],
        client: ObjectClient,
        subscriber: Actor,
    ) -> None:
        super().__init__(name='member-reader')
        self._names = names
        self._client = client
        self._subscriber = subscriber

    async def open(self) -> None:
        """Start reading."""
        self.spawn(self._read_all(), name='read')

    async def close(self) -> None:
        """Cancel the reads and close the client."""
        await super().close()
        self._client.close()

    async def _read_all(self) -> None:
        total = 0
        remaining = list(self._names)
        # Read one object at a time, so that a restart of many processes does
        # not overload the platform.
        while remaining:
            total += await self._read_object(remaining.pop())
        _log.info(
            'members read',
            extra={'event': 'BBF0640', 'members': total},
        )

    async def _read_object(self, name: str) -> int:
        failures = 0
        while True:
            try:
                members = await self._read_members(name)
            except PlatformUnavailableError:
                failures += 1
            except PlatformResponseError as error:
                _log_unreadable(name, error)
                return 0
            else:
                await self._deliver(members)
                return len(members)
            await asyncio.sleep(self._client.backoff.delay_seconds(failures))

    async def _read_members(self, name: str) -> tuple[Member, ...]:
        stored = await self._client.read(name)
        return decode_members(stored.text) if stored else ()

    async def _deliver(self, members: tuple[Member, ...]) -> None:
        failures = 0
        while members:
            try:
                return self._subscriber.tell(MembersRead(members=members))
            except InboxFullError:
                failures += 1
            await asyncio.sleep(self._client.backoff.delay_seconds(failures))


def _log_unreadable(name: str, error: PlatformResponseError) -> None:
    _log.error(
        'cannot decode members: %s',
        error,
        extra={'event': 'BBF0641', 'object_name': name},
    )
