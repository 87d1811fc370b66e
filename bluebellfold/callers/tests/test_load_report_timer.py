"""Test the timing of load reports of an agent."""

import asyncio

from bluebellfold.callers.quic.load_report_timer import LoadReportTimer

REPORTS = 3


class ReportCounter:
    def __init__(self) -> None:
        self.reports = 0
        self.all_received = asyncio.Event()

    def report(self) -> None:
        self.reports += 1
        if self.reports == REPORTS:
            self.all_received.set()


async def wait_for_refreshes() -> None:
    counter = ReportCounter()
    timer = LoadReportTimer(
        report=counter.report,
        report_interval_seconds=0,
        refresh_interval_seconds=0,
    )
    timer.record_change()
    await counter.all_received.wait()
    timer.close()


async def change_until_reported() -> None:
    counter = ReportCounter()
    timer = LoadReportTimer(
        report=counter.report,
        report_interval_seconds=0.01,
        refresh_interval_seconds=60,
    )
    while not counter.reports:
        timer.record_change()
        await asyncio.sleep(0)
    timer.close()


def test_one_change_is_followed_by_refreshes():
    asyncio.run(asyncio.wait_for(wait_for_refreshes(), 5))


def test_further_changes_do_not_postpone_report():
    asyncio.run(asyncio.wait_for(change_until_reported(), 5))
