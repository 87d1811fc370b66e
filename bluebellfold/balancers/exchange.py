"""Own the member table and newest configuration, and gossip both."""

import asyncio
import logging
from collections.abc import Iterable
from random import Random
from typing import Any

from bluebellfold.balancers.calls import SwapCalls
from bluebellfold.balancers.followers import Subscriptions
from bluebellfold.balancers.messages import (
    Announce,
    ConfigurationReceived,
    GetMembers,
    HandleSwap,
    MembersChanged,
    MergeMembers,
    NewsDue,
    PublishConfiguration,
    PushDue,
    Subscribe,
    SwapDue,
    SwapEnded,
)
from bluebellfold.balancers.peers import PeerSelector
from bluebellfold.balancers.replica import Replica
from bluebellfold.balancers.rows import MemberRow
from bluebellfold.balancers.timers import Timers
from bluebellfold.core import (
    Actor,
    Clock,
    Configuration,
    Endpoint,
    Member,
    Message,
    Process,
    Registry,
    Site,
)

FAN_OUT = 3
PUSH_INTERVAL_SECONDS = 0.1
MIN_SWAP_INTERVAL_SECONDS = 1.0
MAX_SWAP_INTERVAL_SECONDS = 2.0
# Limit on consecutive follow-up requests that bring no new row: a comparison
# that only sends rows needs four. It also ends a swap with a peer that cannot
# merge the rows.
SWAP_FOLLOW_UPS = 4
# A peer may request a missing configuration after a push.
PUSH_FOLLOW_UPS = 1

_log = logging.getLogger(__name__)


