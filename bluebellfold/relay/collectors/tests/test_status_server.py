"""Test the readiness check of a process."""

import asyncio
import json

from bluebellfold.core import Endpoint, ManualClock
from bluebellfold.core.http_client import ClientRequest, HttpClient
from bluebellfold.relay.collectors import StatusServer
from bluebellfold.relay.tests.harness import journal_of

STATE = {'version': 3, 'routes_source': '10.0.0.2'}


async def always_ready():
    return True


# Guards against a balancer whose state is a copy without showing it.
def test_readiness_check_shows_the_state_and_its_source():
    async def scenario():
        server = StatusServer(
            endpoint=Endpoint(host='127.0.0.1', port=0),
            journal=journal_of(ManualClock()),
            is_ready=always_ready,
            gauges=dict,
            state=lambda: STATE,
        )
        await server.start()
        client = HttpClient(endpoint=server.endpoint)
        response = await client.send_request(
            ClientRequest(method='GET', target='/bluebellfold/ready'),
            timeout_seconds=2,
        )
        client.close()
        server.close()
        return response

    response = asyncio.run(scenario())
    assert response.status == 200
    assert json.loads(response.body) == STATE
