"""Decide what a balancer does with each packet of a client.

The transport carries the decisions out.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod

from bluebellfold.core import (
    NO_POSITION,
    Message,
    Packet,
    RoutingTable,
    StorePosition,
)
from bluebellfold.relay.agents import (
    DEFAULT_POLICY,
    Address,
    AgentEntry,
    AgentTable,
    AgentView,
    Declined,
    FlowFound,
    FlowNotFound,
    FlowOwner,
    FlowPresumedAbsent,
    FlowUncertain,
    KnownEra,
    LoadReport,
    ReturnedPacket,
)
from bluebellfold.relay.callers.admission import FlowAdmission
from bluebellfold.relay.callers.agent_follower import AgentFollower
from bluebellfold.relay.callers.agent_list import NEVER, AgentListVersion
from bluebellfold.relay.callers.eligibility import Eligibility
from bluebellfold.relay.callers.evacuations import Evacuations
from bluebellfold.relay.callers.flow_cache import FlowCache
from bluebellfold.relay.callers.forwarding import FlowForwarder
from bluebellfold.relay.callers.home_regions import NO_REGIONS, HomeRegions
from bluebellfold.relay.callers.known_positions import KnownPositions
from bluebellfold.relay.callers.state_sources import StateSources
from bluebellfold.relay.callers.transport import Transport
from bluebellfold.relay.callers.unlisted_agents import UnlistedAgents
from bluebellfold.relay.callers.versions import ActiveRoutes
from bluebellfold.relay.collectors import Journal

# How often the owners of long flows are told to their home agents.
REGISTER_INTERVAL_SECONDS = 1.0
# How often idle flows and expired lookups are removed.
SWEEP_INTERVAL_SECONDS = 5.0
# The process ticks every 0.05 s. After a gap of this length it was paused, and
# missing load reports are not the fault of the agents.
PAUSE_THRESHOLD_SECONDS = 0.5
# Flows stay cached this much longer than the configured idle time, within which
# clients may resume them.
IDLE_MARGIN_SECONDS = 2.0
MS_PER_SECOND = 1000


class ClientRelay:
    """Assign new flows to agents, and forward packets of established ones.

    ``identity`` differs between balancers. ``draw`` returns a random number in
    [0, 1). ``regions`` maps zones to regions. Methods take ``now`` in seconds
    of a monotonic clock.
    """

    __slots__ = (
        '_admission',
        '_agent_table',
        '_agent_list',
        '_evacuations',
        '_flows',
        '_follower',
        '_forwarder',
        '_journal',
        '_known_era',
        '_last_run_at',
        '_register_due',
        '_routes',
        '_sources',
        '_sweep_due',
        '_transport',
        '_unlisted',
    )

    def __init__(
        self,
        *,
        identity: str,
        zone: str,
        transport: Transport,
        journal: Journal,
        draw: Callable[[], float],
        policy: str = DEFAULT_POLICY,
        regions: Mapping[str, str] = NO_REGIONS,
    ) -> None:
        home_regions = HomeRegions(regions=regions)
        self._transport = transport
        self._journal = journal
        self._routes = ActiveRoutes()
        self._agent_table = AgentTable()
        self._agent_list = AgentListVersion()
        self._unlisted = UnlistedAgents(agent_table=self._agent_table)
        self._known_era = KnownEra()
        self._evacuations = Evacuations(known_era=self._known_era)
        self._sources = StateSources()
        self._flows = FlowCache()
        self._follower = AgentFollower(
            identity=identity,
            zone=zone,
            agent_table=self._agent_table,
            routes=self._routes,
            evacuations=self._evacuations,
            transport=transport,
            draw=draw,
            home_regions=home_regions,
            unlisted=self._unlisted,
        )
        self._forwarder = FlowForwarder(
            zone=zone,
            agent_table=self._agent_table,
            follower=self._follower,
            routes=self._routes,
            flows=self._flows,
            transport=transport,
            journal=journal,
        )
        self._admission = FlowAdmission(
            zone=zone,
            agent_table=self._agent_table,
            follower=self._follower,
            routes=self._routes,
            eligibility=Eligibility(
                agent_table=self._agent_table,
                evacuations=self._evacuations,
                home_regions=home_regions,
                sources=self._sources,
            ),
            flows=self._flows,
            transport=transport,
            journal=journal,
            draw=draw,
            policy=policy,
        )
        self._register_due = float(0)
        self._sweep_due = float(0)
        self._last_run_at: float | None = None

    @property
    def version(self) -> int:
        """Return the version of the active configuration."""
        return self._routes.version

    @property
    def sources(self) -> StateSources:
        """Return where each part of the state comes from."""
        return self._sources

    @property
    def positions(self) -> KnownPositions:
        """Return what is known of the history of the store."""
        return KnownPositions(
            era=self._known_era.number,
            agents=self._agent_list.position,
            evacuations=self._evacuations.position,
        )

    @property
    def agent_table(self) -> AgentTable:
        """Return what is known of agents."""
        return self._agent_table

    @property
    def unlisted_agents(self) -> int:
        """Return how many agents run that the list lacks."""
        return len(self._unlisted)

    @property
    def cached_flows(self) -> int:
        """Return the number of flows in the cache."""
        return len(self._flows)

    @property
    def queued_flows(self) -> int:
        """Return how many flows are queued for an upstream."""
        return self._admission.queued_flows

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones that count as evacuated."""
        return self._evacuations.zones

    def estimate_balancers(self) -> int:
        """Return about how many balancers there are."""
        return self._follower.estimate_balancers()

    def is_ready(self, now: float) -> bool:
        """Return whether routes are loaded and an agent is live."""
        if not self._routes.are_loaded:
            return False
        return self._agent_table.has_live(now)

    def routes_outdated(self, now: float) -> bool:
        """Return whether the configuration has been outdated for too long."""
        return self._routes.are_outdated(now)

    def agents_outdated(self, now: float) -> bool:
        """Return whether the agent list has been outdated for too long."""
        return self._agent_list.is_outdated(now)

    def evacuations_outdated(self, now: float) -> bool:
        """Return whether agents know of evacuations that the list lacks."""
        return self._evacuations.are_outdated(now)

    def learn_era(self, era: int, now: float, *, source: str) -> None:
        """Record an era of the store that a watch or an agent has told."""
        before = self._known_era.number
        if not self._known_era.observe(era, now):
            return
        self._journal.count('store-eras-begun')
        self._journal.log('BBF0761', era=era, era_before=before, source=source)

    def update_routes(
        self, routes: RoutingTable, *, now: float, peer: str = ''
    ) -> bool:
        """Activate routes if they are newer, and return whether they are.

        Those of a balancer (``peer``) count only before the store answers.
        """
        version_before = self._routes.version
        if not self._sources.routes.accepts(peer):
            return False
        if not self._routes.update(routes):
            return False
        self._sources.routes.record(peer)
        self._follower.renew_at_once(now)
        self._journal.log(
            'BBF0707',
            version=routes.version,
            version_before=version_before,
            routes=routes.size,
        )
        return True

    def set_routes_fresh(self, *, fresh: bool) -> None:
        """Set whether the watch of the configuration reaches the store."""
        self._routes.set_fresh(fresh=fresh)
        if fresh:
            self._sources.routes.record('')

    def update_agents(
        self,
        entries: Iterable[AgentEntry],
        now: float,
        *,
        position: StorePosition = NO_POSITION,
        as_of: StorePosition | None = None,
        next_read_seconds: float = 0,
        peer: str = '',
    ) -> None:
        """Replace the list of agents.

        The agent that was written last has the given ``position``. The list has
        all agents as of a position ``as_of``, None if unknown. Changes become
        known after ``next_read_seconds``. The list of a balancer (``peer``)
        counts only before the store answers. Agents that run though it lacks
        them are kept.
        """
        if not self._sources.agents.accepts(peer):
            return
        self._sources.agents.record(peer)
        self.learn_era(
            (as_of or position).era, now, source=self._sources.agents.name
        )
        self._agent_list.replace(
            position=position,
            as_of=as_of,
            now=now,
            next_read_seconds=next_read_seconds,
        )
        kept = self._unlisted.replace_listed(entries, now)
        self._apply_agents(now)
        for address in kept:
            self._journal.count('agents-found-unlisted')
            self._journal.log(
                'BBF0759',
                agent=address[0],
                as_of=None if as_of is None else as_of.revision,
            )
            self._follower.probe(self._agent_table.get(address), now)

    def update_evacuations(
        self,
        zones: frozenset[str],
        now: float,
        *,
        position: StorePosition,
        peer: str = '',
    ) -> None:
        """Replace the evacuated zones by those of a position of the store.

        Those of a balancer (``peer``) count only before the store answers.
        """
        source = self._sources.evacuations
        if not source.accepts(peer):
            return
        source.record(peer)
        self.learn_era(position.era, now, source=source.name)
        known = self._evacuations.position
        if position < known:
            self._journal.count('evacuations-outdated-list')
            self._journal.log(
                'BBF0762',
                era=position.era,
                era_known=known.era,
                revision=position.revision,
                revision_known=known.revision,
                source=source.name,
            )
        changed = self._evacuations.update_listed(zones, now, position=position)
        for zone in sorted(changed):
            self._log_evacuation(zone, source=source.name)
        if changed:
            self._apply_evacuations(now)

    def handle_packet(self, packet: Packet, now: float) -> None:
        """Assign, forward or refuse a client's packet."""
        self._detect_pause(now)
        if packet.opens:
            self._admission.handle_opening(packet, now)
            return
        self._admission.mark_established(packet)
        self._forwarder.forward(packet, now)

    @singledispatchmethod
    def handle_message(
        self, message: Message, address: Address, now: float
    ) -> None:
        """Handle a message from an agent."""
        self._journal.count('agents-unexpected-message')

    def tick(self, now: float) -> None:
        """Run the timers; call this about twenty times a second."""
        self._detect_pause(now)
        self._admission.tick(now)
        self._forwarder.tick(
            now, agents_complete_at=self._agents_complete_at(now)
        )
        for view in self._agent_table.followed:
            if view.detect_unreachable(now):
                self._journal.log(
                    'BBF0711',
                    agent=view.address[0],
                    report_age_ms=round(
                        view.report_age_seconds(now) * MS_PER_SECOND
                    ),
                )
        self._follower.tick(now)
        if self._unlisted.remove_silent(now):
            self._apply_agents(now)
        if now >= self._register_due:
            self._register_due = now + REGISTER_INTERVAL_SECONDS
            self._forwarder.register_owners(now)
        if now < self._sweep_due:
            return
        self._sweep_due = now + SWEEP_INTERVAL_SECONDS
        idle_seconds = self._routes.table.idle_seconds + IDLE_MARGIN_SECONDS
        self._flows.expire(now - idle_seconds)
        self._forwarder.expire(now)

    @handle_message.register
    def _handle_report(
        self, message: LoadReport, address: Address, now: float
    ) -> None:
        view = self._agent_table.find(address)
        if view is None:
            return
        load = message.load
        was_live = view.is_live(now)
        state_before = view.load.state if view.load else None
        if not self._agent_table.update_load(address, load, now):
            return
        self._follower.record_followers(address, message.followers)
        if not was_live or state_before != load.state:
            self._log_agent_state(view, was_live=was_live)
        self.learn_era(load.versions.era, now, source=address[0])
        self._routes.observe(load.versions.configuration, now)
        self._agent_list.observe(load.versions.agents, now)
        evacuation = load.versions.evacuation
        if self._evacuations.observe(load.zone, evacuation, now):
            self._log_evacuation(load.zone, source=address[0])
            self._apply_evacuations(now)
        self._admission.assign_queued(load.service, now)

    @handle_message.register
    def _handle_decline(
        self, message: Declined, address: Address, now: float
    ) -> None:
        self._agent_table.mark_heard(address, now)
        self._admission.handle_decline(message, address, now)

    @handle_message.register
    def _handle_returned_packet(
        self, message: ReturnedPacket, address: Address, now: float
    ) -> None:
        self._detect_pause(now)
        self._agent_table.mark_heard(address, now)
        complete_at = self._agents_complete_at(now)
        self._forwarder.handle_returned_packet(
            message, address, now, agents_complete_at=complete_at
        )

    @handle_message.register
    def _handle_not_found(
        self, message: FlowNotFound, address: Address, now: float
    ) -> None:
        self._detect_pause(now)
        self._agent_table.mark_heard(address, now)
        complete_at = self._agents_complete_at(now)
        self._forwarder.handle_not_found(
            message, address, now, agents_complete_at=complete_at
        )

    @handle_message.register
    def _handle_presumed_absent(
        self, message: FlowPresumedAbsent, address: Address, now: float
    ) -> None:
        self._detect_pause(now)
        self._agent_table.mark_heard(address, now)
        complete_at = self._agents_complete_at(now)
        self._forwarder.handle_presumed_absent(
            message, address, now, agents_complete_at=complete_at
        )

    @handle_message.register
    def _handle_uncertain(
        self, message: FlowUncertain, address: Address, now: float
    ) -> None:
        self._agent_table.mark_heard(address, now)
        self._forwarder.handle_uncertain(message, address)

    @handle_message.register
    def _handle_found(
        self, message: FlowFound, address: Address, now: float
    ) -> None:
        self._agent_table.mark_heard(address, now)
        self._forwarder.handle_found(message, address, now)

    @handle_message.register
    def _handle_owner(
        self, message: FlowOwner, address: Address, now: float
    ) -> None:
        self._detect_pause(now)
        self._agent_table.mark_heard(address, now)
        complete_at = self._agents_complete_at(now)
        self._forwarder.handle_owner(
            message, address, now, agents_complete_at=complete_at
        )

    def _agents_complete_at(self, now: float) -> float:
        """Return as of when all listed agents are known."""
        # A list from another balancer may lack the newest agents, and before
        # the first list no agent is known at all.
        if not self._sources.agents.is_store:
            return NEVER
        return self._agent_list.complete_at(now)

    def _apply_agents(self, now: float) -> None:
        position = self._agent_list.position
        change = self._follower.update_agents(
            self._unlisted.all_entries, now, position=position
        )
        if not change.added and not change.removed:
            return
        self._forwarder.update_homes()
        self._journal.log(
            'BBF0708',
            added=list(change.added),
            removed=list(change.removed),
            era=position.era,
            revision=position.revision,
        )
        self._admission.refuse_ineligible(now)

    def _apply_evacuations(self, now: float) -> None:
        # The agents that this balancer follows learn it within a tick.
        self._follower.renew_at_once(now)
        self._admission.refuse_ineligible(now)

    def _log_evacuation(self, zone: str, *, source: str) -> None:
        evacuation = self._evacuations.find(zone)
        self._journal.log(
            'BBF0746',
            zone=zone,
            evacuated=evacuation.evacuated,
            era=evacuation.position.era,
            revision=evacuation.position.revision,
            agents=sum(view.zone == zone for view in self._agent_table.views),
            source=source,
        )

    def _detect_pause(self, now: float) -> None:
        # Before the first run there was no pause.
        last_run_at = now if self._last_run_at is None else self._last_run_at
        paused = now - last_run_at
        self._last_run_at = now
        if paused < PAUSE_THRESHOLD_SECONDS:
            return
        self._agent_table.extend_report_deadlines(now)
        self._journal.log('BBF0741', paused_ms=round(paused * MS_PER_SECOND))

    def _log_agent_state(self, view: AgentView, *, was_live: bool) -> None:
        load = view.reported_load
        self._journal.log(
            'BBF0709',
            agent=view.address[0],
            was_live=was_live,
            service=load.service,
            state=load.state,
            sequence=load.sequence,
        )
