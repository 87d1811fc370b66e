"""Replay load patterns in simulated time, with the product's decisions."""

from bluebellfold.model.ledger import Figures
from bluebellfold.model.patterns import PATTERNS
from bluebellfold.model.replay import replay
from bluebellfold.model.settings import ModelSettings, load_model
from bluebellfold.model.table import show_replays
from bluebellfold.model.world import ModelSite, Shape

__all__ = (
    'Figures',
    'ModelSettings',
    'ModelSite',
    'PATTERNS',
    'Shape',
    'load_model',
    'replay',
    'show_replays',
)
