"""Run the benchmarks that docs/CAPACITY.md is based on.

Run ``python -m benchmarks.capacity`` or ``make capacity``; takes about three
minutes. The benchmarks run one at a time because they measure processor time.
"""

import subprocess
import sys

BENCHMARKS = (
    'capacity_tables',
    'capacity_settings',
    'capacity_control',
    'membership',
    'ranking',
    'forwarding',
    'handshakes',
    'memory',
    'platform_calls',
)


def main() -> None:
    """Run all benchmarks and print their figures."""
    failed = []
    for name in BENCHMARKS:
        print(f'\n== {name}', flush=True)
        ended = subprocess.run(
            (sys.executable, '-m', f'benchmarks.{name}'),
            check=False,
            # Log lines of libraries would appear between the figures.
            stderr=subprocess.DEVNULL,
        )
        if ended.returncode:
            failed.append(name)
    if failed:
        sys.exit(f'failed: {", ".join(failed)}; run them alone to see why')


if __name__ == '__main__':
    main()
