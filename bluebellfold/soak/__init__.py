"""Run the relay's processes under random faults and check invariants."""

from bluebellfold.soak import (
    contention,
    evacuation_faults,
    link_faults,
    machine_faults,
    process_faults,
    store_faults,
    upstream_faults,
)
from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import ScheduledFault, draw_plan
from bluebellfold.soak.run import SoakReport, run_seed

__all__ = (
    'FAULTS',
    'ScheduledFault',
    'SoakReport',
    'contention',
    'draw_plan',
    'evacuation_faults',
    'link_faults',
    'machine_faults',
    'process_faults',
    'run_seed',
    'store_faults',
    'upstream_faults',
)
