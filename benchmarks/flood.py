"""Flood a fleet of real processes with ten times the load it can serve.

Each run starts its own fleet and compares the flood window with a baseline
window before the flood. One service serves all kinds, so they compete for its
slots.
"""

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import fire

from bluebellfold.core import Registry
from bluebellfold.standins.control_requests import send_upstream_request
from bluebellfold.standins.fleet import Fleet

UPSTREAMS = 3
SLOTS = 3
WORK_MS = 200
CAPACITY_PER_SECOND = UPSTREAMS * SLOTS * 1000 / WORK_MS
FLOOD_RATE_PER_SECOND = 10 * CAPACITY_PER_SECOND
BASE_RATE_PER_SECOND = 8
FEED_STREAMS = 30
# Start and end of the measured windows, in seconds from the start of the run.
# The first second of the flood is not measured.
BASELINE_WINDOW = (2.0, 12.0)
FLOOD_START_SECONDS = 12.0
FLOOD_WINDOW = (13.0, 23.0)
LEAVE_AT_SECONDS = 18.0
LEAVING_UPSTREAM = 'counter-3'
# One of the three upstreams is missing in the second half of the window.
CAPACITY_FRACTION_LEAVING = 5 / 6
KINDS = ('order', 'batch')
SETTLE_SECONDS = 30.0
GOODPUT_TARGET = 0.95
P99_RATIO_TARGET = 2.0
CAPACITY_TARGET = 0.9
REFUSAL_TARGET_MS = 100.0

SITE_REPLACEMENTS = (
    ('service = makeroom', 'service = counter'),
    # The base settings give each kind a share of one half, and an overlay must
    # not repeat a value of the base.
    ('share = 1\n', ''),
    ('share = 0.4\n', ''),
    ('upstreams = 7', f'upstreams = {UPSTREAMS}'),
)

scenarios: Registry[str, Callable[['Run'], Any]] = Registry(name='floods')


class Run:
    """Hold one fleet and the parameters of its flood."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.flooding_kinds: tuple[str, ...] = ()
        self.capacity_fraction = 1.0
        self.leave_task: asyncio.Task[None] | None = None

    def schedule_leave(self) -> None:
        """Schedule an upstream to leave halfway through the flood."""
        self.capacity_fraction = CAPACITY_FRACTION_LEAVING
        self.leave_task = asyncio.create_task(self._leave())

    async def _leave(self) -> None:
        await asyncio.sleep(LEAVE_AT_SECONDS)
        self.fleet.child(f'agent-{LEAVING_UPSTREAM}').terminate()


@scenarios.add('least')
def flood_least(run: Run) -> None:
    """Flood with requests of the least urgent kind."""
    run.flooding_kinds = ('batch',)


@scenarios.add('most')
def flood_most(run: Run) -> None:
    """Flood with requests of the most urgent kind."""
    run.flooding_kinds = ('order',)


@scenarios.add('both')
def flood_both(run: Run) -> None:
    """Flood with requests of both kinds."""
    run.flooding_kinds = KINDS


@scenarios.add('leaving')
def flood_least_and_leave(run: Run) -> None:
    """Flood with the least urgent kind while an upstream leaves."""
    run.flooding_kinds = ('batch',)
    run.schedule_leave()


def write_load(run: Run, name: str, lines: tuple[str, ...]) -> Path:
    """Write the settings of one load generator; return their path."""
    path = run.fleet.directory / f'{name}.ini'
    head = (
        '[load]',
        f'base = {run.fleet.base}',
        f'site = {run.fleet.overlay}',
        f'seconds = {FLOOD_WINDOW[1]}',
        f'measures = {name}.json',
    )
    windows = (
        '[windows]',
        '[[calm]]',
        f'begins = {BASELINE_WINDOW[0]}',
        f'ends = {BASELINE_WINDOW[1]}',
        '[[flood]]',
        f'begins = {FLOOD_WINDOW[0]}',
        f'ends = {FLOOD_WINDOW[1]}',
    )
    path.write_text('\n'.join((*head, *lines, *windows, '')))
    return path


def base_load_lines() -> tuple[str, ...]:
    """Return the settings of the load that runs throughout."""
    lines = ['seed = 1', '[kinds]', '[[feed]]', 'path = /feed']
    lines.append(f'streams = {FEED_STREAMS}')
    for kind in KINDS:
        lines.extend(kind_lines(kind, BASE_RATE_PER_SECOND))
    return tuple(lines)


def flood_load_lines(kinds: tuple[str, ...]) -> tuple[str, ...]:
    """Return the settings of the flood."""
    lines = ['seed = 2', '[kinds]']
    for kind in kinds:
        lines.extend(kind_lines(kind, 0))
    lines.append('[floods]')
    for kind in kinds:
        rate = FLOOD_RATE_PER_SECOND / len(kinds)
        lines.extend(
            (
                f'[[{kind}-rush]]',
                f'kind = {kind}',
                f'rate = {rate}',
                f'begins = {FLOOD_START_SECONDS}',
                f'ends = {FLOOD_WINDOW[1]}',
            )
        )
    return tuple(lines)


def kind_lines(kind: str, rate: float) -> list[str]:
    """Return the settings of the requests of one kind."""
    return [
        f'[[{kind}]]',
        f'path = /{kind}',
        f'rate = {rate}',
        'flows = 24',
        'body_bytes = 500',
        f'work_ms = {WORK_MS}',
    ]


async def run_load(path: Path) -> dict[str, Any]:
    """Run one load generator and return its measurements."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bluebellfold.operators.command',
        'load',
        str(path),
        stdout=asyncio.subprocess.DEVNULL,
    )
    await process.wait()
    return json.loads(path.with_suffix('.json').read_text())


