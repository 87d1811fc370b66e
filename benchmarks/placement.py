"""Compare selection policies in simulated fleets.

Run ``python -m benchmarks.placement``. ``--scenario NAME`` runs only one
scenario; ``--seeds N`` runs each scenario with N seeds.
"""

from types import MappingProxyType

import fire

from benchmarks.fleet import FULL_KNOWLEDGE, Policy
from benchmarks.scenarios import SCENARIOS
from benchmarks.zone_candidates import ZONE_CANDIDATES
from bluebellfold.agents import DEFAULT_POLICY

HEADER = (
    '| way | upstreams | zones | worst | cold | offered | declined |',
    '|---|---|---|---|---|---|---|',
)
POLICIES = MappingProxyType(
    {
        'plain hash': Policy(name='home'),
        'round robin': Policy(name='round-robin'),
        'least of two, 0.2 s': Policy(name='least-of-two', report_seconds=0.2),
        'least of two, 1 s': Policy(name='least-of-two'),
        'least of two, 5 s': Policy(name='least-of-two', report_seconds=5),
        'least of zones, 1 s': Policy(name=ZONE_CANDIDATES),
        'least of n, 0.2 s': Policy(name='least-of-n', report_seconds=0.2),
        'least of n, 1 s': Policy(name='least-of-n'),
        'least of n, 5 s': Policy(name='least-of-n', report_seconds=5),
        'below level, 1 s': Policy(name=DEFAULT_POLICY),
        'with declines, 0.2 s': Policy(
            name=DEFAULT_POLICY, report_seconds=0.2, declines=True
        ),
        'with declines, 1 s': Policy(name=DEFAULT_POLICY, declines=True),
        'with declines, 5 s': Policy(
            name=DEFAULT_POLICY, report_seconds=5, declines=True
        ),
        'full knowledge': Policy(name=FULL_KNOWLEDGE),
    }
)


def compare_policies(*, scenario: str = '', seeds: int = 1) -> None:
    """Print a table for the given scenario, or for each scenario."""
    for name in (scenario,) if scenario else SCENARIOS:
        print(f'\n{name}\n')
        print('\n'.join(HEADER))
        for label, policy in POLICIES.items():
            print(_row(name, label, policy, seeds), flush=True)


def _row(scenario: str, label: str, policy: Policy, seeds: int) -> str:
    run = SCENARIOS.find(scenario)
    runs = [run(policy, seed) for seed in range(1, seeds + 1)]
    means = (
        sum(result.upstreams for result in runs) / len(runs),
        sum(result.zones for result in runs) / len(runs),
        max(result.worst for result in runs),
        max(result.cold_worst for result in runs),
        sum(result.offered for result in runs) / len(runs),
        sum(result.declined for result in runs) / len(runs),
    )
    figures = ' | '.join(f'{figure:.3f}' for figure in means)
    return f'| {label} | {figures} |'


if __name__ == '__main__':
    fire.Fire(compare_policies)
