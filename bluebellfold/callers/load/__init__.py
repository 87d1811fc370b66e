"""Generate load on balancers as clients do, and measure the responses."""

from bluebellfold.callers.load.client import ClientConnection
from bluebellfold.callers.load.codec import (
    encode_measurements,
    format_measurements,
)
from bluebellfold.callers.load.measurements import Measurements
from bluebellfold.callers.load.plan import (
    Flood,
    KindLoad,
    LoadPlan,
    UpstreamZone,
    Window,
)
from bluebellfold.callers.load.run import run_load

__all__ = (
    'ClientConnection',
    'Flood',
    'KindLoad',
    'LoadPlan',
    'Measurements',
    'UpstreamZone',
    'Window',
    'encode_measurements',
    'run_load',
    'format_measurements',
)
