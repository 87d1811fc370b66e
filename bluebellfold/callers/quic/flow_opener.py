"""Open flows whose connection ids carry tokens."""

from aioquic.quic.configuration import QuicConfiguration

from bluebellfold.agents import Token, TokenSealer
from bluebellfold.callers.quic.connection import IssuedId, TokenConnection
from bluebellfold.callers.quic.flow import Flow
from bluebellfold.core import Endpoint, Key, Kind, Sentinel


class FlowOpener:
    """Open flows with the certificate and the token keys of one agent."""

    __slots__ = ('_endpoint', '_quic', '_sealer')

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        quic: QuicConfiguration,
        token_keys: tuple[Key, ...],
    ) -> None:
        self._endpoint = endpoint
        self._quic = quic
        self._sealer = TokenSealer(keys=token_keys)

    def update_keys(self, token_keys: tuple[Key, ...]) -> bool:
        """Replace the keys and tell whether the sealing key changed."""
        previous_key_number = self._sealer.current_key_number
        self._sealer = TokenSealer(keys=token_keys)
        return self._sealer.current_key_number != previous_key_number

    def update_certificate(self, quic: QuicConfiguration) -> None:
        """Use another certificate for new flows."""
        self._quic = quic

    def read_token(self, connection_id: bytes) -> Token | Sentinel:
        """Return the token, or the reason why it is not valid."""
        return self._sealer.open(connection_id)

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token of a connection id."""
        return self._sealer.reset_token(connection_id)

    def open(
        self,
        flow_key: bytes,
        *,
        kind: Kind,
        service: int,
        client: Endpoint,
        now: float,
    ) -> Flow:
        """Return a new flow that has received no datagram yet."""
        token = Token(
            agent=self._endpoint,
            address=kind.number,
            service=service,
        )
        quic = TokenConnection(
            configuration=self._quic,
            original_connection_id=flow_key,
            issue=lambda: self._issue(token),
        )
        return Flow(
            key=flow_key,
            kind=kind,
            client=client,
            quic=quic,
            opened_at=now,
        )

    def _issue(self, token: Token) -> IssuedId:
        connection_id = self._sealer.seal(token)
        return IssuedId(
            connection_id=connection_id,
            reset_token=self._sealer.reset_token(connection_id),
        )
