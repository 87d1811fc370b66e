"""Define the messages to the upstream actor."""

from bluebellfold.core import Announcement, Message, Reply, read_only


class ApplyAnnouncement(Message):
    """Apply an announcement of the upstream; reply whether it applies."""

    __slots__ = ('_announcement', '_reply')

    announcement: Announcement = read_only('_announcement')
    reply: Reply = read_only('_reply')

    def __init__(self, *, announcement: Announcement, reply: Reply) -> None:
        self._announcement = announcement
        self._reply = reply


class ApplyDeregistration(Message):
    """Record that the upstream has deregistered; reply whether it applies."""

    __slots__ = ('_name', '_reply')

    name: str = read_only('_name')
    reply: Reply = read_only('_reply')

    def __init__(self, *, name: str, reply: Reply) -> None:
        self._name = name
        self._reply = reply


class StopWhenIdle(Message):
    """Report the upstream as draining, and stop with no request in flight."""

    __slots__ = ()
