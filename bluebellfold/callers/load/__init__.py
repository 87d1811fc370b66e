"""Generate load on balancers as clients do, and measure the responses."""

from bluebellfold.callers.load.client import ClientConnection
from bluebellfold.callers.load.codec import encode_measures, show_measures
from bluebellfold.callers.load.measures import Measures
from bluebellfold.callers.load.plan import (
    Flood,
    KindLoad,
    LoadPlan,
    UpstreamPlace,
    Window,
)
from bluebellfold.callers.load.run import run_load

__all__ = (
    'ClientConnection',
    'Flood',
    'KindLoad',
    'LoadPlan',
    'Measures',
    'UpstreamPlace',
    'Window',
    'encode_measures',
    'run_load',
    'show_measures',
)
