"""Test the check of a document against the stand-in of the store."""

import asyncio
import json
import os

import pytest

from bluebellfold.operators import check_commands
from bluebellfold.operators.command import run_command
from bluebellfold.operators.tests.test_command import run_platform
from bluebellfold.operators.tests.test_routing_checks import DOCUMENT, change

TIMEOUT_SECONDS = 0.1


def write_document(folder, document, name='main.json'):
    path = folder / name
    path.write_text(json.dumps(document))
    return str(path)


async def check(*arguments):
    return await asyncio.to_thread(run_command, ['config', 'check', *arguments])


def test_check_against_store_reads_once_and_writes_nothing(tmp_path, capsys):
    path = write_document(tmp_path, DOCUMENT)

    async def scenario():
        async with run_platform() as platform:
            store = str(platform.endpoint)
            codes = [await check(path, '--store', store)]
            platform.store.put('config', 'main', {**DOCUMENT, 'Version': 7})
            codes.append(await check(path, '--store', store))
            platform.store.put('config', 'main', DOCUMENT)
            codes.append(await check(path, '--store', store))
            return codes, platform.counts, platform.store.revision

    codes, counts, revision = asyncio.run(scenario())
    assert codes == [0, 0, 2]
    # One call for each check; the two writes are those of the test itself.
    assert sum(counts.values()) == 3
    assert revision == 2
    assert 'RC102' in capsys.readouterr().out


def test_silent_store_exits_3_and_findings_are_shown(
    tmp_path, capsys, monkeypatch
):
    monkeypatch.setattr(check_commands, 'READ_TIMEOUT_SECONDS', TIMEOUT_SECONDS)
    path = write_document(tmp_path, change(('Routes', 0, 'Priority'), 256))

    async def scenario():
        async with run_platform() as platform:
            platform.inject(slow_seconds=1)
            return await check(path, '--store', str(platform.endpoint))

    assert asyncio.run(scenario()) == 3
    captured = capsys.readouterr()
    assert 'was not reached' in captured.err
    assert 'RC101 error Routes[0].Priority' in captured.out


def test_refusing_store_exits_3(tmp_path):
    path = write_document(tmp_path, DOCUMENT)

    async def scenario():
        async with run_platform() as platform:
            platform.inject(refuse=True)
            return await check(path, '--store', str(platform.endpoint))

    assert asyncio.run(scenario()) == 3


def test_server_that_is_no_store_exits_3(tmp_path):
    path = write_document(tmp_path, DOCUMENT)

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello')
        await writer.drain()
        writer.close()

    async def scenario():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        async with server:
            host, port = server.sockets[0].getsockname()
            return await check(path, '--store', f'{host}:{port}')

    assert asyncio.run(scenario()) == 3


def test_warnings_fail_with_strict_only(tmp_path):
    document = change(('Services', 0, 'WarmupPerS'), 0)
    path = write_document(tmp_path, document)
    assert run_command(['config', 'check', path]) == 0
    assert run_command(['config', 'check', path, '--strict']) == 1
    assert run_command(['config', 'check', path, '--against', path]) == 2


def test_report_is_one_line_of_json(tmp_path, capsys):
    wanted = write_document(tmp_path, change(('Routes',), []))
    current = write_document(tmp_path, DOCUMENT, 'current.json')
    arguments = ['--against', current, '--json']
    assert run_command(['config', 'check', wanted, *arguments]) == 2
    report = json.loads(capsys.readouterr().out)
    assert [found['code'] for found in report['findings']] == [
        'RC102',
        'RC206',
        'RC206',
    ]
    assert [found['name'] for found in report['differences']] == [
        'route feed',
        'route orders',
    ]


@pytest.mark.parametrize(
    'arguments',
    [
        ('--store', 'nowhere'),
        ('--store', '127.0.0.1:1', '--against', 'main.json'),
        ('--against', 'missing.json'),
        ('--site', 'overlay.ini'),
    ],
)
def test_wrong_options_exit_2_with_a_remedy(tmp_path, capsys, arguments):
    path = write_document(tmp_path, DOCUMENT)
    assert run_command(['config', 'check', path, *arguments]) == 2
    assert 'remedy' in capsys.readouterr().err


# Guards against a check that is clean though nothing was compared.
@pytest.mark.parametrize('content', [b'{"Version": 7,', b'[]', b'\0'])
def test_unreadable_file_to_compare_with_exits_2(tmp_path, capsys, content):
    path = write_document(tmp_path, DOCUMENT)
    current = tmp_path / 'current.json'
    current.write_bytes(content)
    assert (
        run_command(['config', 'check', path, '--against', str(current)]) == 2
    )
    assert 'remedy' in capsys.readouterr().err


def test_random_file_ends_in_a_report(tmp_path, capsys):
    path = tmp_path / 'main.json'
    path.write_bytes(os.urandom(1000))
    assert run_command(['config', 'check', str(path)]) == 2
    assert 'RC100' in capsys.readouterr().out
