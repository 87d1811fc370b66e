"""Terminate the QUIC connections of clients at the agent."""

from bluebellfold.callers.quic.connection import TokenConnection
from bluebellfold.callers.quic.envelopes import EnvelopeSocket
from bluebellfold.callers.quic.flow_opener import FlowOpener
from bluebellfold.callers.quic.flows import FlowsTask
from bluebellfold.callers.quic.messages import (
    CertificateChanged,
    DrainFlows,
    FlowCounts,
    GetFlowCounts,
    ServiceChanged,
)
from bluebellfold.callers.quic.tls import load_quic_configuration

__all__ = (
    'CertificateChanged',
    'DrainFlows',
    'EnvelopeSocket',
    'FlowCounts',
    'FlowOpener',
    'FlowsTask',
    'GetFlowCounts',
    'ServiceChanged',
    'TokenConnection',
    'load_quic_configuration',
)
