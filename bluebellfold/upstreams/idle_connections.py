"""Keep idle upstream connections for reuse; owned by one actor."""

from collections import deque

from bluebellfold.core import Kind
from bluebellfold.core.http import HttpConnection

MAX_IDLE_CONNECTIONS = 32
MAX_IDLE_SECONDS = 10.0


class IdleConnection:
    """Hold a connection and the time since which it is idle."""

    __slots__ = ('_connection', '_idle_since')

    def __init__(
        self, *, connection: HttpConnection, idle_since: float
    ) -> None:
        self._connection = connection
        self._idle_since = idle_since

    @property
    def connection(self) -> HttpConnection:
        """Return the connection."""
        return self._connection

    @property
    def idle_since(self) -> float:
        """Return since when it is idle, in seconds of the clock."""
        return self._idle_since


class IdleConnections:
    """Pool a bounded number of idle connections for a bounded time."""

    __slots__ = ('_idle', '_limit')

    def __init__(self, *, limit: int = MAX_IDLE_CONNECTIONS) -> None:
        self._idle: deque[IdleConnection] = deque()
        self._limit = limit

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def keep(self, connection: HttpConnection, now: float) -> None:
        """Keep a connection whose last response was complete.

        The connection that was idle longest is closed if the pool is full.
        """
        self._idle.append(IdleConnection(connection=connection, idle_since=now))
        if len(self._idle) > self._limit:
            self._idle.popleft().connection.close()

    def acquire(self, kind: Kind, now: float) -> HttpConnection | None:
        """Return a connection to reuse, or None to open a new one.

        The upstream may close an idle connection while a request is being
        sent, and it is then unknown whether the request ran. Requests that
        may not be repeated therefore always get a new connection.
        """
        self.close_expired(now)
        if not kind.repeatable or not self._idle:
            return None
        return self._idle.pop().connection

    def close_expired(self, now: float) -> None:
        """Close connections that were idle for MAX_IDLE_SECONDS."""
        while self._idle and self._idle[0].idle_since + MAX_IDLE_SECONDS <= now:
            self._idle.popleft().connection.close()

    def close(self) -> None:
        """Close all connections."""
        while self._idle:
            self._idle.popleft().connection.close()
