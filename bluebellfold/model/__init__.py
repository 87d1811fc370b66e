"""Replay load patterns in simulated time, with the product's decisions."""

from bluebellfold.model.ledger import Figures
from bluebellfold.model.patterns import PATTERNS
from bluebellfold.model.replay import replay
from bluebellfold.model.world import ModelSite, Shape

__all__ = ('PATTERNS', 'Figures', 'ModelSite', 'Shape', 'replay')
