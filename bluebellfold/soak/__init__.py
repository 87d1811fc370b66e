"""Run the relay's real processes under random faults, and check promises."""

from bluebellfold.soak import (
    link_faults,
    process_faults,
    store_faults,
    upstream_faults,
)
from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import Strike, draw_plan
from bluebellfold.soak.run import Report, run_seed

__all__ = (
    'FAULTS',
    'Report',
    'Strike',
    'draw_plan',
    'link_faults',
    'process_faults',
    'run_seed',
    'store_faults',
    'upstream_faults',
)
