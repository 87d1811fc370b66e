"""Measure the cost of settings, imports and stored member rows.

Run ``python -m benchmarks.capacity_settings``; takes about half a minute.
"""

import gc
import subprocess
import sys
import time
import tracemalloc

from bluebellfold.core import SERVING, Endpoint, Member
from bluebellfold.operators import parse_settings
from bluebellfold.store import encode_member
from bluebellfold.store.row_codec import encode_rows

FIRST_PORT = 10_000
SERVICE_MEMBERS = 7
CONFIGURED_ADDRESSES = (200, 4000, 12_000)
STORED_ROWS = (40, 4000)
MS_PER_SECOND = 1e3
BYTES_PER_KILOBYTE = 1024
MODULES = (
    'sys',
    'bluebellfold.core',
    'grpclib.server',
    'aiohttp',
    'bluebellfold.balancers',
    'bluebellfold.store',
    'bluebellfold.operators',
    'bluebellfold.daemons.balancer',
    'bluebellfold.daemons.agent',
    'bluebellfold.operators.command',
)
PRINT_STATUS = 'print(open("/proc/self/status").read())'
SITE_TEXT = """
[site]
name = large
region = r1
zones = r1-a, r1-b, r1-c
networks = 127.0.0.0/8,
balancers = 127.0.0.1:8510,
platform = 127.0.0.1:8500
candidates = 2
drain_seconds = 30
[service_defaults]
connections = 2000
slots = 3
[kind_defaults]
share = 0.5
queue_seconds = 2
deadline_seconds = 10
first_flights_per_second = 2000
[collectors]
log_level = info
metrics = none
metrics_seconds = 10
traces = none
traced_share = 1
directory = out
"""


def status_megabytes(status: str, field: str) -> float:
    """Return a memory field of /proc/PID/status, in megabytes."""
    for line in status.splitlines():
        if line.startswith(field):
            return int(line.split()[1]) / BYTES_PER_KILOBYTE
    return 0


def build_text(addresses: int) -> str:
    """Return the settings of a site with two addresses per service."""
    lines = [SITE_TEXT, '[services]']
    services = addresses // 2
    for number in range(1, services + 1):
        lines.extend(
            (
                f'[[service-{number}]]',
                f'number = {number}',
                f'upstreams = {SERVICE_MEMBERS}',
            )
        )
    lines.append('[kinds]')
    for number in range(1, services * 2 + 1):
        lines.extend(
            (
                f'[[kind-{number}]]',
                f'number = {number}',
                f'service = service-{(number + 1) // 2}',
                f'port = {FIRST_PORT + number}',
                'urgency = 1',
                'repeatable = no',
                'holds = slot',
            )
        )
    return '\n'.join(lines)


def print_settings() -> None:
    """Print the size of settings, and the time and memory to parse them."""
    print('\naddresses      KB  B/address  parse ms  held KB')
    for addresses in CONFIGURED_ADDRESSES:
        text = build_text(addresses)
        started = time.process_time()
        parse_settings(text)
        spent = time.process_time() - started
        tracemalloc.start()
        settings = parse_settings(text)
        # The parser leaves reference cycles, which would count as held.
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        print(
            f'{len(settings.site.kinds):>9}'
            f' {len(text) / BYTES_PER_KILOBYTE:>7.1f}'
            f' {len(text) / addresses:>10.0f}'
            f' {spent * MS_PER_SECOND:>9.0f}'
            f' {held / BYTES_PER_KILOBYTE:>8.0f}',
        )


def print_imports() -> None:
    """Print the resident memory after importing each module."""
    print('\nresident MB  anonymous MB  after import of')
    for module in MODULES:
        status = subprocess.run(
            (sys.executable, '-c', f'import {module}; {PRINT_STATUS}'),
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        print(
            f'{status_megabytes(status, "VmRSS"):>11.1f}'
            f' {status_megabytes(status, "RssAnon"):>13.1f}  {module}',
        )


def print_stored_rows() -> None:
    """Print the size of a stored object with a service's rows in one zone."""
    print('\n     rows  KB in the store  B/row')
    for count in STORED_ROWS:
        rows = tuple(
            encode_member(
                Member(
                    name=f'upstream-{number}',
                    service=1,
                    zone='r1-a',
                    endpoint=Endpoint(host='10.0.100.100', port=7000),
                    control_port=8000,
                    weight=1,
                    state=SERVING,
                    incarnation=1_700_000_000_000 + number,
                    sequence=1,
                ),
            )
            for number in range(count)
        )
        stored = len(encode_rows(rows))
        print(
            f'{count:>9} {stored / BYTES_PER_KILOBYTE:>16.1f}'
            f' {stored / count:>6.0f}',
        )


def main() -> None:
    """Print all tables."""
    print_settings()
    print_imports()
    print_stored_rows()


if __name__ == '__main__':
    main()
