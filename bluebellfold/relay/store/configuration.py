"""Watch the operator's configuration in the store."""

import logging
import random

from bluebellfold.collectors import log_event
from bluebellfold.core import Actor, Endpoint, Registry
from bluebellfold.core.backoff import Backoff
from bluebellfold.platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    Changes,
    ObjectStoreClient,
    StoredObject,
    decode_routing,
)
from bluebellfold.relay.store.messages import SetRoutesFresh, UpdateRoutes
from bluebellfold.relay.store.watching import KindWatch

# A connection can break without an error. A VM counts as connected again 4 s
# after its link returns, and a change must be in force within 3 s of that
# moment. With a wait of less than these 7 s in total, the call after a silent
# break reads the change in time.
WAIT_SECONDS = 5.0
# Longest pause between attempts, so that a change is in force in time after an
# outage of the store.
RETRY_CAP_SECONDS = 1.0

_log = logging.getLogger(__name__)


class ConfigurationWatch(KindWatch):
    """Report each newer configuration to the actor that serves clients."""

    reactions = Registry(
        name='reactions of the watch of the configuration',
        base=KindWatch.reactions,
    )

    def __init__(
        self, *, endpoint: Endpoint, actor: Actor, copies: Actor | None = None
    ) -> None:
        super().__init__(
            kind=CONFIGURATION_KIND,
            client=ObjectStoreClient(endpoint=endpoint),
            actor=actor,
            backoff=Backoff(
                randomness=random.Random(), cap_seconds=RETRY_CAP_SECONDS
            ),
            wait_seconds=WAIT_SECONDS,
            copies=copies,
        )

    def replace_all(self, changes: Changes) -> None:
        """Apply the listed configuration, if there is one."""
        self.apply(changes)

    def apply(self, changes: Changes) -> None:
        """Report each changed configuration that can be decoded."""
        for change in changes.changes:
            if change.stored.name != CONFIGURATION_NAME:
                self.exclude_from_copies(change.stored)
            elif not change.deleted:
                self._report_routes(change.stored)

    def handle_reachability(self, *, reachable: bool) -> None:
        """Report to the actor whether its configuration is up to date."""
        self._actor.tell(SetRoutesFresh(fresh=reachable))

    def _report_routes(self, stored: StoredObject) -> None:
        routes = decode_routing(stored.spec)
        if not routes:
            log_event(
                _log,
                'BBF0730',
                object_name=stored.name,
                revision=stored.revision,
                reason=routes.name,
            )
            self.exclude_from_copies(stored)
            return
        self._actor.tell(UpdateRoutes(routes=routes))
