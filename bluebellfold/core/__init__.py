"""Provide the base types that all packages share."""

from bluebellfold.core.actor import Actor, Message, Reply, Stop
from bluebellfold.core.announcement import Announcement
from bluebellfold.core.clock import Clock, ManualClock, MonotonicClock
from bluebellfold.core.configuration import Configuration
from bluebellfold.core.errors import (
    BluebellfoldError,
    InboxFullError,
    SettingsError,
    UnknownEntryError,
)
from bluebellfold.core.key import Key
from bluebellfold.core.member import DRAINING, LEFT, SERVING, Load, Member
from bluebellfold.core.packet import (
    Packet,
    client_host,
    format_flow,
    pack_address,
    service_address,
)
from bluebellfold.core.platform_errors import (
    PlatformError,
    PlatformResponseError,
    PlatformUnavailableError,
    RowConflictError,
)
from bluebellfold.core.presence import MissingValueError, require
from bluebellfold.core.record import Record, read_only
from bluebellfold.core.registry import Registry
from bluebellfold.core.routing import (
    ANY_REGION,
    NO_ROUTES,
    NO_VERSION,
    Regions,
    Route,
    RoutedService,
    RoutingTable,
    Share,
)
from bluebellfold.core.sentinel import Sentinel
from bluebellfold.core.site import (
    CONNECTION,
    SLOT,
    Endpoint,
    Kind,
    Process,
    Service,
    Site,
)
from bluebellfold.core.store_position import (
    NO_ERA,
    NO_POSITION,
    StorePosition,
)
from bluebellfold.core.tally import Count, Tally

__all__ = (
    'ANY_REGION',
    'Regions',
    'Actor',
    'Announcement',
    'BluebellfoldError',
    'CONNECTION',
    'Clock',
    'Count',
    'Configuration',
    'DRAINING',
    'Endpoint',
    'InboxFullError',
    'Key',
    'Kind',
    'LEFT',
    'Load',
    'ManualClock',
    'Member',
    'Message',
    'MissingValueError',
    'MonotonicClock',
    'NO_ERA',
    'NO_POSITION',
    'NO_ROUTES',
    'NO_VERSION',
    'Packet',
    'PlatformResponseError',
    'PlatformError',
    'PlatformUnavailableError',
    'Process',
    'Record',
    'Registry',
    'Reply',
    'Route',
    'RoutedService',
    'RoutingTable',
    'RowConflictError',
    'SERVING',
    'SLOT',
    'Sentinel',
    'Service',
    'SettingsError',
    'Share',
    'Site',
    'Stop',
    'StorePosition',
    'Tally',
    'UnknownEntryError',
    'client_host',
    'pack_address',
    'read_only',
    'require',
    'service_address',
    'format_flow',
)
