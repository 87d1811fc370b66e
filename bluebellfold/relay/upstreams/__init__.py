"""Relay packets to and from the upstream beside this agent."""

from bluebellfold.relay.upstreams.actor import UpstreamActor
from bluebellfold.relay.upstreams.agent_start import AgentStart
from bluebellfold.relay.upstreams.announcement_server import AnnouncementServer
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.messages import StopWhenIdle
from bluebellfold.relay.upstreams.relay import UpstreamRelay
from bluebellfold.relay.upstreams.warmup import WarmupLimit

__all__ = (
    'AgentStart',
    'AnnouncementServer',
    'StopWhenIdle',
    'UpstreamActor',
    'UpstreamHealth',
    'UpstreamRelay',
    'WarmupLimit',
)
