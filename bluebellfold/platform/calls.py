"""Decode the HTTP calls that the platform and upstreams make."""

from collections.abc import Callable
from urllib.parse import unquote

from bluebellfold.core import (
    Announcement,
    Record,
    Registry,
    Sentinel,
    read_only,
)
from bluebellfold.platform.announcements import decode_announcement

READINESS_PATH = '/bluebellfold/ready'
ANNOUNCE_PATH = '/bluebellfold/Instances.Heartbeat'
DEREGISTER_PATH = '/bluebellfold/Instances.Deregister'

UNKNOWN_CALL = Sentinel(
    name='unknown-call',
    reason='no call has this method and path',
)


class InboundCall(Record):
    """Mark a decoded HTTP call."""

    __slots__ = ()


class ReadinessCall(InboundCall):
    """Ask whether the process accepts new flows."""

    __slots__ = ()


class AnnounceCall(InboundCall):
    """Carry an upstream's announcement."""

    __slots__ = ('_announcement',)

    announcement: Announcement = read_only('_announcement')

    def __init__(self, *, announcement: Announcement) -> None:
        self._announcement = announcement


class DeregisterCall(InboundCall):
    """Deregister an upstream that stops."""

    __slots__ = ('_name',)

    name: str = read_only('_name')

    def __init__(self, *, name: str) -> None:
        self._name = name


CALL_DECODERS: Registry[
    tuple[str, str], Callable[..., InboundCall | Sentinel]
] = Registry(
    name='calls',
)


def decode_call(
    method: str, target: str, body: bytes
) -> InboundCall | Sentinel:
    """Return the decoded call, UNKNOWN_CALL or UNREADABLE_ANNOUNCEMENT."""
    path = target.partition('?')[0]
    if path == READINESS_PATH:
        return ReadinessCall() if method == 'GET' else UNKNOWN_CALL
    prefix, _, name = path.rpartition('/')
    decode = CALL_DECODERS.get((method, prefix))
    return UNKNOWN_CALL if decode is None else decode(unquote(name), body)


@CALL_DECODERS.add(('POST', ANNOUNCE_PATH))
def _decode_announce_call(name: str, body: bytes) -> InboundCall | Sentinel:
    announcement = decode_announcement(name, body)
    if not announcement:
        return announcement
    return AnnounceCall(announcement=announcement)


@CALL_DECODERS.add(('POST', DEREGISTER_PATH))
def _decode_deregister_call(name: str, _: bytes) -> InboundCall:
    return DeregisterCall(name=name)
