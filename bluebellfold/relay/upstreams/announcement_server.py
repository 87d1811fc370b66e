"""Serve the HTTP calls by which an upstream announces itself."""

from http import HTTPStatus

from bluebellfold.core import Actor, Endpoint, Reply
from bluebellfold.core.http_server import (
    HttpServer,
    ServerRequest,
    ServerResponse,
)
from bluebellfold.platform import AnnounceCall, DeregisterCall, decode_call
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.messages import (
    ApplyAnnouncement,
    ApplyDeregistration,
)

# An upstream waits 1 s for the acknowledgement.
APPLY_TIMEOUT_SECONDS = 0.8


class AnnouncementServer:
    """Serve announcements, and pass them to the upstream actor."""

    __slots__ = ('_actor', '_journal', '_server')

    def __init__(
        self, *, endpoint: Endpoint, actor: Actor, journal: Journal
    ) -> None:
        self._actor = actor
        self._journal = journal
        self._server = HttpServer(
            endpoint=endpoint, handle_request=self._handle_call
        )

    async def start(self) -> None:
        """Start to listen; raise OSError if the address is unusable."""
        await self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _handle_call(self, request: ServerRequest) -> ServerResponse:
        call = decode_call(request.method, request.target, request.body)
        reply = Reply()
        if isinstance(call, AnnounceCall):
            self._actor.tell(
                ApplyAnnouncement(announcement=call.announcement, reply=reply),
            )
        elif isinstance(call, DeregisterCall):
            self._actor.tell(ApplyDeregistration(name=call.name, reply=reply))
        else:
            return self._reject(call)
        try:
            applied = await reply.wait(timeout=APPLY_TIMEOUT_SECONDS)
        except TimeoutError:
            self._journal.count('announcements-not-taken')
            return ServerResponse(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if not applied:
            # A success would tell the sender that its state is in force.
            return ServerResponse(status=HTTPStatus.CONFLICT)
        return ServerResponse(status=HTTPStatus.OK)

    def _reject(self, call: object) -> ServerResponse:
        reason = getattr(call, 'name', 'unknown-call')
        self._journal.count('announcements-refused')
        self._journal.log('BBF0729', reason=reason)
        return ServerResponse(status=HTTPStatus.BAD_REQUEST)
