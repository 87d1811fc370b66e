"""Translate between the API of the platform and the core types."""

from bluebellfold.platform.announcements import (
    UNREADABLE_ANNOUNCEMENT,
    decode_announcement,
)
from bluebellfold.platform.calls import (
    UNKNOWN_CALL,
    AnnounceCall,
    DeregisterCall,
    InboundCall,
    ReadinessCall,
    decode_call,
)
from bluebellfold.platform.configuration_reader import (
    DOCUMENT_ROOT,
    Configuration,
    RouteEntry,
    ServiceEntry,
    index_path,
    join_path,
    read_configuration,
)
from bluebellfold.platform.evacuations import (
    EVACUATIONS_KIND,
    UNUSABLE_ZONE,
    decode_evacuated_zone,
)
from bluebellfold.platform.json_reader import (
    is_integer,
    is_number,
    is_text,
    read_json,
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
from bluebellfold.platform.store_era import MAX_ERA
from bluebellfold.platform.stored_object import (
    Change,
    Changes,
    StoredObject,
)

__all__ = (
    'AnnounceCall',
    'CONFIGURATION_KIND',
    'CONFIGURATION_NAME',
    'EVACUATIONS_KIND',
    'InboundCall',
    'Change',
    'Configuration',
    'DOCUMENT_ROOT',
    'RouteEntry',
    'ServiceEntry',
    'index_path',
    'join_path',
    'read_configuration',
    'Changes',
    'HISTORY_GONE',
    'MALFORMED',
    'MAX_ERA',
    'MISSING_OBJECT',
    'ObjectStoreClient',
    'REVISION_CONFLICT',
    'ReadinessCall',
    'StoreError',
    'StoredObject',
    'UNKNOWN_CALL',
    'UNREADABLE_ANNOUNCEMENT',
    'UNREADABLE_CONFIGURATION',
    'UNUSABLE_ZONE',
    'DeregisterCall',
    'decode_announcement',
    'decode_call',
    'decode_client_packet',
    'decode_evacuated_zone',
    'decode_packet',
    'decode_routing',
    'encode_reset',
    'is_integer',
    'is_number',
    'is_text',
    'read_json',
    'find_request_bytes',
    'find_request_id',
    'find_status',
    'tag_packet',
)
