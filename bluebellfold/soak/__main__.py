"""Run the soak test for a range of seeds and report violations."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import fire

from bluebellfold.soak.run import run_seed

LOG_FOLDER_PREFIX = 'soak-logs'


def main(
    first: int = 0,
    count: int = 1,
    seconds: float = 12.0,
    balancers: int = 3,
    agents: int = 4,
) -> None:
    """Run ``count`` seeds from ``first`` on; 0 takes the current time.

    The logs of each seed are kept in a folder; it is printed if the seed
    violated an invariant, and the exit code is 1 then.
    """
    first = first or int(time.time())
    failed_seeds = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f'{LOG_FOLDER_PREFIX}-{seed}-'))
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
            f'seed {seed}: {len(report.faults)} faults, '
            f'{report.served} served, {report.failed} failed, '
            f'{len(report.violations)} invariant violations\n'
        )
        for violation in report.violations:
            sys.stdout.write(f'  {violation}\n')
        if report.violations:
            sys.stdout.write(f'  logs: {folder}\n')
        sys.stdout.flush()
        failed_seeds += bool(report.violations)
    sys.exit(bool(failed_seeds))


if __name__ == '__main__':
    fire.Fire(main)
