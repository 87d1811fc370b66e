"""Serve the readiness and the metrics of a process over HTTP."""

import json
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any

from bluebellfold.core import Endpoint
from bluebellfold.core.http_server import (
    HttpServer,
    ServerRequest,
    ServerResponse,
)
from bluebellfold.platform import ReadinessCall, decode_call
from bluebellfold.relay.collectors.journal import Journal
from bluebellfold.relay.collectors.metrics import CONTENT_TYPE, render_metrics

METRICS_PATH = '/metrics'


class StatusServer:
    """Serve the readiness check and the metrics of one process.

    The body of the readiness check is what ``state`` returns, as JSON.
    """

    __slots__ = ('_gauges', '_is_ready', '_journal', '_server', '_state')

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        journal: Journal,
        is_ready: Callable[[], Awaitable[bool]],
        gauges: Callable[[], Mapping[str, float]],
        state: Callable[[], Mapping[str, Any]] = dict,
    ) -> None:
        self._journal = journal
        self._is_ready = is_ready
        self._gauges = gauges
        self._state = state
        self._server = HttpServer(
            endpoint=endpoint, handle_request=self._handle_request
        )

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint that the server listens on."""
        return self._server.endpoint

    async def start(self) -> None:
        """Start to listen; raise OSError if the endpoint is not available."""
        await self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _handle_request(self, request: ServerRequest) -> ServerResponse:
        if request.target == METRICS_PATH:
            return self._serve_metrics()
        call = decode_call(request.method, request.target, b'')
        if not isinstance(call, ReadinessCall):
            return ServerResponse(status=HTTPStatus.NOT_FOUND)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if await self._is_ready():
            status = HTTPStatus.OK
        return ServerResponse(
            status=status, body=json.dumps(self._state()).encode()
        )

    def _serve_metrics(self) -> ServerResponse:
        body = render_metrics(
            tally=self._journal.tally,
            latencies=self._journal.latencies,
            gauges=self._gauges(),
        )
        return ServerResponse(
            status=HTTPStatus.OK, body=body, content_type=CONTENT_TYPE
        )
