"""Read, watch and conditionally update objects in the platform's store."""

from bluebellfold.core.backoff import Backoff
from bluebellfold.core.platform_errors import (
    PlatformError,
    PlatformResponseError,
    PlatformUnavailableError,
    RowConflictError,
)
from bluebellfold.platform import MISSING_OBJECT
from bluebellfold.store.client import UNCHANGED, ObjectClient
from bluebellfold.store.configuration import (
    ConfigurationTask,
    configuration_object_name,
)
from bluebellfold.store.configuration_update import (
    ALREADY_IN_FORCE,
    OLDER,
    SAME_VERSION,
    update_configuration,
)
from bluebellfold.store.lease import HELD, LAPSED, Lease
from bluebellfold.store.lease_manager import LeaseManager
from bluebellfold.store.member_reader import MemberReader, members_object_names
from bluebellfold.store.member_remover import MemberRemover
from bluebellfold.store.members import MemberPublisher, members_object_name
from bluebellfold.store.messages import (
    ConfigurationChanged,
    GetConfiguration,
    HistoryEntry,
    MembersRead,
    MembersRemoved,
    ObjectSeen,
    ObjectWrite,
    OfferConfiguration,
    PublishMember,
    RemoveMembers,
    StoredText,
    Subscribe,
)
from bluebellfold.store.row_changes import NOTHING_NEWER, Row
from bluebellfold.store.row_codec import (
    decode_members,
    encode_member,
)
from bluebellfold.store.row_writer import RowWriter
from bluebellfold.store.watch import ObjectWatch
from bluebellfold.store.write_outcome import (
    CONFLICT,
    OUTCOME_UNKNOWN,
    PENDING,
    resolve_write,
)

__all__ = (
    'ALREADY_IN_FORCE',
    'Backoff',
    'CONFLICT',
    'ConfigurationChanged',
    'ConfigurationTask',
    'GetConfiguration',
    'HELD',
    'HistoryEntry',
    'LAPSED',
    'Lease',
    'LeaseManager',
    'MISSING_OBJECT',
    'MemberReader',
    'MemberRemover',
    'MembersRead',
    'MembersRemoved',
    'MemberPublisher',
    'NOTHING_NEWER',
    'OLDER',
    'ObjectClient',
    'ObjectSeen',
    'ObjectWatch',
    'ObjectWrite',
    'OfferConfiguration',
    'PENDING',
    'PlatformResponseError',
    'PlatformError',
    'PlatformUnavailableError',
    'PublishMember',
    'RemoveMembers',
    'Row',
    'RowConflictError',
    'RowWriter',
    'SAME_VERSION',
    'StoredText',
    'Subscribe',
    'UNCHANGED',
    'OUTCOME_UNKNOWN',
    'update_configuration',
    'configuration_object_name',
    'decode_members',
    'encode_member',
    'members_object_name',
    'members_object_names',
    'resolve_write',
)
