"""Assign flows to agents, and encode the datagrams exchanged with them."""

from bluebellfold.agents.capacity import UsableCapacity
from bluebellfold.agents.codec import EnvelopeCodec
from bluebellfold.agents.handshakes import UNKNOWN_HANDSHAKE, HandshakeTable
from bluebellfold.agents.liveness import Liveness, Suspicion
from bluebellfold.agents.loads import (
    REFRESH_SECONDS,
    REPORT_SECONDS,
    UNKNOWN_LOAD,
    LoadView,
    ReportLimiter,
)
from bluebellfold.agents.messages import (
    AnswerDatagram,
    BalancerLeaving,
    CallerDatagram,
    FlowTaken,
    LoadReport,
    Probe,
    ProbeAnswer,
)
from bluebellfold.agents.peers import choose_peers
from bluebellfold.agents.placement import (
    DEFAULT_PLACEMENT,
    NO_CANDIDATE,
    PLACEMENTS,
    UNLIMITED_FILL,
    Candidate,
    Question,
    Surroundings,
    place,
)
from bluebellfold.agents.placer import Placed, Placer
from bluebellfold.agents.ranking import Ranking
from bluebellfold.agents.tokens import TOKEN_BYTES, Token, TokenSealer

__all__ = (
    'AnswerDatagram',
    'BalancerLeaving',
    'CallerDatagram',
    'Candidate',
    'DEFAULT_PLACEMENT',
    'EnvelopeCodec',
    'FlowTaken',
    'HandshakeTable',
    'Liveness',
    'LoadReport',
    'LoadView',
    'NO_CANDIDATE',
    'PLACEMENTS',
    'Placed',
    'Placer',
    'Probe',
    'ProbeAnswer',
    'Question',
    'REFRESH_SECONDS',
    'REPORT_SECONDS',
    'Ranking',
    'ReportLimiter',
    'Surroundings',
    'Suspicion',
    'TOKEN_BYTES',
    'Token',
    'TokenSealer',
    'UNKNOWN_HANDSHAKE',
    'UNKNOWN_LOAD',
    'UNLIMITED_FILL',
    'UsableCapacity',
    'choose_peers',
    'place',
)
