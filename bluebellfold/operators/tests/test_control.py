"""Test status and drain calls to fake processes over loopback."""

import asyncio
import json

from bluebellfold.core import Count, Endpoint
from bluebellfold.operators import fetch_status, request_drain
from bluebellfold.operators.control_client import UNREACHABLE
from bluebellfold.operators.report_json import format_json
from bluebellfold.operators.site_status import collect_reports
from bluebellfold.operators.tables import (
    count_table,
    group_table,
    process_table,
)
from bluebellfold.operators.tests.fakes import (
    FakeProcess,
    make_report,
    member_at,
    run_control_server,
)

CLOSED_ENDPOINT = Endpoint(host='127.0.0.1', port=1)


def test_status_call_returns_complete_report():
    report = make_report('b1', members=(member_at(CLOSED_ENDPOINT, name='a1'),))

    async def call():
        async with run_control_server(FakeProcess(report)) as endpoint:
            return await fetch_status(endpoint)

    assert asyncio.run(call()) == report


def test_drain_passes_deadline_and_is_idempotent():
    async def call():
        process = FakeProcess(make_report('b1'))
        async with run_control_server(process) as endpoint:
            first = await request_drain(endpoint, 2.5)
            assert await request_drain(endpoint, 2.5) == first
        assert process.deadlines == [2.5, 2.5]
        return first

    assert asyncio.run(call()).state == 'draining'


def test_closed_endpoint_is_unreachable():
    assert asyncio.run(fetch_status(CLOSED_ENDPOINT)) is UNREACHABLE
    assert asyncio.run(request_drain(CLOSED_ENDPOINT, 1)) is UNREACHABLE


def test_site_status_keeps_newest_member_row():
    old = member_at(CLOSED_ENDPOINT, name='a1', sequence=1)
    new = member_at(CLOSED_ENDPOINT, name='a1', sequence=2)

    async def call():
        ahead = FakeProcess(make_report('b1', members=(new,)))
        behind = FakeProcess(make_report('b2', members=(old,)))
        async with (
            run_control_server(ahead) as first,
            run_control_server(behind) as second,
        ):
            return await collect_reports((first, second, CLOSED_ENDPOINT))

    site_status = asyncio.run(call())
    assert site_status.members() == (new,)
    assert site_status.unreachable == (CLOSED_ENDPOINT,)


def test_json_includes_zero_values():
    shown = json.loads(format_json(make_report('b1', flows=0)))
    assert shown['flows'] == '0'
    assert shown['requests'] == [{'name': 'order/answered', 'times': '3'}]


def test_tables_show_processes_groups_and_counts():
    half = make_report('a1', service='counter', slots=0.5, connections=0.25)
    full = half.replace(name='a2', slots=1.0)
    assert process_table([half, full]).splitlines()[1].split()[-2:] == [
        '50%',
        '25%',
    ]
    assert group_table([half, full, make_report('b1')]).splitlines()[1:] == [
        'counter  wa-south-a  2       24     75%    25%',
    ]
    twice = (Count(name='late', times=1), Count(name='late', times=2))
    assert count_table(twice).splitlines()[1].split() == ['late', '3']
