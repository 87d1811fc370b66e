"""Translate control calls into messages to an actor."""

from collections.abc import Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bluebellfold.core import Actor, InboxFullError, Message, Reply
from bluebellfold.operators.codec import encode_report
from bluebellfold.operators.control_grpc import ControlBase
from bluebellfold.operators.messages import Drain, GetStatus

NO_REPLY = 'the process is too busy to answer; ask again'


class ControlService(ControlBase):
    """Send GetStatus and Drain to one actor and return its reports."""

    def __init__(self, *, actor: Actor) -> None:
        self._actor = actor

    async def Status(self, stream: Any) -> None:  # noqa: N802
        """Return the actor's status report."""
        await stream.recv_message()
        await self._respond(stream, lambda reply: GetStatus(reply=reply))

    async def Drain(self, stream: Any) -> None:  # noqa: N802
        """Start a graceful stop and return the actor's status report."""
        request = await stream.recv_message()
        deadline_seconds = request.deadline_seconds
        await self._respond(
            stream,
            lambda reply: Drain(
                deadline_seconds=deadline_seconds,
                reply=reply,
            ),
        )

    async def _respond(
        self,
        stream: Any,
        make_message: Callable[[Reply], Message],
    ) -> None:
        reply = Reply()
        try:
            self._actor.tell(make_message(reply))
        except InboxFullError as error:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, str(error)) from None
        try:
            report = await reply.wait()
        except TimeoutError:
            raise GRPCError(Status.DEADLINE_EXCEEDED, NO_REPLY) from None
        await stream.send_message(encode_report(report))
