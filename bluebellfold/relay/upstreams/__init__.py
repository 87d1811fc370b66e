"""Relay packets to and from the upstream beside this agent."""

from bluebellfold.relay.upstreams.ages import AgentStart
from bluebellfold.relay.upstreams.announcing import AnnouncementServer
from bluebellfold.relay.upstreams.front import UpstreamFront
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.messages import StopSoon
from bluebellfold.relay.upstreams.relay import UpstreamRelay

__all__ = (
    'AgentStart',
    'AnnouncementServer',
    'StopSoon',
    'UpstreamFront',
    'UpstreamHealth',
    'UpstreamRelay',
)
