"""Run a fake process that serves control calls."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from grpclib.server import Server

from bluebellfold.core import (
    DRAINING,
    SERVING,
    Actor,
    Count,
    Endpoint,
    Member,
    Registry,
    Stop,
)
from bluebellfold.operators import (
    ControlService,
    Drain,
    GetStatus,
    StatusReport,
)


def member_at(endpoint: Endpoint, *, name: str, sequence: int = 1) -> Member:
    return Member(
        name=name,
        service=1,
        zone='wa-south-a',
        endpoint=Endpoint(host=endpoint.host, port=9000),
        control_port=endpoint.port,
        weight=1.5,
        state=SERVING,
        incarnation=2,
        sequence=sequence,
    )


def make_report(name: str, **fields) -> StatusReport:
    defaults = {
        'role': 'balancer',
        'zone': 'wa-south-a',
        'state': SERVING,
        'version': 4,
        'flows': 12,
        'requests': (Count(name='order/answered', times=3),),
        'drops': (Count(name='forged-token', times=2),),
    }
    return StatusReport(name=name, **{**defaults, **fields})


class FakeProcess(Actor):
    reactions = Registry(name='reactions of a fake process')

    def __init__(self, report: StatusReport) -> None:
        super().__init__(name=report.name)
        self.report = report
        self.deadlines = []
        self.stops_on_drain = False

    @reactions.add(GetStatus)
    def _status(self, message: GetStatus) -> None:
        message.reply.put(self.report)

    @reactions.add(Drain)
    def _drain(self, message: Drain) -> None:
        self.deadlines.append(message.deadline_seconds)
        self.report = self.report.replace(state=DRAINING)
        message.reply.put(self.report)
        if self.stops_on_drain:
            self.tell(Stop())


@asynccontextmanager
async def run_control_server(process: FakeProcess) -> AsyncIterator[Endpoint]:
    server = Server([ControlService(actor=process)])
    await server.start('127.0.0.1', 0)
    port = server._server.sockets[0].getsockname()[1]
    running = asyncio.ensure_future(process.run())
    running.add_done_callback(lambda _: server.close())
    yield Endpoint(host='127.0.0.1', port=port)
    process.tell(Stop())
    await running
    await server.wait_closed()
