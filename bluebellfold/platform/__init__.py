"""Translate between the API of the platform and the core types."""

from bluebellfold.platform.announcements import (
    UNREADABLE_ANNOUNCEMENT,
    decode_announcement,
)
from bluebellfold.platform.calls import (
    UNKNOWN_CALL,
    Announced,
    InboundCall,
    ReadinessAsked,
    Withdrawn,
    decode_call,
)
from bluebellfold.platform.objects import (
    HISTORY_GONE,
    MISSING_OBJECT,
    REVISION_CONFLICT,
    ObjectStoreClient,
    StoreError,
)
from bluebellfold.platform.packets import (
    MALFORMED,
    decode_client_packet,
    decode_packet,
    encode_reset,
    find_request_bytes,
    find_request_id,
    find_status,
    tag_packet,
)
from bluebellfold.platform.routes import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UNREADABLE_CONFIGURATION,
    decode_routing,
)
from bluebellfold.platform.stored import Changes, StoredObject

__all__ = (
    'Announced',
    'CONFIGURATION_KIND',
    'CONFIGURATION_NAME',
    'InboundCall',
    'Changes',
    'HISTORY_GONE',
    'MALFORMED',
    'MISSING_OBJECT',
    'ObjectStoreClient',
    'REVISION_CONFLICT',
    'ReadinessAsked',
    'StoreError',
    'StoredObject',
    'UNKNOWN_CALL',
    'UNREADABLE_ANNOUNCEMENT',
    'UNREADABLE_CONFIGURATION',
    'Withdrawn',
    'decode_announcement',
    'decode_call',
    'decode_client_packet',
    'decode_packet',
    'decode_routing',
    'encode_reset',
    'find_request_bytes',
    'find_request_id',
    'find_status',
    'tag_packet',
)
