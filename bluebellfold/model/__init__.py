"""Replay load patterns through the relay's decisions in simulated time."""

from bluebellfold.model.patterns import PATTERNS
from bluebellfold.model.recorder import RunStatistics
from bluebellfold.model.replay import replay
from bluebellfold.model.settings import ModelSettings, load_model_settings
from bluebellfold.model.table import tabulate_replays
from bluebellfold.model.world import ModelSite, SiteParameters

__all__ = (
    'ModelSettings',
    'ModelSite',
    'PATTERNS',
    'RunStatistics',
    'SiteParameters',
    'load_model_settings',
    'replay',
    'tabulate_replays',
)
