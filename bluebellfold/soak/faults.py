"""Define the registry of faults for the soak test."""

from collections.abc import Awaitable, Callable

from bluebellfold.core import Registry
from bluebellfold.soak.plan import ScheduledFault
from bluebellfold.soak.site import SoakSite

FaultFunction = Callable[[SoakSite, ScheduledFault], Awaitable[None]]

FAULTS: Registry[str, FaultFunction] = Registry(name='faults of a soak')
