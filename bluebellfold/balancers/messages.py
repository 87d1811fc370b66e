"""Define the messages that an exchange task receives and sends."""

from bluebellfold.balancers.swaps import SwapRequest, SwapResponse
from bluebellfold.core import (
    Actor,
    Configuration,
    Endpoint,
    Member,
    Message,
    Reply,
    Sentinel,
    read_only,
)


class MembersChanged(Message):
    """Send the members, and the rows changed since the last notification.

    ``members`` excludes members that left; ``changed`` includes them.
    """

    __slots__ = ('_changed', '_members')

    changed: tuple[Member, ...] = read_only('_changed')
    members: tuple[Member, ...] = read_only('_members')

    def __init__(
        self,
        *,
        members: tuple[Member, ...],
        changed: tuple[Member, ...],
    ) -> None:
        self._members = members
        self._changed = changed


class Announce(Message):
    """Announce this process's own row, new or changed.

    The reply, if any, receives the number of peers that responded.
    """

    __slots__ = ('_member', '_reply')

    member: Member = read_only('_member')
    reply: Reply | None = read_only('_reply')

    def __init__(self, *, member: Member, reply: Reply | None = None) -> None:
        self._member = member
        self._reply = reply


class MergeMembers(Message):
    """Merge rows from another source, such as the platform."""

    __slots__ = ('_members',)

    members: tuple[Member, ...] = read_only('_members')

    def __init__(self, *, members: tuple[Member, ...]) -> None:
        self._members = members


class GetMembers(Message):
    """Request the members; the reply receives a tuple of Member."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class PublishConfiguration(Message):
    """Send a configuration known to this process to its peers."""

    __slots__ = ('_configuration',)

    configuration: Configuration = read_only('_configuration')

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration


class ConfigurationReceived(Message):
    """Notify of a newer configuration received from a peer."""

    __slots__ = ('_configuration',)

    configuration: Configuration = read_only('_configuration')

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration


class Subscribe(Message):
    """Subscribe to messages of one type; the current state is sent first.

    ``message_type`` is MembersChanged or ConfigurationReceived.
    """

    __slots__ = ('_message_type', '_subscriber')

    subscriber: Actor = read_only('_subscriber')
    message_type: type[Message] = read_only('_message_type')

    def __init__(
        self, *, message_type: type[Message], subscriber: Actor
    ) -> None:
        self._message_type = message_type
        self._subscriber = subscriber


class HandleSwap(Message):
    """Handle a peer's request; the reply receives the SwapResponse."""

    __slots__ = ('_reply', '_request')

    reply: Reply = read_only('_reply')
    request: SwapRequest = read_only('_request')

    def __init__(self, *, request: SwapRequest, reply: Reply) -> None:
        self._request = request
        self._reply = reply


class SwapEnded(Message):
    """Report a peer's response, or the reason for a failed call.

    ``follow_ups_left`` limits the further requests that bring no new row.
    """

    __slots__ = ('_follow_ups_left', '_peer', '_response')

    response: SwapResponse | Sentinel = read_only('_response')
    peer: Endpoint = read_only('_peer')
    follow_ups_left: int = read_only('_follow_ups_left')

    def __init__(
        self,
        *,
        peer: Endpoint,
        response: SwapResponse | Sentinel,
        follow_ups_left: int,
    ) -> None:
        self._peer = peer
        self._response = response
        self._follow_ups_left = follow_ups_left


class PushDue(Message):
    """Trigger a push of changed rows."""

    __slots__ = ()


class SwapDue(Message):
    """Trigger a comparison of the member table with a peer's."""

    __slots__ = ()


class NewsDue(Message):
    """Trigger a notification of the subscribers."""

    __slots__ = ()
