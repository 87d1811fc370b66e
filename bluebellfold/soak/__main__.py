"""Run seeds of the soak, and show what they found."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import fire

from bluebellfold.soak.run import run_seed

KEPT = 'soak-logs'


def main(
    first: int = 0,
    count: int = 1,
    seconds: float = 12.0,
    balancers: int = 3,
    agents: int = 4,
) -> None:
    """Run ``count`` seeds from ``first`` on, 0 for a fresh one.

    The logs of a seed that broke a promise are kept in the folder that is
    named; the exit code is 1 then.
    """
    first = first or int(time.time())
    found = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f'{KEPT}-{seed}-'))
        report = asyncio.run(
            run_seed(
                seed,
                folder=folder,
                seconds=seconds,
                balancers=balancers,
                agents=agents,
            )
        )
        sys.stdout.write(
            f'seed {seed}: {len(report.strikes)} faults, '
            f'{report.served} served, {report.failed} failed, '
            f'{len(report.broken)} promises broken\n'
        )
        for broken in report.broken:
            sys.stdout.write(f'  {broken}\n')
        if report.broken:
            sys.stdout.write(f'  logs: {folder}\n')
        sys.stdout.flush()
        found += bool(report.broken)
    sys.exit(bool(found))


if __name__ == '__main__':
    fire.Fire(main)
