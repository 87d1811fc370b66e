"""Simulate floods of requests under each queue discipline.

The simulation runs in virtual time without sockets. Seven upstreams share
their slots between three kinds of work for 15 s; the first 5 s are not
measured. In a flood, requests of a kind arrive at ten times the rate that
the whole fleet can serve.

    python -m benchmarks.admission [slots of an upstream] [disciplines]
"""

import sys
import time
from itertools import product
from types import MappingProxyType

from benchmarks.admission_fleet import (
    BATCH,
    END_SECONDS,
    KINDS,
    LEAVE_AT_SECONDS,
    LEAVING_UPSTREAMS,
    ORDER,
    SERVICE_SECONDS,
    UPSTREAMS,
    WARM_UP_SECONDS,
    Fleet,
)

DEFAULT_SLOTS = 3
FLOODS = MappingProxyType(
    {
        'none': (),
        'batch': (BATCH,),
        'order': (ORDER,),
        'both': (BATCH, ORDER),
    }
)


def capacity_seconds(fleet: Fleet, *, leaving: bool) -> float:
    """Return the measured capacity of the fleet, in slot-seconds."""
    total = (END_SECONDS - WARM_UP_SECONDS) * UPSTREAMS
    if leaving:
        total -= (END_SECONDS - LEAVE_AT_SECONDS) * LEAVING_UPSTREAMS
    return total * fleet.slots


def print_row(
    title: str,
    baseline: Fleet,
    flooded: Fleet,
    *,
    leaving: bool,
) -> None:
    """Print the goodput and p99 of each kind, relative to the baseline."""
    columns = []
    remaining_seconds = capacity_seconds(flooded, leaving=leaving)
    flood_used = 0
    for kind in KINDS:
        before, after = baseline.tallies[kind], flooded.tallies[kind]
        ratio = after.p99_ms / before.p99_ms
        if kind in flooded.flood:
            flood_used += after.used_seconds
            columns.append(f'flood {after.p99_ms:4.0f} ms      ')
        else:
            remaining_seconds -= after.used_seconds
            kept = after.done / before.done
            columns.append(
                f'{kept:6.1%} {after.p99_ms:4.0f} ms {ratio:4.1f}x',
            )
    used_share = (
        f'{flood_used / remaining_seconds:6.1%}' if flooded.flood else '     -'
    )
    tallies = flooded.tallies.values()
    late = sum(tally.late for tally in tallies)
    at_once = sum(tally.refused_at_once for tally in tallies)
    refused = at_once + sum(tally.refused_later for tally in tallies)
    at_once_share = f'{at_once / refused:6.1%}' if refused else '     -'
    print(
        f'| {title} |',
        ' | '.join(columns),
        f'| {used_share} | {at_once_share} | {late} |',
    )


def print_table(slots: int, pattern: str, disciplines: list[str]) -> None:
    """Print a table of all floods under each discipline."""
    print(f'\n{slots} slots, {pattern}')
    print('| flood | order | stock | batch | left over | at once | late |')
    print('|---|---|---|---|---|---|---|')
    for discipline in disciplines:
        fields = {
            'slots': slots,
            'discipline': discipline,
            'seconds': SERVICE_SECONDS[pattern],
            'seed': 1,
        }
        baseline = Fleet(flood=(), leaving=False, **fields)
        baseline.run()
        for flood, leaving in product(FLOODS, (False, True)):
            kinds = FLOODS[flood]
            flooded = Fleet(flood=kinds, leaving=leaving, **fields)
            flooded.run()
            suffix = ', a third leaves' if leaving else ''
            title = f'{discipline}: {flood}{suffix}'
            print_row(title, baseline, flooded, leaving=leaving)


def main() -> None:
    """Print the tables for the given disciplines, or for all."""
    started = time.process_time()
    slots = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SLOTS
    disciplines = sys.argv[2:] or ['fifo', 'strict', 'shares']
    for pattern in SERVICE_SECONDS:
        print_table(slots, pattern, disciplines)
    print(f'\n{time.process_time() - started:.0f} s of processor time')


if __name__ == '__main__':
    main()
