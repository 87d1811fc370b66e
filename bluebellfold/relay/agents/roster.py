"""Keep what a balancer knows of each agent."""

from collections.abc import Iterable

from bluebellfold.core import Record, read_only
from bluebellfold.relay.agents.messages import READY, AgentLoad

Address = tuple[str, int]

# An agent reports at least every 0.2 s: after three lost reports it is silent.
LIVE_SECONDS = 0.7
# One that runs has reported within this; a new start takes longer.
REPORTING_SECONDS = 0.3
# Beyond this an agent that is silent has died, or was cut off: a planned
# restart takes less.
LOST_SECONDS = 3.0
# Keeps one lost offer from counting as load for good.
MAX_OFFERS_UNDER_WAY = 64
_COUNTER = 0xFFFFFFFF


class AgentView:
    """Hold one agent's last report and what was offered to it since."""

    __slots__ = (
        '_address',
        '_avoided_until',
        '_known_since',
        '_load',
        '_offers_sent',
        '_reported_at',
        '_silent',
    )

    def __init__(self, *, address: Address, now: float) -> None:
        self._address = address
        self._known_since = now
        self._load: AgentLoad | None = None
        self._reported_at = now
        self._offers_sent = 0
        self._avoided_until = now
        self._silent = False

    @property
    def address(self) -> Address:
        """Return where the agent takes packets."""
        return self._address

    @property
    def load(self) -> AgentLoad | None:
        """Return the last report, None before the first."""
        return self._load

    @property
    def offers_sent(self) -> int:
        """Return how many flows this balancer offered to the agent."""
        return self._offers_sent

    @property
    def busy(self) -> int:
        """Return the requests in progress, with the offers under way."""
        if self._load is None:
            return 0
        under_way = (self._offers_sent - self._load.offers_seen) & _COUNTER
        if under_way > MAX_OFFERS_UNDER_WAY:
            under_way = 0
        return self._load.busy + under_way

    @property
    def reported_at(self) -> float:
        """Return when the last report came, or the agent became known."""
        return self._reported_at

    def age_seconds(self, now: float) -> float:
        """Return how long ago the agent reported, or became known."""
        return now - self._reported_at

    def is_live(self, now: float) -> bool:
        """Tell whether the agent reported a moment ago."""
        return self._load is not None and self.age_seconds(now) <= LIVE_SECONDS

    def is_lost(self, now: float) -> bool:
        """Tell whether the agent has been silent for longer than a restart."""
        return self.age_seconds(now) > LOST_SECONDS

    def takes_flows(self, now: float) -> bool:
        """Tell whether the agent's upstream is known to take new flows."""
        return (
            self.is_live(now)
            and self._load.state == READY
            and now >= self._avoided_until
        )

    def count_offer(self) -> None:
        """Count a flow that is offered to the agent."""
        self._offers_sent = (self._offers_sent + 1) & _COUNTER

    def notice_silence(self, now: float) -> bool:
        """Tell once that the agent has fallen silent."""
        if self._silent or self._load is None or self.is_live(now):
            return False
        self._silent = True
        return True

    def excuse_silence(self, now: float) -> None:
        """Give the agent time to report before it is taken for lost."""
        self._reported_at = max(self._reported_at, now - LIVE_SECONDS)

    def avoid_until(self, moment: float) -> None:
        """Offer no flow to the agent before a moment."""
        self._avoided_until = moment

    def update(self, load: AgentLoad, now: float) -> bool:
        """Take a report, and tell whether it is newer than the last."""
        known = self._load
        if known is not None and known.start == load.start:
            if known.sequence >= load.sequence:
                return False
        elif known is not None and known.start > load.start:
            # A late report of an earlier start, while the later one reports.
            # If that one is silent, the clock of its VM was set back.
            if self.age_seconds(now) <= REPORTING_SECONDS:
                return False
        self._load = load
        self._reported_at = now
        self._silent = False
        return True


class RosterChange(Record):
    """List the agents that a new list of addresses added and removed."""

    __slots__ = ('_added', '_removed')

    added: tuple[Address, ...] = read_only('_added')
    removed: tuple[Address, ...] = read_only('_removed')

    def __init__(
        self,
        *,
        added: tuple[Address, ...],
        removed: tuple[Address, ...],
    ) -> None:
        self._added = added
        self._removed = removed


class Roster:
    """Hold the views of all agents by their address."""

    __slots__ = ('_views',)

    def __init__(self) -> None:
        self._views: dict[Address, AgentView] = {}

    def __len__(self) -> int:
        """Return the number of known agents."""
        return len(self._views)

    @property
    def views(self) -> Iterable[AgentView]:
        """Return the views of all agents."""
        return self._views.values()

    def find(self, address: Address) -> AgentView | None:
        """Return the view of an agent, None if it isn't known."""
        return self._views.get(address)

    def excuse_silence(self, now: float) -> None:
        """Take no agent for lost that was silent while this process was."""
        for view in self._views.values():
            view.excuse_silence(now)

    def change(self, addresses: Iterable[Address], now: float) -> RosterChange:
        """Take the list of agents that exist."""
        wanted = set(addresses)
        # In order: what a run draws by chance is the same each time.
        added = tuple(sorted(wanted - self._views.keys()))
        removed = tuple(sorted(self._views.keys() - wanted))
        for address in removed:
            self._views.pop(address)
        for address in added:
            self._views[address] = AgentView(address=address, now=now)
        return RosterChange(added=added, removed=removed)

    def of_service(self, service: str) -> list[AgentView]:
        """Return the views of the agents that last served a service."""
        return [
            view
            for view in self._views.values()
            if view.load is not None and view.load.service == service
        ]
