"""Call the control service of balancers and agents."""

import asyncio
from collections.abc import Iterable

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from bluebellfold.core import Endpoint, Sentinel
from bluebellfold.operators.codec import decode_report
from bluebellfold.operators.control_grpc import ControlStub
from bluebellfold.operators.control_pb2 import DrainRequest, StatusRequest
from bluebellfold.operators.messages import StatusReport

CALL_TIMEOUT_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.5
# Limits the load that an operator's command puts on a site.
MAX_CONCURRENT_CALLS = 32

UNREACHABLE = Sentinel(
    name='unreachable',
    reason='the process did not reply to the control call',
)
CALL_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


async def fetch_status(endpoint: Endpoint) -> StatusReport | Sentinel:
    """Return the report of one process, or UNREACHABLE."""
    channel = Channel(endpoint.host, endpoint.port)
    try:
        response = await ControlStub(channel).Status(
            StatusRequest(),
            timeout=CALL_TIMEOUT_SECONDS,
        )
    except CALL_ERRORS:
        return UNREACHABLE
    finally:
        channel.close()
    return decode_report(response)


async def request_drain(
    endpoint: Endpoint,
    deadline_seconds: float,
) -> StatusReport | Sentinel:
    """Start a graceful stop and return the report, or UNREACHABLE.

    The stop may have started even when UNREACHABLE is returned. Drain is
    idempotent, so the call can be repeated.
    """
    channel = Channel(endpoint.host, endpoint.port)
    try:
        response = await ControlStub(channel).Drain(
            DrainRequest(deadline_seconds=deadline_seconds),
            timeout=CALL_TIMEOUT_SECONDS,
        )
    except CALL_ERRORS:
        return UNREACHABLE
    finally:
        channel.close()
    return decode_report(response)


async def wait_until_unreachable(endpoint: Endpoint) -> None:
    """Return once the process no longer replies to status calls."""
    while await fetch_status(endpoint):
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def fetch_all_statuses(
    endpoints: Iterable[Endpoint],
) -> tuple[StatusReport | Sentinel, ...]:
    """Return the result of fetch_status for each endpoint, in order."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    calls = [_fetch_limited(endpoint, limit) for endpoint in endpoints]
    return tuple(await asyncio.gather(*calls))


async def _fetch_limited(
    endpoint: Endpoint,
    limit: asyncio.Semaphore,
) -> StatusReport | Sentinel:
    async with limit:
        return await fetch_status(endpoint)