def find_window(
    report: dict[str, Any], kind: str, window: str
) -> dict[str, Any]:
    """Return the measurements of one kind in one window."""
    return next(
        entry
        for entry in report['requests']
        if (entry['kind'], entry['window']) == (kind, window)
    )


async def count_false_refusals(run: Run, refused: set[str]) -> int:
    """Return how many requests ran although reported as not run."""
    started = 0
    for number in range(1, UPSTREAMS + 1):
        text = await send_upstream_request(
            run.fleet, f'counter-{number}', '/record'
        )
        record = json.loads(text)
        started += sum(
            record[name]['begun'] > 0 for name in refused if name in record
        )
    return started


async def build_report(
    run: Run, base_load: Any, flood_load: Any
) -> dict[str, Any]:
    """Return the figures to compare with the targets."""
    refused_ids = {*base_load['refused_ids'], *flood_load['refused_ids']}
    others = [kind for kind in KINDS if kind not in run.flooding_kinds]
    other_kinds = {kind: compare_windows(base_load, kind) for kind in others}
    flood_goodput = sum(
        find_window(flood_load, kind, 'flood')['goodput_per_second']
        + find_window(base_load, kind, 'flood')['goodput_per_second']
        for kind in run.flooding_kinds
    )
    others_goodput = sum(
        find_window(base_load, kind, 'flood')['goodput_per_second']
        for kind in others
    )
    remaining_capacity = (
        CAPACITY_PER_SECOND * run.capacity_fraction - others_goodput
    )
    feed = base_load['streams'][0]
    floods = [
        find_window(flood_load, kind, 'flood') for kind in run.flooding_kinds
    ]
    return {
        'others': other_kinds,
        'feeds_held': f'{feed["held"]} of {feed["wanted"]}',
        'flood_offered': sum(entry['load_lag_ms']['count'] for entry in floods),
        'flood_got_per_second': round(flood_goodput, 1),
        'of_what_is_left': round(flood_goodput / remaining_capacity, 3),
        'refusals': sum(entry['refused_ms']['count'] for entry in floods),
        'refusal_p50_ms': max(entry['refused_ms']['p50'] for entry in floods),
        'refusal_p99_ms': max(entry['refused_ms']['p99'] for entry in floods),
        'refusal_max_ms': max(entry['refused_ms']['max'] for entry in floods),
        'untrue_refusals': await count_false_refusals(run, refused_ids),
        'load_lag_p99_ms': max(entry['load_lag_ms']['p99'] for entry in floods),
        'outcomes': [entry['outcomes'] for entry in floods],
    }


def compare_windows(base_load: Any, kind: str) -> dict[str, Any]:
    """Compare a non-flooding kind in the flood and the baseline window."""
    baseline = find_window(base_load, kind, 'calm')
    flood = find_window(base_load, kind, 'flood')
    offered = flood['load_lag_ms']['count'] / baseline['load_lag_ms']['count']
    goodput = flood['goodput_per_second'] / baseline['goodput_per_second']
    return {
        'goodput_kept': round(goodput / offered, 3),
        'p99_ms_calm': baseline['answered_ms']['p99'],
        'p99_ms_flood': flood['answered_ms']['p99'],
        'p99_ratio': round(
            flood['answered_ms']['p99'] / baseline['answered_ms']['p99'], 2
        ),
        'outcomes': flood['outcomes'],
    }


async def run_scenario(scenario: str, discipline: str) -> dict[str, Any]:
    """Run one flood against a new fleet."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), site='marrinup')
        update_overlay(fleet.overlay, discipline)
        try:
            await start_fleet(fleet)
            run = Run(fleet)
            scenarios.find(scenario)(run)
            base_load, flood_load = await asyncio.gather(
                run_load(write_load(run, 'usual', base_load_lines())),
                run_load(
                    write_load(
                        run, 'rush', flood_load_lines(run.flooding_kinds)
                    )
                ),
            )
            return await build_report(run, base_load, flood_load)
        finally:
            await fleet.stop()


def update_overlay(overlay: Path, discipline: str) -> None:
    """Configure one service to serve all kinds, with a queue discipline."""
    text = overlay.read_text()
    for old, new in SITE_REPLACEMENTS:
        text = text.replace(old, new)
    service = '[[counter]]\n'
    text = text.replace(service, f'{service}discipline = {discipline}\n')
    overlay.write_text(text)


async def start_fleet(fleet: Fleet) -> None:
    """Start the processes and wait until all know all members."""
    await fleet.start_platform()
    await asyncio.gather(*(fleet.start_balancer(index) for index in range(3)))
    await fleet.start_service('counter', UPSTREAMS)
    async with asyncio.timeout(SETTLE_SECONDS):
        await fleet.wait_for_members()


def main(scenario: str = '', discipline: str = '') -> None:
    """Run the named flood and discipline, or all under shares and fifo."""
    for name in (scenario,) if scenario else tuple(scenarios):
        for queue_discipline in (
            (discipline,) if discipline else ('shares', 'fifo')
        ):
            figures = asyncio.run(run_scenario(name, queue_discipline))
            print(
                json.dumps(
                    {'flood': name, 'by': queue_discipline, **figures}, indent=1
                )
            )
            sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
