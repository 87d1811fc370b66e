"""Define what is kept in the platform and what its tasks tell each other."""

from bluebellfold.core import (
    Actor,
    Configuration,
    Member,
    Message,
    Record,
    Reply,
    read_only,
)


class StoredText(Record):
    """Carry one object of the platform at one version.

    Versions start at 1 and grow by one with each write. ``operation``
    identifies the write that gave the object this version.
    """

    __slots__ = ('_name', '_operation', '_text', '_version')

    name: str = read_only('_name')
    operation: str = read_only('_operation')
    text: str = read_only('_text')
    version: int = read_only('_version')

    def __init__(
        self,
        *,
        name: str,
        version: int,
        text: str,
        operation: str = '',
    ) -> None:
        self._name = name
        self._version = version
        self._text = text
        self._operation = operation


class ObjectWrite(Record):
    """Describe a write that takes effect only on the version expected.

    ``expected_version`` 0 stands for an object that doesn't exist yet.
    """

    __slots__ = ('_expected_version', '_name', '_operation', '_text')

    expected_version: int = read_only('_expected_version')
    name: str = read_only('_name')
    operation: str = read_only('_operation')
    text: str = read_only('_text')

    def __init__(
        self,
        *,
        name: str,
        text: str,
        expected_version: int,
        operation: str,
    ) -> None:
        self._name = name
        self._text = text
        self._expected_version = expected_version
        self._operation = operation


class HistoryEntry(Record):
    """Name the operation that gave an object one of its late versions."""

    __slots__ = ('_operation', '_version')

    operation: str = read_only('_operation')
    version: int = read_only('_version')

    def __init__(self, *, version: int, operation: str) -> None:
        self._version = version
        self._operation = operation


class ObjectSeen(Message):
    """Tell the subscriber of a watch what the platform holds."""

    __slots__ = ('_stored',)

    stored: StoredText = read_only('_stored')

    def __init__(self, *, stored: StoredText) -> None:
        self._stored = stored


class ConfigurationChanged(Message):
    """Tell a subscriber which configuration is in force from now on."""

    __slots__ = ('_configuration',)

    configuration: Configuration = read_only('_configuration')

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration


class Offer(Message):
    """Hand over the newest configuration that a peer has."""

    __slots__ = ('_configuration',)

    configuration: Configuration = read_only('_configuration')

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration


class GetConfiguration(Message):
    """Ask for the configuration in force."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class Subscribe(Message):
    """Ask to be told of each change, and of what is in force already."""

    __slots__ = ('_subscriber',)

    subscriber: Actor = read_only('_subscriber')

    def __init__(self, *, subscriber: Actor) -> None:
        self._subscriber = subscriber


class PublishMember(Message):
    """Ask for a member's row to be kept in the platform."""

    __slots__ = ('_member',)

    member: Member = read_only('_member')

    def __init__(self, *, member: Member) -> None:
        self._member = member


class MembersRead(Message):
    """Tell which members an object of the platform holds."""

    __slots__ = ('_members',)

    members: tuple[Member, ...] = read_only('_members')

    def __init__(self, *, members: tuple[Member, ...]) -> None:
        self._members = members


class RemoveMembers(Message):
    """Ask for rows to be taken out of the object of this name."""

    __slots__ = ('_members', '_name')

    members: tuple[Member, ...] = read_only('_members')
    name: str = read_only('_name')

    def __init__(self, *, name: str, members: tuple[Member, ...]) -> None:
        self._name = name
        self._members = members


class MembersRemoved(Message):
    """Tell whose rows were taken out of the platform."""

    __slots__ = ('_members',)

    members: tuple[Member, ...] = read_only('_members')

    def __init__(self, *, members: tuple[Member, ...]) -> None:
        self._members = members
