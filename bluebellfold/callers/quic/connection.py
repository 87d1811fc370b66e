"""Adapt aioquic's connection to connection ids that carry tokens.

Only this module uses private parts of aioquic, whose version is pinned;
a test fails if they change.
"""

from collections.abc import Callable
from typing import Any

from aioquic.buffer import UINT_VAR_MAX_SIZE, encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet import QuicFrameType

from bluebellfold.core import Record, read_only

_MAX_ACTIVE_CONNECTION_IDS = 4
_RESET_TOKEN_BYTES = 16
_MAX_CONNECTION_ID_BYTES = 20
_NEW_CONNECTION_ID_FRAME_BYTES = (
    3 * UINT_VAR_MAX_SIZE + 1 + _MAX_CONNECTION_ID_BYTES + _RESET_TOKEN_BYTES
)
_MAX_STREAM_DATA_FRAME_BYTES = 1 + 2 * UINT_VAR_MAX_SIZE


class IssuedId(Record):
    """Hold a connection id and its stateless reset token."""

    __slots__ = ('_connection_id', '_reset_token')

    connection_id: bytes = read_only('_connection_id')
    reset_token: bytes = read_only('_reset_token')

    def __init__(self, *, connection_id: bytes, reset_token: bytes) -> None:
        self._connection_id = connection_id
        self._reset_token = reset_token


class TokenConnection(QuicConnection):
    """Serve one flow under connection ids made by ``issue``."""

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        original_connection_id: bytes,
        issue: Callable[[], IssuedId],
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_connection_id,
        )
        self._issue = issue
        self._retire_prior_to = 0
        self._paused_streams: set[int] = set()
        first = self._new_connection_id(0)
        first.was_sent = True
        self._host_cids = [first]
        self.host_cid = first.cid
        self._local_initial_source_connection_id = first.cid

    @property
    def connection_ids(self) -> tuple[bytes, ...]:
        """Return the connection ids that packets of the flow may carry."""
        return tuple(issued.cid for issued in self._host_cids)

    @property
    def is_established(self) -> bool:
        """Tell whether the handshake is complete."""
        return self._handshake_complete

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of stream bytes not acknowledged yet."""
        stream = self._streams.get(stream_id)
        return len(stream.sender._buffer) if stream else 0  # noqa: WPS437

    def pause_stream(self, stream_id: int, *, paused: bool) -> None:
        """Stop or resume raising the flow control limit of a stream."""
        if paused:
            self._paused_streams.add(stream_id)
        else:
            self._paused_streams.discard(stream_id)

    def renew_connection_ids(self) -> None:
        """Issue new connection ids and retire the old ones."""
        self._retire_prior_to = self._host_cid_seq
        active_limit = min(
            _MAX_ACTIVE_CONNECTION_IDS,
            self._remote_active_connection_id_limit,
        )
        for _ in range(max(1, active_limit - 1)):
            self._append_connection_id()

    def _replenish_connection_ids(self) -> None:
        active_limit = min(
            _MAX_ACTIVE_CONNECTION_IDS,
            self._remote_active_connection_id_limit,
        )
        while len(self._host_cids) < active_limit:
            self._append_connection_id()

    def _append_connection_id(self) -> None:
        self._host_cids.append(self._new_connection_id(self._host_cid_seq))
        self._host_cid_seq += 1

    def _new_connection_id(self, sequence_number: int) -> QuicConnectionId:
        issued = self._issue()
        return QuicConnectionId(
            cid=issued.connection_id,
            sequence_number=sequence_number,
            stateless_reset_token=issued.reset_token,
        )

    def _write_stream_limits(
        self,
        builder: Any,
        space: Any,
        stream: Any,
    ) -> None:
        # aioquic doubles the window of a stream whenever half of it is used,
        # so buffered bytes would grow with the length of the body. The limit
        # of a paused stream is not raised until its bytes are consumed.
        if not stream.max_stream_data_local:
            return
        if stream.stream_id not in self._paused_streams:
            self._extend_stream_limit(stream)
        if stream.max_stream_data_local_sent == stream.max_stream_data_local:
            return
        frame = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=_MAX_STREAM_DATA_FRAME_BYTES,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        frame.push_uint_var(stream.stream_id)
        frame.push_uint_var(stream.max_stream_data_local)
        stream.max_stream_data_local_sent = stream.max_stream_data_local

    def _extend_stream_limit(self, stream: Any) -> None:
        window = self._configuration.max_stream_data
        limit = stream.receiver.highest_offset + window
        if limit - stream.max_stream_data_local >= window // 2:
            stream.max_stream_data_local = limit

    def _write_new_connection_id_frame(
        self,
        builder: Any,
        connection_id: QuicConnectionId,
    ) -> None:
        # aioquic always writes 0 for "retire prior to". A higher number makes
        # the client stop using ids sealed with a key that is being retired.
        frame = builder.start_frame(
            QuicFrameType.NEW_CONNECTION_ID,
            capacity=_NEW_CONNECTION_ID_FRAME_BYTES,
            handler=self._on_new_connection_id_delivery,
            handler_args=(connection_id,),
        )
        frame.push_uint_var(connection_id.sequence_number)
        frame.push_uint_var(
            min(self._retire_prior_to, connection_id.sequence_number),
        )
        frame.push_uint8(len(connection_id.cid))
        frame.push_bytes(connection_id.cid)
        frame.push_bytes(connection_id.stateless_reset_token)
        connection_id.was_sent = True


def send_goaway(
    quic: QuicConnection, http: H3Connection, next_stream_id: int
) -> None:
    """Send GOAWAY: requests from this stream id on are not processed."""
    quic.send_stream_data(
        http._local_control_stream_id,  # noqa: WPS437
        encode_frame(FrameType.GOAWAY, encode_uint_var(next_stream_id)),
        end_stream=False,
    )
