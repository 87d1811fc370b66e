"""Test the status of the relay against fake processes on loopback."""

import asyncio
import json
import socket
import time
from contextlib import AsyncExitStack, asynccontextmanager

from bluebellfold.core import Endpoint, ManualClock
from bluebellfold.core.http_server import HttpServer, ServerResponse
from bluebellfold.operators.command import run_command
from bluebellfold.relay.collectors import StatusServer
from bluebellfold.relay.operators import metrics_client
from bluebellfold.relay.tests.harness import journal_of

ANY_PORT = Endpoint(host='127.0.0.1', port=0)
BALANCER = {'configuration-version': 17, 'agents-listed': 3, 'flows': 5}
AGENT = {
    'balancers': 2,
    'newest-configuration-version': 17,
    'store-era': 3,
    'flows': 4,
}


async def always_ready():
    return True


class SilentServer:
    """Accept connections, and never respond."""

    async def start(self):
        self._socket = socket.create_server((ANY_PORT.host, ANY_PORT.port))

    @property
    def endpoint(self):
        host, port = self._socket.getsockname()
        return Endpoint(host=host, port=port)

    def close(self):
        self._socket.close()


@asynccontextmanager
async def serving(server):
    await server.start()
    try:
        yield str(server.endpoint)
    finally:
        server.close()


def process(gauges):
    return serving(
        StatusServer(
            endpoint=ANY_PORT,
            journal=journal_of(ManualClock()),
            is_ready=always_ready,
            gauges=lambda: gauges,
        )
    )


def show_status(*all_gauges, arguments=(), others=()):
    """Run the command on processes with these gauges, and on others."""

    async def scenario():
        async with AsyncExitStack() as stack:
            contexts = [*map(process, all_gauges), *map(serving, others)]
            endpoints = await asyncio.gather(
                *map(stack.enter_async_context, contexts)
            )
            command = ['relay', 'status', *endpoints, *arguments]
            return await asyncio.to_thread(run_command, command), endpoints

    return asyncio.run(scenario())


def test_processes_of_both_roles_that_agree_are_shown(capsys):
    code, endpoints = show_status(BALANCER, AGENT)
    assert code == 0
    shown = capsys.readouterr()
    rows = [line.split() for line in shown.out.splitlines()]
    assert [endpoints[0], '17', '3'] in [row[:3] for row in rows]
    assert [endpoints[1], '17', '-', '2', '-', '3', '4', '-', '-'] in rows
    assert rows[-1] == '2 answered, 0 flagged, 0 silent'.split()
    assert not shown.err


def test_balancer_with_another_list_is_flagged_and_last(capsys):
    late = {**BALANCER, 'agents-listed': 2}
    code, endpoints = show_status(late, BALANCER, BALANCER)
    assert code == 1
    rows = capsys.readouterr().out.splitlines()
    assert rows[3].startswith(endpoints[0])
    assert rows[3].endswith('agents_listed differs')
    assert '2 of 3 balancers: agents_listed 3' in rows


def test_only_flagged_processes_are_shown_as_json(capsys):
    late = {**BALANCER, 'configuration-version': 16}
    code, endpoints = show_status(
        BALANCER, late, BALANCER, arguments=('--json', '--flagged')
    )
    assert code == 1
    line = json.loads(capsys.readouterr().out)
    assert line['process'] == endpoints[1]
    assert line['remarks'] == ['configuration_version differs']
    assert line['state']['configuration_version'] == 16


def test_process_that_does_not_answer_leaves_the_others_shown(
    capsys, monkeypatch
):
    monkeypatch.setattr(metrics_client, 'FETCH_TIMEOUT_SECONDS', 0.5)

    async def unavailable(_):
        return ServerResponse(status=404)

    async def endless(_):
        body = bytes(metrics_client.MAX_PAGE_BYTES + 1)
        return ServerResponse(status=200, body=body)

    others = [
        HttpServer(endpoint=ANY_PORT, handle_request=handle)
        for handle in (unavailable, endless)
    ]
    code, endpoints = show_status(BALANCER, others=[SilentServer(), *others])
    assert code == 1
    shown = capsys.readouterr()
    assert '1 answered, 0 flagged, 3 silent' in shown.out
    lines = shown.err.splitlines()
    assert endpoints[1] in lines[0]
    assert 'responded with 404' in lines[1]
    assert 'more than' in lines[2]


def test_silent_processes_are_waited_for_together(capsys, monkeypatch):
    # Guards against a timeout for one after the other.
    timeout = 0.5
    monkeypatch.setattr(metrics_client, 'FETCH_TIMEOUT_SECONDS', timeout)
    others = [SilentServer() for _ in range(100)]
    begun = time.monotonic()
    code, _ = show_status(BALANCER, others=others)
    assert code == 1
    assert '1 answered, 0 flagged, 100 silent' in capsys.readouterr().out
    assert time.monotonic() - begun < 100 * timeout / 4


def test_addresses_are_read_from_files(tmp_path, capsys):
    path = tmp_path / 'processes'
    path.write_text('# entry VMs\n127.0.0.1:1 # b-1\n\n127.0.0.1:2\n')
    arguments = ['relay', 'status', str(path), '127.0.0.1:1']
    assert run_command(arguments) == 1
    assert '0 answered, 0 flagged, 2 silent' in capsys.readouterr().out


def test_invalid_address_or_file_is_an_error_with_a_remedy(tmp_path, capsys):
    path = tmp_path / 'processes'
    path.write_text('balancer-1\n')
    for text in (str(path), str(tmp_path / 'none'), str(tmp_path), 'x:9464'):
        assert run_command(['relay', 'status', text]) == 2
        assert 'remedy' in capsys.readouterr().err


def test_flag_before_the_addresses_is_refused(capsys):
    # fire would take the address for the value of the flag.
    command = ['relay', 'status', '--json', '127.0.0.1:1', '127.0.0.1:2']
    assert run_command(command) == 2
    assert 'give flags last' in capsys.readouterr().err


def test_role_without_settings_starts_nothing(tmp_path, capsys):
    assert run_command(['relay', 'client', 'settings.ini']) == 2
    assert run_command(['relay', 'agent', str(tmp_path / 'none.ini')]) == 2
    assert 'none.ini' in capsys.readouterr().err
