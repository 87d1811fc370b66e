"""Send control requests to stand-ins: read records and set faults."""

import h11

from bluebellfold.core import Endpoint
from bluebellfold.core.http import HttpConnection
from bluebellfold.standins.child import Child
from bluebellfold.standins.fleet import UPSTREAM_PORT, Fleet


async def send_control_request(
    child: Child,
    port: int,
    path: str,
    *,
    method: str = 'GET',
    body: bytes = b'',
) -> bytes:
    """Send a control request to a stand-in and return the response body."""
    connection = HttpConnection(endpoint=Endpoint(host=child.host, port=port))
    await connection.connect()
    head = [('host', child.host), ('content-length', str(len(body)))]
    await connection.send(
        h11.Request(method=method, target=path, headers=head),
    )
    if body:
        await connection.send(h11.Data(data=body))
    await connection.send(h11.EndOfMessage())
    response_body = await _read_body(connection)
    connection.close()
    return response_body


async def _read_body(connection: HttpConnection) -> bytes:
    parts = []
    event = await connection.receive()
    while not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        event = await connection.receive()
    return b''.join(parts)


async def send_upstream_request(
    fleet: Fleet,
    name: str,
    path: str,
    *,
    method: str = 'GET',
    body: bytes = b'',
) -> bytes:
    """Send a control request to an upstream and return the response body."""
    return await send_control_request(
        fleet.child(name),
        UPSTREAM_PORT,
        path,
        method=method,
        body=body,
    )
