"""Pass swap calls from peers to the exchange task as messages."""

from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bluebellfold.balancers.control_grpc import ExchangeBase
from bluebellfold.balancers.messages import HandleSwap
from bluebellfold.balancers.swap_codec import decode_request, encode_response
from bluebellfold.balancers.swaps import SwapRequest, SwapResponse
from bluebellfold.core import Actor, InboxFullError, Reply

RESPONSE_TIMEOUT_SECONDS = 1.0
BUSY_MESSAGE = 'no answer in time; remedy: add a process of this role'


class ExchangeService(ExchangeBase):
    """Serve the exchange calls of one site."""

    def __init__(self, *, task: Actor, site: str) -> None:
        self._task = task
        self._site = site

    async def Swap(self, stream: Any) -> None:  # noqa: N802
        """Handle a swap; raise GRPCError if it is for another site."""
        received = await stream.recv_message()
        if received is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'the request is missing')
        if received.site != self._site:
            raise GRPCError(
                Status.FAILED_PRECONDITION,
                f'this process serves the site {self._site}; '
                'remedy: correct the seeds in the settings',
            )
        response = await self._request_response(decode_request(received))
        await stream.send_message(encode_response(response))

    async def _request_response(self, request: SwapRequest) -> SwapResponse:
        reply = Reply()
        try:
            self._task.tell(HandleSwap(request=request, reply=reply))
        except InboxFullError as error:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, str(error)) from None
        try:
            return await reply.wait(timeout=RESPONSE_TIMEOUT_SECONDS)
        except TimeoutError:
            raise GRPCError(Status.UNAVAILABLE, BUSY_MESSAGE) from None
