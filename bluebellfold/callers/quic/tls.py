"""Load the QUIC configuration of an agent."""

import logging

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from bluebellfold.agents import TOKEN_BYTES

IDLE_TIMEOUT_SECONDS = 60.0


def load_quic_configuration(
    certificate: str, private_key: str
) -> QuicConfiguration:
    """Return the QUIC configuration of an agent, or raise OSError.

    No session tickets are issued, so clients send no early data: a request
    in early data could be replayed.
    """
    # aioquic logs each step of each handshake at level INFO.
    logging.getLogger('quic').setLevel(logging.WARNING)
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=TOKEN_BYTES,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
    )
    configuration.load_cert_chain(certificate, private_key)
    return configuration