class ExchangeTask(Actor):
    """Store members and the configuration, and exchange them with peers.

    The site's balancers are the seeds. Subscribers receive MembersChanged;
    the configuration sink receives ConfigurationReceived.
    """

    reactions: Registry[type[Message], Any] = Registry(
        name='reactions of the exchange',
    )

    def __init__(
        self,
        *,
        site: Site,
        process: Process,
        rng: Random,
        clock: Clock,
        subscribers: Iterable[Actor] = (),
        configuration_sink: Actor | None = None,
    ) -> None:
        super().__init__(name='exchange')
        self._rng = rng
        self._clock = clock
        self._peers = PeerSelector(
            own=process.control_endpoint,
            seeds=site.balancers,
            zone=process.zone,
            service=_service_number(site, process),
        )
        self._replica = Replica(peers=self._peers, rng=rng, now=clock.now())
        self._calls = SwapCalls(actor=self, site=site.name, rng=rng)
        self._timers = Timers(actor=self)
        self._subscriptions = Subscriptions()
        for subscriber in subscribers:
            self._subscriptions.add(MembersChanged, subscriber)
        if configuration_sink is not None:
            self._subscriptions.add(ConfigurationReceived, configuration_sink)

    async def open(self) -> None:
        """Compare the table with a peer's now, and periodically afterwards."""
        self._timers.start(0, SwapDue())

    async def close(self) -> None:
        """Cancel the calls and close the connections."""
        children = tuple(self._children)
        await super().close()
        await asyncio.gather(*children, return_exceptions=True)
        self._calls.close()

    @reactions.add(Announce)
    def _announce(self, message: Announce) -> None:
        now = self._clock.now()
        self._schedule_updates(self._replica.announce(message.member, now=now))
        peers = self._peers.announcement_targets
        if not peers:
            peers = self._peers.available(now=now)[:FAN_OUT]
        request = self._replica.build_row_push((message.member.name,), now=now)
        self._calls.start(
            peers,
            request,
            follow_ups_left=PUSH_FOLLOW_UPS,
            reply=message.reply,
        )

    @reactions.add(MergeMembers)
    def _merge_members(self, message: MergeMembers) -> None:
        rows = tuple(MemberRow(member=member) for member in message.members)
        self._schedule_updates(self._replica.merge(rows, now=self._clock.now()))

    @reactions.add(GetMembers)
    def _get_members(self, message: GetMembers) -> None:
        message.reply.put(self._replica.members())

    @reactions.add(Subscribe)
    def _subscribe(self, message: Subscribe) -> None:
        initial = Subscriptions()
        initial.add(message.message_type, message.subscriber)
        members = self._replica.members()
        initial.record_changes(members)
        initial.notify_members(members, now=self._clock.now())
        if self._replica.configuration is not None:
            initial.notify_configuration(self._replica.configuration)
        self._subscriptions.add(message.message_type, message.subscriber)

    @reactions.add(PublishConfiguration)
    def _publish_configuration(self, message: PublishConfiguration) -> None:
        if self._replica.update_configuration(message.configuration):
            self._timers.start(0, PushDue())
            return
        known = self._replica.configuration
        if known is not None and known.version > message.configuration.version:
            self._subscriptions.notify_configuration(known)

    @reactions.add(HandleSwap)
    def _handle_swap(self, message: HandleSwap) -> None:
        now = self._clock.now()
        request = message.request
        self._schedule_updates(self._replica.merge(request.rows, now=now))
        self._update_configuration(request.configuration)
        message.reply.put(self._replica.respond(request, now=now))

    @reactions.add(SwapEnded)
    def _finish_swap(self, message: SwapEnded) -> None:
        now = self._clock.now()
        peer = message.peer
        response = message.response
        self._calls.mark_idle(peer)
        if not response:
            if self._peers.record_failure(
                peer, jitter=self._rng.random(), now=now
            ):
                _log_unreachable(peer)
            if message.follow_ups_left == SWAP_FOLLOW_UPS:
                self._start_comparison()
            return
        self._peers.record_success(peer)
        changed = self._replica.merge(response.rows, now=now)
        self._schedule_updates(changed)
        self._update_configuration(response.configuration)
        request = self._replica.continue_comparison(response, now=now)
        follow_ups_left = (
            SWAP_FOLLOW_UPS if changed else message.follow_ups_left - 1
        )
        if request and follow_ups_left >= 0:
            self._calls.start((peer,), request, follow_ups_left=follow_ups_left)

    @reactions.add(PushDue)
    def _push(self, _: PushDue) -> None:
        now = self._clock.now()
        peers = self._calls.choose(self._peers.available(now=now), FAN_OUT)
        if not peers:
            return
        request = self._replica.build_push(peer_count=len(peers), now=now)
        if request:
            self._calls.start(peers, request, follow_ups_left=PUSH_FOLLOW_UPS)
        if self._replica.has_pending_push:
            self._timers.start(PUSH_INTERVAL_SECONDS, PushDue())

    @reactions.add(SwapDue)
    def _compare_periodically(self, _: SwapDue) -> None:
        interval = self._rng.uniform(
            MIN_SWAP_INTERVAL_SECONDS, MAX_SWAP_INTERVAL_SECONDS
        )
        self._timers.start(interval, SwapDue())
        now = self._clock.now()
        self._calls.retain_connections(self._peers.available(now=now))
        self._start_comparison()
        if self._replica.has_pending_push:
            self._timers.start(0, PushDue())

    @reactions.add(NewsDue)
    def _notify_members(self, _: NewsDue) -> None:
        members = self._replica.members()
        self._subscriptions.notify_members(members, now=self._clock.now())

    def _start_comparison(self) -> None:
        now = self._clock.now()
        peers = self._calls.choose(self._peers.available(now=now), 1)
        request = self._replica.begin_comparison(now=now)
        self._calls.start(peers, request, follow_ups_left=SWAP_FOLLOW_UPS)

    def _schedule_updates(self, changed: tuple[Member, ...]) -> None:
        if not changed:
            return
        self._subscriptions.record_changes(changed)
        delay = self._subscriptions.delay(now=self._clock.now())
        self._timers.start(delay, NewsDue())
        self._timers.start(0, PushDue())

    def _update_configuration(
        self, configuration: Configuration | None
    ) -> None:
        if self._replica.update_configuration(configuration):
            self._subscriptions.notify_configuration(configuration)
            self._timers.start(0, PushDue())


def _log_unreachable(peer: Endpoint) -> None:
    _log.info(
        'peer unreachable',
        extra={'event': 'BBF0202', 'peer': str(peer)},
    )


def _service_number(site: Site, process: Process) -> int | None:
    if not process.service:
        return None
    return site.service_named(process.service).number
