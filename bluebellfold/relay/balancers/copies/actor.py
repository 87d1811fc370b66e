"""Hold copies of the store's state, serve them, and ask balancers for them."""

import asyncio
from collections.abc import Mapping
from functools import partial
from http import HTTPStatus
from random import Random

from bluebellfold.core import (
    NO_POSITION,
    Actor,
    Clock,
    Endpoint,
    Message,
    PlatformError,
    Registry,
    Reply,
    StorePosition,
)
from bluebellfold.core.http_client import ClientRequest, HttpClient
from bluebellfold.core.http_server import (
    HttpServer,
    ServerRequest,
    ServerResponse,
)
from bluebellfold.platform import Change
from bluebellfold.relay.balancers.copies.codec import (
    MAX_BODY_BYTES,
    UnusableCopyError,
    decode_copies,
    encode_copies,
    encode_object,
)
from bluebellfold.relay.balancers.copies.copy_record import KindCopy
from bluebellfold.relay.balancers.copies.held_copies import (
    KNOWN,
    HeldCopies,
    HeldCopy,
)
from bluebellfold.relay.balancers.copies.kinds import COPY_DECODERS
from bluebellfold.relay.balancers.copies.messages import (
    ServeCopies,
    TakeCopies,
)
from bluebellfold.relay.balancers.copies.query_plan import (
    QUERY_TIMEOUT_SECONDS,
    QueryPlan,
)
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.store import (
    ConfirmObjects,
    DisconnectObjects,
    ReportObjects,
)

COPIES_PATH = '/copies'
# A body of the greatest size takes as much memory as it has bytes while it is
# written; further balancers ask another seed.
MAX_CONNECTIONS = 4
# The other side gives up after QUERY_TIMEOUT_SECONDS.
CONNECTION_SECONDS = 1.0
MS_PER_SECOND = 1000


