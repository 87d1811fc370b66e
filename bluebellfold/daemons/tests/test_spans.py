"""Test that the spans of a flow share one trace across processes."""

import asyncio
import json

from bluebellfold.standins.fleet import Fleet
from bluebellfold.standins.quic_client import ClientFlow


def read_spans(directory, process):
    lines = (directory / f'{process}.traces.jsonl').read_text().splitlines()
    return [json.loads(line) for line in lines]


async def run_traced_order(fleet):
    overlay = fleet.overlay
    traced = f'\n[collectors]\ntraces = file\ndirectory = {fleet.directory}\n'
    overlay.write_text(overlay.read_text() + traced)
    await fleet.start_platform()
    balancer = await fleet.start_balancer(0)
    await fleet.start_service('counter', 1)
    flow = ClientFlow(balancers=fleet.addresses('order')[:1], seed=1)
    # The first flight is retransmitted until the balancer knows the agent.
    await flow.connect()
    response = await flow.request('POST', '/order', body=b'chevre')
    flow.close()
    agent = fleet.child('agent-counter-1')
    agent.terminate()
    balancer.terminate()
    assert await asyncio.gather(agent.wait(), balancer.wait()) == [0, 0]
    return response


def test_balancer_agent_and_request_share_a_trace(tmp_path):
    async def scenario():
        fleet = Fleet(directory=tmp_path, site='marrinup')
        try:
            return await run_traced_order(fleet)
        finally:
            await fleet.stop()

    assert asyncio.run(scenario()).status == 200
    balancer = read_spans(tmp_path, 'balancer-1')
    agent = read_spans(tmp_path, 'agent-counter-1')
    assert {span['name'] for span in balancer} == {'balancer.first_flight'}
    assert {span['name'] for span in agent} == {'agent.flow', 'agent.request'}
    traces = {span['context']['trace_id'] for span in (*balancer, *agent)}
    assert len(traces) == 1
