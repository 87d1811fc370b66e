"""Replay load patterns through the relay's decisions in simulated time."""

from bluebellfold.model.ledger import RunStatistics
from bluebellfold.model.patterns import PATTERNS
from bluebellfold.model.replay import replay
from bluebellfold.model.settings import ModelSettings, load_model
from bluebellfold.model.table import show_replays
from bluebellfold.model.world import ModelSite, SiteParameters

__all__ = (
    'ModelSettings',
    'ModelSite',
    'PATTERNS',
    'RunStatistics',
    'SiteParameters',
    'load_model',
    'replay',
    'show_replays',
)
