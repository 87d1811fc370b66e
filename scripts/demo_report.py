"""Report the counts and the violated guarantees of the demo."""

import asyncio
import json
import sys
from collections import Counter

from bluebellfold.standins.control_requests import send_upstream_request
from bluebellfold.standins.fleet import Fleet
from bluebellfold.standins.quic_client import FlowResponse

OUTCOME_FIELD = 'bluebellfold-outcome'
ANSWERED = 'answered'
OK_STATUS = 200


class DemoReport:
    """Collect the counts and the violated guarantees of one run."""

    def __init__(self) -> None:
        self._violations: list[str] = []
        self._streams: Counter[str] = Counter()
        self._outcomes: dict[str, Counter[str]] = {}
        self._request_outcomes: dict[str, str] = {}
        self._shares: Counter[str] = Counter()
        self._zones: dict[str, Counter[str]] = {}

    @property
    def violations(self) -> tuple[str, ...]:
        """Return descriptions of the violated guarantees."""
        return tuple(self._violations)

    def record_violation(self, text: str) -> None:
        """Record a guarantee that was violated."""
        self._violations.append(text)

    def record_stream(self, kind: str, upstream: str) -> None:
        """Record a stream that stayed open to the end."""
        self._streams[kind] += 1
        self._shares[upstream] += 1

    def record_response(
        self,
        kind: str,
        name: str,
        response: FlowResponse,
        *,
        expected_body: bytes,
    ) -> None:
        """Record a response and check its body if it is complete."""
        outcome = response.field(OUTCOME_FIELD) or ANSWERED
        self._outcomes.setdefault(kind, Counter())[outcome] += 1
        self._request_outcomes[name] = outcome
        if outcome != ANSWERED:
            return
        if response.status != OK_STATUS or response.body != expected_body:
            self.record_violation(
                f'{name}: response does not match the request'
            )

    async def check_records(self, fleet: Fleet) -> None:
        """Compare the outcomes with the records of the upstreams."""
        begun: Counter[str] = Counter()
        records = await asyncio.gather(
            *(
                send_upstream_request(fleet, name, '/record')
                for name, _zone in fleet.upstream_zones
            ),
        )
        for (name, zone), record in zip(
            fleet.upstream_zones,
            records,
            strict=True,
        ):
            for request, steps in json.loads(record).items():
                begun[request] += steps['begun']
                self._shares[name] += steps['begun']
            self._add_zone(name, zone)
        for request, outcome in self._request_outcomes.items():
            self._check_record(request, outcome, begun[request])

    def print_table(self) -> None:
        """Print the counts and the violations."""
        lines = ['', 'streams kept open']
        lines.extend(_rows(self._streams))
        for kind, outcomes in self._outcomes.items():
            lines.append(f'requests: {kind}')
            lines.extend(_rows(outcomes))
        lines.append('share by upstream')
        lines.extend(_rows(self._shares))
        for service, zones in self._zones.items():
            lines.append(f'share by availability zone: {service}')
            lines.extend(_rows(zones))
        lines.append(f'guarantees violated: {len(self._violations)}')
        lines.extend(f'  {violation}' for violation in self._violations)
        sys.stdout.write('\n'.join((*lines, '')))

    def _add_zone(self, name: str, zone: str) -> None:
        service = name.rpartition('-')[0]
        zones = self._zones.setdefault(service, Counter())
        zones[zone] += self._shares[name]

    def _check_record(self, request: str, outcome: str, begun: int) -> None:
        if begun > 1:
            self.record_violation(f'{request}: ran {begun} times')
        if outcome == 'not-run' and begun:
            self.record_violation(
                f'{request}: reported as not run, but an upstream ran it'
            )
        if outcome == ANSWERED and not begun:
            self.record_violation(
                f'{request}: reported as answered, but no upstream ran it'
            )


def _rows(counter: Counter[str]) -> list[str]:
    return [
        '  {0:24} {1:6}'.format(name, counter[name]) for name in sorted(counter)
    ]
