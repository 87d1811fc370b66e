"""Notify subscribed actors of changes, several rows at a time."""

import logging
from collections.abc import Iterable

from bluebellfold.balancers.messages import (
    ConfigurationReceived,
    MembersChanged,
)
from bluebellfold.core import (
    Actor,
    Configuration,
    InboxFullError,
    Member,
    Message,
)

MIN_DELAY_SECONDS = 0.02
# Each notification copies the whole table, so the delay between notifications
# grows with the size of the table.
DELAY_SECONDS_PER_MEMBER = 1e-5

_log = logging.getLogger(__name__)


class Subscriptions:
    """Store the subscribers and the changes not yet sent to them."""

    __slots__ = ('_next_notification_at', '_pending', '_subscribers')

    def __init__(self) -> None:
        self._subscribers: dict[type[Message], list[Actor]] = {}
        self._pending: dict[str, Member] = {}
        self._next_notification_at: float = 0

    def add(self, message_type: type[Message], subscriber: Actor) -> None:
        """Send messages of this type to the subscriber from now on."""
        self._subscribers.setdefault(message_type, []).append(subscriber)

    def record_changes(self, changed: Iterable[Member]) -> None:
        """Store changed rows for the next notification."""
        self._pending.update({member.name: member for member in changed})

    def delay(self, *, now: float) -> float:
        """Return the seconds to wait before the next notification."""
        return max(MIN_DELAY_SECONDS, self._next_notification_at - now)

    def notify_members(
        self,
        members: tuple[Member, ...],
        *,
        now: float,
    ) -> None:
        """Send the members and the changes since the last notification."""
        changed = tuple(self._pending.values())
        self._pending.clear()
        self._next_notification_at = (
            now + len(members) * DELAY_SECONDS_PER_MEMBER
        )
        self._notify_all(MembersChanged(members=members, changed=changed))

    def notify_configuration(self, configuration: Configuration) -> None:
        """Send the configuration."""
        self._notify_all(ConfigurationReceived(configuration=configuration))

    def _notify_all(self, message: Message) -> None:
        for subscriber in self._subscribers.get(type(message), ()):
            _notify(subscriber, message)


def _notify(subscriber: Actor, message: Message) -> None:
    try:
        subscriber.tell(message)
    except InboxFullError as error:
        _log.warning(
            'notification not delivered',
            extra={
                'event': 'BBF0201',
                'actor': subscriber.name,
                'problem': error.problem,
                'remedy': error.remedy,
            },
        )
