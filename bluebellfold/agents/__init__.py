"""Assign flows to agents, and encode the datagrams exchanged with them."""

from bluebellfold.agents.capacity import UsableCapacity
from bluebellfold.agents.codec import EnvelopeCodec
from bluebellfold.agents.failure_detector import FailureDetector, Suspicion
from bluebellfold.agents.flow_assigner import Assignment, FlowAssigner
from bluebellfold.agents.handshake_table import (
    UNKNOWN_HANDSHAKE,
    HandshakeTable,
)
from bluebellfold.agents.loads import (
    REFRESH_INTERVAL_SECONDS,
    REPORT_INTERVAL_SECONDS,
    UNKNOWN_LOAD,
    LoadTable,
    ReportLimiter,
)
from bluebellfold.agents.messages import (
    BalancerLeaving,
    ClientDatagram,
    FlowAccepted,
    LoadReport,
    Probe,
    ProbeReply,
    ReplyDatagram,
)
from bluebellfold.agents.peers import choose_peers
from bluebellfold.agents.ranking import Ranking
from bluebellfold.agents.selection import (
    DEFAULT_POLICY,
    NO_CANDIDATE,
    POLICIES,
    UNLIMITED_FILL,
    Candidate,
    SelectionContext,
    SelectionQuery,
    select_agent,
)
from bluebellfold.agents.tokens import TOKEN_BYTES, Token, TokenSealer

__all__ = (
    'DEFAULT_POLICY',
    'NO_CANDIDATE',
    'POLICIES',
    'REFRESH_INTERVAL_SECONDS',
    'REPORT_INTERVAL_SECONDS',
    'TOKEN_BYTES',
    'UNKNOWN_HANDSHAKE',
    'UNKNOWN_LOAD',
    'UNLIMITED_FILL',
    'Assignment',
    'BalancerLeaving',
    'Candidate',
    'ClientDatagram',
    'EnvelopeCodec',
    'FailureDetector',
    'FlowAccepted',
    'FlowAssigner',
    'HandshakeTable',
    'LoadReport',
    'LoadTable',
    'Probe',
    'ProbeReply',
    'Ranking',
    'ReplyDatagram',
    'ReportLimiter',
    'SelectionContext',
    'SelectionQuery',
    'Suspicion',
    'Token',
    'TokenSealer',
    'UsableCapacity',
    'choose_peers',
    'select_agent',
)
