"""Remove the rows of members that are presumed dead."""

import logging

from bluebellfold.core import Actor, Clock, Member, Registry, Sentinel
from bluebellfold.core.platform_errors import PlatformError
from bluebellfold.store.client import ObjectClient
from bluebellfold.store.lease_manager import LeaseManager
from bluebellfold.store.messages import MembersRemoved, RemoveMembers
from bluebellfold.store.row_codec import encode_member

LEASE_DURATION_SECONDS = 30.0

_log = logging.getLogger(__name__)


class MemberRemover(Actor):
    """Remove rows while holding a lease on their object.

    ``holder`` is unique to one run of a process. The subscriber receives
    MembersRemoved. A failed removal is not retried; the sender of
    RemoveMembers repeats its request. Closes the client.
    """

    reactions = Registry(name='reactions of the member remover')

    def __init__(
        self,
        *,
        client: ObjectClient,
        clock: Clock,
        holder: str,
        subscriber: Actor,
    ) -> None:
        super().__init__(name='member-remover')
        self._client = client
        self._clock = clock
        self._holder = holder
        self._subscriber = subscriber
        self._lease_managers: dict[str, LeaseManager] = {}
        self._removing = False

    async def close(self) -> None:
        """Cancel the removal in progress and close the client."""
        await super().close()
        self._client.close()

    @reactions.add(RemoveMembers)
    def _remove(self, message: RemoveMembers) -> None:
        if self._removing:
            return
        self._removing = True
        self.spawn(self._try_to_remove(message), name='remove')

    async def _try_to_remove(self, message: RemoveMembers) -> None:
        try:
            removed = await self._remove_under_lease(message)
        except PlatformError as error:
            _log.warning(
                'members not removed: %s',
                error,
                extra={'event': 'BBF0643', 'object_name': message.name},
            )
            return
        finally:
            self._removing = False
        if removed:
            self._report_removed(message.members)

    async def _remove_under_lease(self, message: RemoveMembers) -> bool:
        lease_manager = self._lease_manager(message.name)
        if not await lease_manager.acquire():
            return False
        rows = tuple(map(encode_member, message.members))
        outcome = await lease_manager.remove(rows)
        return not isinstance(outcome, Sentinel)

    def _lease_manager(self, name: str) -> LeaseManager:
        if name not in self._lease_managers:
            self._lease_managers[name] = LeaseManager(
                client=self._client,
                clock=self._clock,
                name=name,
                holder=self._holder,
                duration_seconds=LEASE_DURATION_SECONDS,
            )
        return self._lease_managers[name]

    def _report_removed(self, members: tuple[Member, ...]) -> None:
        for member in members:
            _log.warning(
                'member removed: unreachable for minutes, presumed dead',
                extra={'event': 'BBF0642', 'member': member.name},
            )
        self._subscriber.tell(MembersRemoved(members=members))
