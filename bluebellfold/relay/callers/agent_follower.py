"""Decide which agents a balancer asks for load reports, and when.

Load pattern: dozens to thousands of balancers before as many agents. A balancer
follows a subset of fixed size of each service's agents. When even the best of
them has requests waiting, it samples a few others, so that a busy subset isn't
full while others idle. An agent outside of the subset that owes a message is
probed until it answers or counts as dead.
"""

from collections.abc import Callable, Iterable

from bluebellfold.core import (
    ANY_REGION,
    NO_POSITION,
    NO_VERSION,
    Regions,
    StorePosition,
)
from bluebellfold.relay.agents import (
    SUBSET_SIZE,
    Address,
    AgentEntry,
    AgentTable,
    AgentTableChange,
    AgentView,
    Subscribe,
    Versions,
    select_subset,
)
from bluebellfold.relay.callers.evacuations import Evacuations
from bluebellfold.relay.callers.home_regions import HomeRegions
from bluebellfold.relay.callers.transport import Transport
from bluebellfold.relay.callers.unlisted_agents import UnlistedAgents
from bluebellfold.relay.callers.versions import ActiveRoutes

# A subscription lasts 2 s: two renewals may be lost.
SUBSCRIBE_INTERVAL_SECONDS = 0.6
# Agents outside of the subset that are sampled at a time, and how often.
SAMPLE_SIZE = 3
SAMPLE_INTERVAL_SECONDS = 0.1
# How often an agent that owes a message is probed: the probes of 3 s are not
# all lost, even on a link that loses a third of its packets.
PROBE_INTERVAL_SECONDS = 0.3
DEAD_PROBE_INTERVAL_SECONDS = 1.0
# Agents that are checked for probes in a tick, in turn. If none of 28,000
# answers a lookup, each is still probed four times before it counts as dead.
MAX_AWAITED_PER_TICK = 2_000
# The agent is not probed after this time, until it is asked again.
MAX_SILENCE_SECONDS = 60.0
# How often the owner of a flow in use proves that it is alive.
OWNER_PROBE_INTERVAL_SECONDS = 1.0

# A service, and the regions that the agents are in.
_SampleKey = tuple[str, Regions]


