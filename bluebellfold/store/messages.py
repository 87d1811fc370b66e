"""Define the stored records and the messages of the store's actors."""

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
    """Hold the text of an object at one version.

    Versions start at 1 and grow by one with each write. ``operation``
    identifies the write that created this version.
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
    """Describe a write that is conditional on the object's version.

    ``expected_version`` 0 means that the object does not exist yet.
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
    """Hold a recent version of an object and the operation that wrote it."""

    __slots__ = ('_operation', '_version')

    operation: str = read_only('_operation')
    version: int = read_only('_version')

    def __init__(self, *, version: int, operation: str) -> None:
        self._version = version
        self._operation = operation


class ObjectSeen(Message):
    """Notify the subscriber of an object's stored version."""

    __slots__ = ('_stored',)

    stored: StoredText = read_only('_stored')

    def __init__(self, *, stored: StoredText) -> None:
        self._stored = stored


class ConfigurationChanged(Message):
    """Notify a subscriber that a configuration has come into force."""

    __slots__ = ('_configuration',)

    configuration: Configuration = read_only('_configuration')

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration


class OfferConfiguration(Message):
    """Offer the newest configuration of a peer."""

    __slots__ = ('_configuration',)

    configuration: Configuration = read_only('_configuration')

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration


class GetConfiguration(Message):
    """Request the configuration in force."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class Subscribe(Message):
    """Request the configuration in force and each later change."""

    __slots__ = ('_subscriber',)

    subscriber: Actor = read_only('_subscriber')

    def __init__(self, *, subscriber: Actor) -> None:
        self._subscriber = subscriber


class PublishMember(Message):
    """Request that a member's row be written to the platform."""

    __slots__ = ('_member',)

    member: Member = read_only('_member')

    def __init__(self, *, member: Member) -> None:
        self._member = member


class MembersRead(Message):
    """Report the members that were read from one object."""

    __slots__ = ('_members',)

    members: tuple[Member, ...] = read_only('_members')

    def __init__(self, *, members: tuple[Member, ...]) -> None:
        self._members = members


class RemoveMembers(Message):
    """Request that members' rows be removed from the named object."""

    __slots__ = ('_members', '_name')

    members: tuple[Member, ...] = read_only('_members')
    name: str = read_only('_name')

    def __init__(self, *, name: str, members: tuple[Member, ...]) -> None:
        self._name = name
        self._members = members


class MembersRemoved(Message):
    """Report the members whose rows were removed."""

    __slots__ = ('_members',)

    members: tuple[Member, ...] = read_only('_members')

    def __init__(self, *, members: tuple[Member, ...]) -> None:
        self._members = members
