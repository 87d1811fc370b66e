"""Read, watch and conditionally update objects in the platform's store."""

from bluebellfold.store.adoption import (
    ALREADY_IN_FORCE,
    OLDER,
    SAME_VERSION,
    adopt,
)
from bluebellfold.core.backoff import Backoff
from bluebellfold.platform import MISSING_OBJECT
from bluebellfold.store.client import UNCHANGED, ObjectClient
from bluebellfold.store.configuration import (
    ConfigurationTask,
    configuration_object,
)
from bluebellfold.core.platform_errors import (
    PlatformAnswerError,
    PlatformError,
    PlatformUnavailableError,
    RowConflictError,
)
from bluebellfold.store.lease import HELD, LAPSED, Lease
from bluebellfold.store.lease_keeper import LeaseKeeper
from bluebellfold.store.member_reader import MemberReader, members_objects
from bluebellfold.store.member_remover import MemberRemover
from bluebellfold.store.members import MembersTask, members_object
from bluebellfold.store.messages import (
    ConfigurationChanged,
    GetConfiguration,
    HistoryEntry,
    MembersRead,
    MembersRemoved,
    ObjectSeen,
    ObjectWrite,
    Offer,
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
from bluebellfold.store.rows import RowWriter
from bluebellfold.store.settlement import (
    CONFLICT,
    PENDING,
    OUTCOME_UNKNOWN,
    resolve_write,
)
from bluebellfold.store.watch import ObjectWatch

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
    'LeaseKeeper',
    'MISSING_OBJECT',
    'MemberReader',
    'MemberRemover',
    'MembersRead',
    'MembersRemoved',
    'MembersTask',
    'NOTHING_NEWER',
    'OLDER',
    'ObjectClient',
    'ObjectSeen',
    'ObjectWatch',
    'ObjectWrite',
    'Offer',
    'PENDING',
    'PlatformAnswerError',
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
    'adopt',
    'configuration_object',
    'decode_members',
    'encode_member',
    'members_object',
    'members_objects',
    'resolve_write',
)