class AgentFollower:
    """Subscribe to the agents of the subsets, and probe other agents."""

    __slots__ = (
        '_agent_table',
        '_agents_position',
        '_draw',
        '_evacuations',
        '_followers',
        '_home_regions',
        '_identity',
        '_routes',
        '_sampled_at',
        '_subscribe_due',
        '_transport',
        '_unlisted',
        '_zone',
    )

    def __init__(
        self,
        *,
        identity: str,
        zone: str,
        agent_table: AgentTable,
        routes: ActiveRoutes,
        evacuations: Evacuations,
        transport: Transport,
        draw: Callable[[], float],
        home_regions: HomeRegions,
        unlisted: UnlistedAgents,
    ) -> None:
        self._identity = identity
        self._unlisted = unlisted
        self._home_regions = home_regions
        self._zone = zone
        self._agent_table = agent_table
        self._routes = routes
        self._evacuations = evacuations
        self._transport = transport
        self._draw = draw
        self._agents_position = NO_POSITION
        self._subscribe_due = float(0)
        self._followers: dict[Address, int] = {}
        self._sampled_at: dict[_SampleKey, float] = {}

    def update_agents(
        self,
        entries: Iterable[AgentEntry],
        now: float,
        *,
        position: StorePosition,
    ) -> AgentTableChange:
        """Replace the list of agents, and follow new members of subsets."""
        self._agents_position = position
        change = self._agent_table.update_entries(entries, now)
        for removed in change.removed:
            self._followers.pop(removed, None)
        known = {view.address for view in self._agent_table.followed}
        self._select_subsets(now)
        for view in self._agent_table.followed:
            if view.address not in known:
                self._ask(view, now)
        return change

    def renew_at_once(self, now: float) -> None:
        """Send the versions in force to all followed agents."""
        self._subscribe_due = now

    def record_followers(self, address: Address, followers: int) -> None:
        """Record how many balancers follow an agent."""
        self._followers[address] = followers

    def estimate_balancers(self) -> int:
        """Return about how many balancers there are.

        Each balancer follows the same number of a service's agents, so that
        the mean number of an agent's followers tells.
        """
        estimates = []
        for view in self._agent_table.followed:
            listed = self._agent_table.listed_for(view.entry.service)
            followers = self._followers.get(view.address)
            if followers is not None:
                followed_share = min(1, SUBSET_SIZE / len(listed))
                estimates.append(followers / followed_share)
        return round(sum(estimates) / len(estimates)) if estimates else 0

    def tick(self, now: float) -> None:
        """Renew subscriptions, and probe silent and unlisted agents."""
        self._renew(now)
        for address in self._unlisted.addresses:
            self.check_owner(self._agent_table.get(address), now)
        for view in self._agent_table.next_awaited(MAX_AWAITED_PER_TICK):
            self._probe_awaited(view, now)

    def sample(
        self,
        service: str,
        now: float,
        *,
        allowed_regions: Regions = ANY_REGION,
    ) -> None:
        """Ask a few agents outside of a service's subset for their load."""
        sampled_at = self._sampled_at.get((service, allowed_regions))
        if sampled_at is not None:
            if now - sampled_at < SAMPLE_INTERVAL_SECONDS:
                return
        self._sampled_at[service, allowed_regions] = now
        listed = self._home_regions.select(
            self._agent_table.listed_for(service), allowed_regions
        )
        usable = self._evacuations.filter_usable(listed)
        others = [view for view in usable if not view.is_followed]
        for _ in range(min(SAMPLE_SIZE, len(others))):
            view = others.pop(int(self._draw() * len(others)))
            self._ask(view, now)

    def check_owner(self, view: AgentView, now: float) -> None:
        """Let an agent that isn't followed prove that it is alive."""
        if view.is_followed or view.is_awaited:
            return
        if now - view.probed_at < OWNER_PROBE_INTERVAL_SECONDS:
            return
        self.probe(view, now)

    def probe(self, view: AgentView, now: float) -> None:
        """Ask an agent to prove at once that it is alive."""
        self._agent_table.expect_message(view, now)
        self._ask(view, now)

    def _renew(self, now: float) -> None:
        all_due = now >= self._subscribe_due
        if all_due:
            self._subscribe_due = now + SUBSCRIBE_INTERVAL_SECONDS
            self._agent_table.remove_stale(now)
            self._select_subsets(now)
        for view in self._agent_table.followed:
            # An agent that starts is subscribed to within a tick instead of at
            # the next renewal.
            starting = not view.is_live(now) and not view.is_presumed_dead(now)
            if all_due or starting:
                self._ask(view, now)

    def _select_subsets(self, now: float) -> None:
        followed = []
        for service in self._agent_table.services:
            listed = self._agent_table.listed_for(service)
            if not service:
                # Only its reports tell which service such an agent is of.
                followed.extend(view.address for view in listed)
                continue
            followed.extend(self._select_subsets_of(listed, now))
            # The subset of the whole service may have no agent in a region.
            for allowed in self._routes.table.list_home_regions(service):
                at_home = self._home_regions.select(listed, allowed)
                followed.extend(self._select_subsets_of(at_home, now))
        self._agent_table.follow(dict.fromkeys(followed), now)

    def _select_subsets_of(
        self, listed: list[AgentView], now: float
    ) -> list[Address]:
        """Return a subset of the agents, and one outside of evacuated zones.

        The agents of evacuated zones are followed on, so that they learn the
        state, but take no flows.
        """
        selected = self._select_subset(listed, now)
        usable = self._evacuations.filter_usable(listed)
        if 0 < len(usable) < len(listed):
            selected.extend(self._select_subset(usable, now))
        return selected

    def _select_subset(
        self, listed: list[AgentView], now: float
    ) -> list[Address]:
        living = [
            view.entry for view in listed if not view.is_presumed_dead(now)
        ]
        return select_subset(
            living or [view.entry for view in listed],
            identity=self._identity,
            zone=self._zone,
        )

    def _probe_awaited(self, view: AgentView, now: float) -> None:
        if view.silent_seconds(now) > MAX_SILENCE_SECONDS:
            self._agent_table.forget_silence(view)
            return
        interval = PROBE_INTERVAL_SECONDS
        if view.is_presumed_dead(now):
            interval = DEAD_PROBE_INTERVAL_SECONDS
        if now - view.probed_at >= interval:
            self._ask(view, now)

    def _ask(self, view: AgentView, now: float) -> None:
        view.mark_probed(now)
        service = view.load.service if view.load else view.entry.service
        # Of an agent whose service isn't known, no rate is known either: the
        # agent would take a rate of 0 with a version for no limit.
        version = self._routes.version if service else NO_VERSION
        self._transport.send_to_agent(
            view.address,
            Subscribe(
                idle_seconds=self._routes.table.idle_seconds,
                offers_sent=view.offers_sent,
                versions=Versions(
                    configuration=version,
                    agents=self._agents_position,
                    evacuation=self._evacuations.find(view.zone),
                ),
                once=not view.is_followed,
                warmup_flows_per_second=self._routes.table.find_warmup_rate(
                    service
                ),
                is_unlisted=view.address in self._unlisted,
            ),
        )
