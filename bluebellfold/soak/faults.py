"""Hold the faults that a soak draws from."""

from collections.abc import Awaitable, Callable

from bluebellfold.core import Registry
from bluebellfold.soak.plan import Strike
from bluebellfold.soak.site import SoakSite

Fault = Callable[[SoakSite, Strike], Awaitable[None]]

FAULTS: Registry[str, Fault] = Registry(name='faults of a soak')
