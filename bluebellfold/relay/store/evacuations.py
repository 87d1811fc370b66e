"""Watch which zones the operator has evacuated."""

import logging
import random

from bluebellfold.collectors import log_event
from bluebellfold.core import (
    Actor,
    Endpoint,
    Registry,
    Sentinel,
    StorePosition,
)
from bluebellfold.core.backoff import Backoff
from bluebellfold.platform import (
    EVACUATIONS_KIND,
    UNUSABLE_ZONE,
    Change,
    Changes,
    ObjectStoreClient,
    StoredObject,
    decode_evacuated_zone,
)
from bluebellfold.relay.store.messages import UpdateEvacuations
from bluebellfold.relay.store.watching import KindWatch

# If the connection of the watch breaks without an error, a list read after this
# time and the timeout of a call shows a missed evacuation. A VM counts as
# connected again 4 s after its link returns, and the bound of an evacuation is
# 5 s from then on.
WAIT_SECONDS = 5.0
# An evacuation must be in force within 5 s after the store is well again.
RETRY_CAP_SECONDS = 1.0
# Unusable entries that are logged, each name once.
MAX_REJECTED = 1_000

_log = logging.getLogger(__name__)


class EvacuationWatch(KindWatch):
    """Report the evacuated zones to the actor that serves clients."""

    reactions = Registry(
        name='reactions of the watch of evacuations', base=KindWatch.reactions
    )

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        actor: Actor,
        wait_seconds: float = WAIT_SECONDS,
        copies: Actor | None = None,
    ) -> None:
        super().__init__(
            kind=EVACUATIONS_KIND,
            client=ObjectStoreClient(endpoint=endpoint),
            actor=actor,
            backoff=Backoff(
                randomness=random.Random(), cap_seconds=RETRY_CAP_SECONDS
            ),
            wait_seconds=wait_seconds,
            copies=copies,
        )
        self._zones: set[str] = set()
        self._rejected: set[str] = set()

    def replace_all(self, changes: Changes) -> None:
        """Replace the evacuated zones by the listed ones, and report them."""
        self._zones.clear()
        self.apply(changes)

    def apply(self, changes: Changes) -> None:
        """Apply begun and ended evacuations, and report all of them."""
        for change in changes.changes:
            self._apply_change(change)
        self._report(changes.position)

    def handle_unchanged(self, position: StorePosition) -> None:
        """Report that the evacuated zones hold as of a newer position."""
        self._report(position)

    def _apply_change(self, change: Change) -> None:
        zone = decode_evacuated_zone(change.stored)
        if isinstance(zone, Sentinel):
            self._reject(change.stored)
            return
        self._zones.discard(zone)
        if not change.deleted:
            self._zones.add(zone)

    def _report(self, position: StorePosition) -> None:
        self._actor.tell(
            UpdateEvacuations(zones=frozenset(self._zones), position=position)
        )

    def _reject(self, stored: StoredObject) -> None:
        self.exclude_from_copies(stored)
        # The kind is listed anew after each interruption of the watch.
        if stored.name in self._rejected or len(self._rejected) >= MAX_REJECTED:
            return
        self._rejected.add(stored.name)
        log_event(
            _log,
            'BBF0748',
            object_name=stored.name,
            revision=stored.revision,
            reason=UNUSABLE_ZONE.name,
        )
