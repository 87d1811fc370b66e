"""Test the command line against fake processes and the stand-in platform."""

import asyncio
import json
import sys
import types
from contextlib import asynccontextmanager

import pytest

from bluebellfold.operators import process_commands
from bluebellfold.operators.command import run_command
from bluebellfold.operators.tests.fakes import (
    FakeProcess,
    make_report,
    member_at,
    run_control_server,
)
from bluebellfold.operators.tests.test_settings import AGENT, BASE, OVERLAY
from bluebellfold.standins.certificates import write_certificate
from bluebellfold.standins.object_api import PlatformStandin

BALANCERS = '127.0.0.11:8410, 127.0.0.12:8410, 127.0.0.13:8410'


class SiteHarness:
    """Run commands on a site whose overlay has the test's endpoints."""

    def __init__(self, directory, platform, *balancers):
        self.overlay = directory / 'site.ini'
        listed = ', '.join(str(endpoint) for endpoint in balancers)
        text = OVERLAY.read_text().replace('127.0.0.1:8400', str(platform))
        self.overlay.write_text(
            text.replace(BALANCERS, f'{listed},') if listed else text,
        )

    async def run(self, *arguments):
        files = ('--base', str(BASE), '--site', str(self.overlay))
        return await asyncio.to_thread(run_command, [*arguments, *files])

    def replace_in_overlay(self, old, new):
        self.overlay.write_text(self.overlay.read_text().replace(old, new))


@asynccontextmanager
async def run_platform():
    standin = PlatformStandin()
    await standin.start()
    yield standin
    await standin.stop()


def test_config_check_of_invalid_settings_exits_2(tmp_path, capsys):
    harness = SiteHarness(tmp_path, '127.0.0.1:1')
    assert asyncio.run(harness.run('config', 'check')) == 0
    harness.replace_in_overlay('region', 'regoin')
    assert asyncio.run(harness.run('config', 'check')) == 2
    assert 'remedy: remove it' in capsys.readouterr().err


def test_config_apply_diff_and_history(tmp_path, capsys):
    async def work():
        async with run_platform() as standin:
            harness = SiteHarness(tmp_path, standin.endpoint)
            codes = [
                await harness.run('config', 'apply', '--operation', '1e5'),
                await harness.run('config', 'apply'),
            ]
            harness.replace_in_overlay('upstreams = 7', 'upstreams = 8')
            codes.append(await harness.run('config', 'diff'))
            codes.append(await harness.run('config', 'apply', '--version=1'))
            codes.append(await harness.run('config', 'history'))
            harness.replace_in_overlay('upstreams = 8', 'upstreams = 9')
            codes.append(await harness.run('config', 'apply', '--version=1'))
            harness.replace_in_overlay('port = 8402', 'port = 8409')
            harness.replace_in_overlay('port = 8401', 'port = 8402')
            codes.append(await harness.run('config', 'apply'))
            return codes

    assert asyncio.run(work()) == [0, 0, 0, 0, 0, 3, 2]
    shown = capsys.readouterr()
    assert 'applied: version 1 is in force' in shown.out
    assert 'nothing to do: version 1 is in force' in shown.out
    assert '+upstreams = 8' in shown.out
    assert 'applied: version 2 is in force' in shown.out
    assert 'version 1  operation 1e5' in shown.out
    assert 'version 2 is in force; remedy: run config diff' in shown.err
    assert 'port 8402 belongs to order in the version in force' in shown.err


def test_unavailable_platform_exits_4(tmp_path, capsys):
    harness = SiteHarness(tmp_path, '127.0.0.1:1')
    assert asyncio.run(harness.run('config', 'apply')) == 4
    assert 'remedy' in capsys.readouterr().err


def test_apply_writes_once_when_response_is_lost(tmp_path, capsys):
    async def work():
        async with run_platform() as standin:
            harness = SiteHarness(tmp_path, standin.endpoint)
            standin.inject(lose_answers=1)
            return (
                await harness.run('config', 'apply'),
                await harness.run('config', 'apply'),
                await harness.run('config', 'history'),
            )

    assert asyncio.run(work()) == (0, 0, 0)
    shown = capsys.readouterr().out
    assert 'applied: version 1 is in force' in shown
    assert 'nothing to do: version 1 is in force' in shown
    assert 'version 2' not in shown


def test_apply_succeeds_after_platform_outage(tmp_path, capsys):
    async def work():
        async with run_platform() as standin:
            harness = SiteHarness(tmp_path, standin.endpoint)
            standin.inject(refuse=True)
            during = await harness.run('config', 'apply')
            standin.inject(refuse=False)
            return during, await harness.run('config', 'apply')

    assert asyncio.run(work()) == (4, 0)
    assert 'applied: version 1 is in force' in capsys.readouterr().out


@pytest.mark.parametrize(
    'flag', ['--verison=1', '--version=one', '--version', '--version=-1']
)
def test_invalid_flag_makes_no_request(tmp_path, flag):
    async def work():
        async with run_platform() as standin:
            harness = SiteHarness(tmp_path, standin.endpoint)
            code = await harness.run('config', 'apply', flag)
            return code, standin.counts

    assert asyncio.run(work()) == (2, {})


