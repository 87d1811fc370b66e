"""Measure how long ``bluebellfold explain`` takes on the logs of a fleet.

Run ``python -m benchmarks.explain_logs``, with ``--seconds`` of logs. The lines
are those of the product's events in the proportions of a loaded deployment.
"""

import json
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import fire

from bluebellfold.collectors import catalogue  # noqa: F401
from bluebellfold.collectors.events import find_event
from bluebellfold.relay.operators.explain_logs import explain_logs

BALANCERS = 59
AGENTS = 136
REQUESTS_PER_SECOND = 20 * AGENTS
# The others are requests on an open flow, of which balancers log nothing.
NEW_FLOW_SHARE = 0.5
REPETITIONS = 5
MEGABYTE = 1_000_000


def main(seconds: int = 60, seed: int = 1) -> None:
    """Print the size of the logs, and the times to explain ids from them."""
    with tempfile.TemporaryDirectory() as folder:
        requests = _write_logs(Path(folder), seconds, Random(seed))
        sizes = [path.stat().st_size for path in Path(folder).iterdir()]
        print(f'{len(sizes)} logs, {sum(sizes) / MEGABYTE:.0f} MB')
        request, flow = requests[len(requests) // 2]
        for wanted in (request, flow):
            took = [_measure(wanted, folder) for _ in range(REPETITIONS)]
            shown = ', '.join(f'{one:.2f}' for one in took)
            print(f'{wanted}: {shown} s')


def _measure(wanted: str, folder: str) -> float:
    begun = time.perf_counter()
    explanation = explain_logs(wanted, [folder])
    took = time.perf_counter() - begun
    if not explanation.cause.startswith('answered'):
        raise RuntimeError(f'wrong cause: {explanation.cause}')
    return took


def _write_logs(
    folder: Path, seconds: int, random: Random
) -> list[tuple[str, str]]:
    names = [f'balancer-{number}' for number in range(BALANCERS)]
    names.extend(f'agent-counter-{number}' for number in range(AGENTS))
    logs = {name: (folder / name).open('w') for name in names}
    requests = []
    for number in range(seconds * REQUESTS_PER_SECOND):
        moment = number / REQUESTS_PER_SECOND
        port = random.randrange(1024, 65536)
        client = f'100.64.{number // 250 % 250}.{number % 250}:{port}'
        request = f'{random.getrandbits(64):016x}'
        flow = f'{client}>198.18.0.{number % 12}:443'
        requests.append((request, flow))
        for name, line in _request_lines(moment, request, flow, random):
            logs[name].write(line)
    for log in logs.values():
        log.close()
    return requests


def _request_lines(
    moment: float, request: str, flow: str, random: Random
) -> Iterator[tuple[str, str]]:
    agent = f'agent-counter-{random.randrange(AGENTS)}'
    balancer = f'balancer-{random.randrange(BALANCERS)}'
    if random.random() < NEW_FLOW_SHARE:
        offer = {'attempt': 0, 'service': 'counter', 'agent': '10.3.0.17'}
        load = {'busy': 2, 'slots': 2, 'report_age_ms': 120}
        others = {'arrivals_of_others': 0.4, 'version': 17}
        offered = {'flow': flow, **offer, **load, **others}
        yield balancer, _line(moment, balancer, 'BBF0701', **offered)
        yield agent, _line(moment, agent, 'BBF0722', flow=flow)
    ids = {'request': request, 'flow': flow}
    yield agent, _line(moment, agent, 'BBF0723', **ids, busy=2, slots=2)
    answer = {'status': 200, 'milliseconds': 40}
    yield agent, _line(moment + 0.04, agent, 'BBF0724', **ids, **answer)


def _line(moment: float, process: str, number: str, **fields: object) -> str:
    event = find_event(number)
    written = {
        'time': f'2026-12-06 12:{moment // 60:02.0f}:{moment % 60:06.3f}',
        'level': 'INFO',
        'logger': 'bluebellfold.daemons.relay_balancer',
        'message': event.meaning,
        'process': process,
        **fields,
        'event': number,
        'remedy': event.remedy,
    }
    return f'{json.dumps(written)}\n'


if __name__ == '__main__':
    fire.Fire(main)
