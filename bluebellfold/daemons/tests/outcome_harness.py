"""Send requests through real processes, and record their outcomes."""

import asyncio
import json
from contextlib import contextmanager

from bluebellfold.core import Record, read_only
from bluebellfold.daemons.tests.site_harness import (
    open_site_harness,
    start_site,
)
from bluebellfold.standins.control_requests import send_upstream_request
from bluebellfold.standins.quic_client import FlowBrokenError

ANSWERED = 'answered'
BROKEN = 'broken'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
STEP_SECONDS = 20.0


class RequestResult(Record):
    """Hold the outcome of a request as reported to the client."""

    __slots__ = ('_body', '_outcome', '_reason')

    body: bytes = read_only('_body')
    outcome: str = read_only('_outcome')
    reason: str = read_only('_reason')

    def __init__(self, *, outcome, reason='', body=b''):
        self._outcome = outcome
        self._reason = reason
        self._body = body


class OutcomeHarness:
    """Send requests, and record the result of each by its id."""

    def __init__(self, site):
        self.site = site
        self.results = {}
        self.bodies = {}

    def run(self, step):
        return self.site.run(asyncio.wait_for(step, STEP_SECONDS))

    def start(
        self,
        *,
        repeatable_batches=False,
        batch_queue_seconds=None,
        **upstreams,
    ):
        if repeatable_batches:
            self._change_batch('repeatable = no', 'repeatable = yes')
        if batch_queue_seconds is not None:
            limit = f'queue_seconds = {batch_queue_seconds}'
            self._change_batch('holds = slot', f'holds = slot\n{limit}')
        # Each process and the list of agents have a time limit of their own.
        self.site.run(start_site(self.site, **upstreams))

    async def open_flow(self, kind, *balancers, seed=1):
        flow = self.site.fleet_harness.flow(kind, *balancers, seed=seed)
        await flow.connect()
        return flow

    async def send(self, flow, request_id, path, body=b'x', fields=()):
        self.bodies[request_id] = body
        self.results[request_id] = await self._result_of(
            flow.request(
                'POST',
                path,
                fields=(('request-id', request_id), *fields),
                body=body,
            ),
        )
        return self.results[request_id]

    async def set_upstream_faults(self, name, **faults):
        await send_upstream_request(
            self.site.fleet,
            name,
            '/faults',
            method='PUT',
            body=json.dumps(faults).encode(),
        )

    async def wait_for_step(self, name, request_id, step):
        record = {}
        while not record.get(request_id, {}).get(step):
            record = await self.site.fleet_harness.run_counts(name)

    async def step_counts(self, *upstreams):
        """Return how often each request reached each step, in total."""
        records = await asyncio.gather(
            *map(self.site.fleet_harness.run_counts, upstreams)
        )
        step_counts = {request_id: {} for request_id in self.results}
        for record in records:
            for request_id, steps in record.items():
                count = step_counts.setdefault(request_id, {})
                for step, times in steps.items():
                    count[step] = count.get(step, 0) + times
        return step_counts

    def _change_batch(self, old, new):
        overlay = self.site.fleet.overlay
        before, batch, after = overlay.read_text().partition('[[batch]]')
        assert old in after
        overlay.write_text(''.join((before, batch, after.replace(old, new))))

    async def _result_of(self, pending_response):
        try:
            response = await pending_response
        except FlowBrokenError:
            return RequestResult(outcome=BROKEN)
        return RequestResult(
            outcome=response.field('bluebellfold-outcome') or ANSWERED,
            reason=response.field('bluebellfold-reason'),
            body=response.body,
        )


@contextmanager
def open_outcome_harness(directory):
    with open_site_harness(directory) as site:
        yield OutcomeHarness(site)
