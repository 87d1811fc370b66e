"""Decide whether a copy from another balancer may still be used.

What the store itself has answered is never replaced by a copy, whichever of
them arrives first.
"""

NO_SOURCE = 'none'
STORE = 'store'


class StateSource:
    """Hold where one part of the state comes from.

    >>> source = StateSource()
    >>> source.record('10.0.0.1')
    >>> source.record('')
    >>> source.name, source.accepts('10.0.0.1'), source.accepts('')
    ('store', False, True)
    """

    __slots__ = ('_name',)

    def __init__(self) -> None:
        self._name = NO_SOURCE

    @property
    def name(self) -> str:
        """Return the store, the host of a balancer, or that there is none."""
        return self._name

    @property
    def is_store(self) -> bool:
        """Return whether the store has answered since the start."""
        return self._name == STORE

    @property
    def is_peer(self) -> bool:
        """Return whether the state is a copy from another balancer."""
        return self._name not in {NO_SOURCE, STORE}

    def accepts(self, peer: str) -> bool:
        """Return whether state of a balancer, or of the store, may be used."""
        return not peer or not self.is_store

    def record(self, peer: str) -> None:
        """Record the balancer that the state is from, empty for the store."""
        self._name = peer or STORE


class StateSources:
    """Hold the sources of each part of the state."""

    __slots__ = ('_agents', '_evacuations', '_routes')

    def __init__(self) -> None:
        self._routes = StateSource()
        self._agents = StateSource()
        self._evacuations = StateSource()

    @property
    def routes(self) -> StateSource:
        """Return the source of the configuration."""
        return self._routes

    @property
    def agents(self) -> StateSource:
        """Return the source of the list of agents."""
        return self._agents

    @property
    def evacuations(self) -> StateSource:
        """Return the source of the evacuated zones."""
        return self._evacuations