class CopyActor(Actor):
    """Own the copies, the server for balancers and the query to one of them.

    ``kinds`` are those that the process needs, each with a watch that reports
    to this actor. ``main_actor`` gets the updates that a copy contains.
    """

    reactions = Registry(name='reactions of the actor of copies')

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        seeds: tuple[str, ...],
        kinds: tuple[str, ...],
        main_actor: Actor,
        clock: Clock,
        journal: Journal,
    ) -> None:
        super().__init__(name='copies')
        self._kinds = kinds
        self._main_actor = main_actor
        self._clock = clock
        self._journal = journal
        self._copies = HeldCopies()
        self._problems: dict[str, str] = {}
        self._port = endpoint.port
        self._seeds = tuple(seed for seed in seeds if seed != endpoint.host)
        self._server = HttpServer(
            endpoint=endpoint,
            handle_request=self._handle_request,
            max_connections=MAX_CONNECTIONS,
            connection_seconds=CONNECTION_SECONDS,
        )

    def gauges(self) -> dict[str, float]:
        """Return the age of each copy by metric name."""
        now = self._clock.now()
        gauges: dict[str, float] = {}
        for kind in self._kinds:
            copy = self._copies.find(kind)
            if copy is not None:
                gauges[f'copy-age-seconds-{kind}'] = copy.age_seconds(now)
        return gauges

    async def open(self) -> None:
        """Start to serve, and to ask while the store hasn't answered."""
        # A port that is taken for a moment must not keep flows from being
        # served: the start of the server is retried.
        self.supervise(self._server.start, name='serve')
        if self._seeds:
            plan = QueryPlan(
                seeds=self._seeds, now=self._clock.now(), randomness=Random()
            )
            self.supervise(partial(self._ask_while_missing, plan), name='ask')

    async def close(self) -> None:
        """Stop to serve."""
        await super().close()
        self._server.close()

    @reactions.add(ReportObjects)
    def _hold_objects(self, message: ReportObjects) -> None:
        held = self._copies.find(message.kind)
        if message.is_complete:
            kept = {} if held is None else held.select(message.unreadable)
            self._replace_copy(message, kept)
            return
        # Changes that no list of the store preceded complete nothing.
        if held is not None and not held.peer:
            held.apply(_encode_changes(message.changes))

    def _replace_copy(
        self, message: ReportObjects, kept: dict[str, bytes]
    ) -> None:
        copy = HeldCopy(
            kind=message.kind,
            position=message.position,
            encoded=kept,
            confirmed_at=self._clock.now(),
        )
        copy.apply(_encode_changes(message.changes))
        replaced = self._copies.hold(copy)
        if replaced is not None and replaced.peer:
            self._journal.count('copies-replaced-by-store')
            self._journal.log(
                'BBF0755',
                kind=copy.kind,
                era=copy.position.era,
                era_before=replaced.position.era,
                revision=copy.position.revision,
                revision_before=replaced.position.revision,
                peer=replaced.peer,
            )

    @reactions.add(ConfirmObjects)
    def _confirm_objects(self, message: ConfirmObjects) -> None:
        held = self._copies.find(message.kind)
        if held is not None:
            held.confirm(
                position=message.position, confirmed_at=self._clock.now()
            )

    @reactions.add(DisconnectObjects)
    def _disconnect_objects(self, message: DisconnectObjects) -> None:
        held = self._copies.find(message.kind)
        if held is not None:
            held.disconnect(self._clock.now(), was_silent=message.was_silent)

    @reactions.add(ServeCopies)
    def _serve_copies(self, message: ServeCopies) -> None:
        now = self._clock.now()
        usable = self._copies.usable(now)
        message.reply.put(encode_copies(usable, now) if usable else None)

    @reactions.add(TakeCopies)
    def _take_copies(self, message: TakeCopies) -> None:
        missing = self._copies.missing(self._kinds)
        held = self._copies.positions(missing)
        try:
            # All kinds are decoded first: an odd body is rejected as a whole.
            decoded = [
                (copy, _decode_update(copy, message.peer, held))
                for copy in decode_copies(message.body, missing, held=held)
            ]
        except UnusableCopyError as error:
            self._reject(message.peer, error.problem)
            return
        self._problems.pop(message.peer, None)
        for copy, update in decoded:
            self._take_copy(copy, update, message)

    def _take_copy(
        self, copy: KindCopy, update: Message | None, message: TakeCopies
    ) -> None:
        now = self._clock.now()
        # The age grows by the whole time of the exchange.
        confirmed_at = message.asked_at - copy.age_seconds
        refusal = self._copies.check(
            copy.kind,
            position=copy.position,
            confirmed_at=confirmed_at,
            now=now,
        )
        if refusal is KNOWN:
            return
        if refusal is not None:
            self._reject(message.peer, f'{copy.kind}: {refusal.reason}')
            return
        if update is None:
            # It wasn't decoded, as it was held until another one took its
            # place. The next response is decoded.
            return
        # A copy counts as held once its update is accepted; otherwise it is
        # taken from the next response.
        self._main_actor.tell(update)
        self._copies.hold(
            HeldCopy(
                kind=copy.kind,
                position=copy.position,
                encoded=_encode_copy(copy),
                confirmed_at=confirmed_at,
                peer=message.peer,
            )
        )
        self._journal.count('copies-taken-from-peer')
        self._journal.log(
            'BBF0753',
            kind=copy.kind,
            peer=message.peer,
            era=copy.position.era,
            revision=copy.position.revision,
            objects=len(copy.stored_objects),
            age_ms=round((now - confirmed_at) * MS_PER_SECOND),
        )

    def _reject(self, peer: str, problem: str) -> None:
        self._journal.count('copies-rejected')
        # A seed is asked again and again; only a change is worth a line.
        if self._problems.get(peer) == problem:
            return
        self._problems[peer] = problem
        self._journal.log('BBF0754', peer=peer, problem=problem)

    async def _ask_while_missing(self, plan: QueryPlan) -> None:
        missing = self._copies.missing(self._kinds)
        while missing:
            now = self._clock.now()
            delay = plan.delay_seconds(
                now, has_copy=self._copies.covers(missing, now)
            )
            if delay:
                await asyncio.sleep(delay)
            else:
                await self._ask(plan.begin_query(now))
            missing = self._copies.missing(self._kinds)

    async def _ask(self, peer: str) -> None:
        client = HttpClient(endpoint=Endpoint(host=peer, port=self._port))
        asked_at = self._clock.now()
        self._journal.count('copies-asked')
        try:
            response = await client.send_request(
                ClientRequest(method='GET', target=COPIES_PATH),
                timeout_seconds=QUERY_TIMEOUT_SECONDS,
                max_body_bytes=MAX_BODY_BYTES,
            )
        except PlatformError as error:
            self._reject(peer, error.problem)
            return
        finally:
            # The server has few connections.
            client.close()
        if response.status != HTTPStatus.OK:
            self._reject(peer, f'it responded with {response.status}')
            return
        self.tell(TakeCopies(peer=peer, body=response.body, asked_at=asked_at))

    async def _handle_request(self, request: ServerRequest) -> ServerResponse:
        if request.method != 'GET' or request.target != COPIES_PATH:
            return ServerResponse(status=HTTPStatus.NOT_FOUND)
        reply = Reply()
        self.tell(ServeCopies(reply=reply))
        body = await reply.wait()
        if body is None:
            return ServerResponse(status=HTTPStatus.SERVICE_UNAVAILABLE)
        self._journal.count('copies-served')
        return ServerResponse(status=HTTPStatus.OK, body=body)


def _encode_changes(changes: tuple[Change, ...]) -> dict[str, bytes | None]:
    """Return the last state of each changed object, None if deleted."""
    latest = {change.stored.name: change for change in changes}
    return {
        name: None if change.deleted else encode_object(change.stored)
        for name, change in latest.items()
    }


def _encode_copy(copy: KindCopy) -> dict[str, bytes]:
    return {
        stored.name: encode_object(stored) for stored in copy.stored_objects
    }


def _decode_update(
    copy: KindCopy, peer: str, held: Mapping[str, StorePosition]
) -> Message | None:
    """Return the update of a copy, None if it isn't newer than the one held."""
    if copy.position <= held.get(copy.kind, NO_POSITION):
        return None
    return COPY_DECODERS.find(copy.kind)(copy, peer)