def test_status_and_drain_by_name(tmp_path, capsys):
    async def work():
        agent = FakeProcess(make_report('a1', role='agent', service='counter'))
        async with run_control_server(agent) as agent_endpoint:
            row = member_at(agent_endpoint, name='a1')
            balancer = FakeProcess(make_report('b1', members=(row,)))
            async with run_control_server(balancer) as balancer_endpoint:
                harness = SiteHarness(
                    tmp_path, '127.0.0.1:1', balancer_endpoint
                )
                codes = [
                    await harness.run('status'),
                    await harness.run('status', '--json'),
                    await harness.run('drain', 'a1', '--deadline', '3'),
                    await harness.run('drain', 'b1'),
                    await harness.run('drain', 'c1'),
                ]
        return codes, agent.deadlines, balancer.deadlines

    assert asyncio.run(work()) == ([0, 0, 0, 0, 1], [3], [86400])
    lines = capsys.readouterr().out.splitlines()
    assert any(line.startswith('a1    agent') for line in lines)
    assert [
        json.loads(line)['name'] for line in lines if line.startswith('{')
    ] == [
        'b1',
        'a1',
    ]
    assert 'a1: draining, 12 flows' in lines


def test_drain_waits_until_process_is_unreachable(tmp_path, capsys):
    async def work():
        balancer = FakeProcess(make_report('b1'))
        balancer.stops_on_drain = True
        async with run_control_server(balancer) as endpoint:
            harness = SiteHarness(tmp_path, '127.0.0.1:1', endpoint)
            return await harness.run('drain', 'b1', '--wait')

    assert asyncio.run(work()) == 0
    assert 'b1: gone' in capsys.readouterr().out


def test_drain_fails_when_process_keeps_running(tmp_path, capsys, monkeypatch):
    monkeypatch.setattr(process_commands, 'STOP_MARGIN_SECONDS', 0)

    async def work():
        async with run_control_server(
            FakeProcess(make_report('b1'))
        ) as endpoint:
            harness = SiteHarness(tmp_path, '127.0.0.1:1', endpoint)
            return await harness.run('drain', 'b1', '--wait', '--deadline=0')

    assert asyncio.run(work()) == 1
    assert 'still answers' in capsys.readouterr().err


def test_status_fails_when_process_is_unreachable(tmp_path, capsys):
    harness = SiteHarness(tmp_path, '127.0.0.1:1', '127.0.0.1:2')
    assert asyncio.run(harness.run('status')) == 1
    assert '127.0.0.1:2 did not answer' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('role', 'old', 'new', 'code'),
    [
        ('agent', '', '', 0),
        ('agent', 'wa-south-a', 'wa-north-a', 2),
        ('agent', 'chain.pem', 'none.pem', 2),
        ('balancer', '', '', 2),
    ],
)
def test_daemon_starts_with_valid_settings_only(
    tmp_path, monkeypatch, capsys, role, old, new, code
):
    started = []
    daemon = types.ModuleType('daemon')
    daemon.run = lambda **settings: started.append(settings)
    monkeypatch.setitem(sys.modules, f'bluebellfold.daemons.{role}', daemon)
    assert run_command(['keys', 'new', str(tmp_path / 'keys.ini')]) == 0
    certificate, _ = write_certificate(tmp_path)
    certificate.rename(tmp_path / 'chain.pem')
    path = tmp_path / 'process.ini'
    path.write_text(AGENT.replace(old, new))
    harness = SiteHarness(tmp_path, '127.0.0.1:1')
    assert asyncio.run(harness.run(role, '--process', str(path))) == code
    assert len(started) == (code == 0)


def test_keys_commands_create_and_rotate_the_file(tmp_path, capsys):
    path = str(tmp_path / 'keys.ini')
    codes = [run_command(['keys', 'rotate', path])]
    codes.extend(run_command(['keys', 'new', path]) for _ in range(2))
    codes.extend(run_command(['keys', 'rotate', path]) for _ in range(2))
    assert codes == [2, 0, 2, 0, 0]
    assert 'the new keys are in use' in capsys.readouterr().out


def test_explain_reads_several_logs(tmp_path, capsys):
    paths = []
    for event in ('BBF0723', 'BBF0725'):
        line = {'event': event, 'flow': '1>2', 'request': '17', 'time': event}
        (tmp_path / event).write_text(json.dumps(line))
        paths.append(str(tmp_path / event))
    # An id of digits stays a text.
    assert run_command(['explain', '17', *paths]) == 0
    shown = capsys.readouterr()
    assert shown.out.splitlines()[-1].startswith('cause: reset')
    assert len(shown.out.splitlines()) == 3
    assert not shown.err
    assert run_command(['explain', '18', str(tmp_path)]) == 1
    assert run_command(['explain', '17', str(tmp_path / 'c')]) == 1
    assert run_command(['explain', '17']) == 2


@pytest.mark.parametrize('arguments', [[], ['config'], ['drain', '--help']])
def test_help_exits_0(arguments, capsys):
    assert run_command(arguments) == 0
    shown = capsys.readouterr()
    assert 'SYNOPSIS' in shown.out + shown.err
