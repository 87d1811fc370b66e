"""Watch the list of agents in the store.

State that changes often, such as the load, is sent to the balancers directly
and not stored.
"""

import ipaddress
import logging
import random
from collections.abc import Iterable
from typing import Any

from bluebellfold.collectors import log_event
from bluebellfold.core import (
    NO_POSITION,
    Actor,
    Endpoint,
    Registry,
    StorePosition,
)
from bluebellfold.core.backoff import Backoff
from bluebellfold.platform import Changes, ObjectStoreClient, StoredObject
from bluebellfold.relay.agents import AgentEntry
from bluebellfold.relay.store.messages import UpdateAgents
from bluebellfold.relay.store.watching import KindWatch

AGENTS_KIND = 'bluebellfold-agents'
# If the connection of the watch breaks without an error, a new agent becomes
# known after this time at the latest. Other agents serve meanwhile.
WAIT_SECONDS = 10.0
# At a start of the whole site agents are listed one by one within some seconds.
# A response for each of them to each balancer would be most of the calls of a
# quiet day. A new agent may be known later by this time.
SETTLE_SECONDS = 0.5
# The next call is answered within this time after that if the list has changed
# meanwhile: the store responds in 4 ms, and the process may be busy.
RESPONSE_SECONDS = 0.1
# Agents must be listed within 2 s after the store is reachable again.
RETRY_CAP_SECONDS = 1.0
MAX_PORT = 65_535
# Unreadable entries that are logged, each revision once.
MAX_REJECTED = 1_000

_log = logging.getLogger(__name__)


class AgentWatch(KindWatch):
    """Report the entries of all agents to the actor that serves clients."""

    reactions = Registry(
        name='reactions of the watch of agents', base=KindWatch.reactions
    )

    def __init__(
        self, *, endpoint: Endpoint, actor: Actor, copies: Actor | None = None
    ) -> None:
        super().__init__(
            kind=AGENTS_KIND,
            client=ObjectStoreClient(endpoint=endpoint),
            actor=actor,
            backoff=create_backoff(),
            wait_seconds=WAIT_SECONDS,
            settle_seconds=SETTLE_SECONDS,
            copies=copies,
        )
        self._entries: dict[str, AgentEntry] = {}
        self._newest = NO_POSITION
        self._rejected: dict[str, int] = {}

    def replace_all(self, changes: Changes) -> None:
        """Replace the known entries by the listed ones, and report them.

        An entry that has become unreadable stays as it was: only its
        deletion shows that the agent has left.
        """
        listed = {change.stored.name for change in changes.changes}
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if name in listed
        }
        self._update_entries(changes)
        self._report_entries(changes, next_read_seconds=0)

    def apply(self, changes: Changes) -> None:
        """Apply written and deleted entries, and report all of them."""
        self._update_entries(changes)
        self._report_entries(
            changes, next_read_seconds=SETTLE_SECONDS + RESPONSE_SECONDS
        )

    def _update_entries(self, changes: Changes) -> None:
        for change in changes.changes:
            name = change.stored.name
            if change.deleted:
                self._entries.pop(name, None)
                continue
            entry = decode_agent(change.stored.spec)
            if entry is None:
                self._reject(change.stored)
                continue
            self._entries[name] = entry
            # The position of the agent that was written last. All balancers
            # that know this agent compute the same one, whenever they read the
            # list.
            written = StorePosition(
                era=changes.position.era, revision=change.stored.revision
            )
            self._newest = max(self._newest, written)

    def _report_entries(
        self, changes: Changes, *, next_read_seconds: float
    ) -> None:
        self._actor.tell(
            list_agents(
                self._entries.values(),
                position=self._newest,
                as_of=changes.position,
                next_read_seconds=next_read_seconds,
            )
        )

    def _reject(self, stored: StoredObject) -> None:
        self.exclude_from_copies(stored)
        # The list is read anew after each interruption of the watch.
        if self._rejected.get(stored.name) == stored.revision:
            return
        if len(self._rejected) < MAX_REJECTED:
            self._rejected[stored.name] = stored.revision
            log_event(
                _log,
                'BBF0732',
                object_name=stored.name,
                revision=stored.revision,
            )


def list_agents(
    entries: Iterable[AgentEntry],
    *,
    position: StorePosition,
    as_of: StorePosition | None = None,
    next_read_seconds: float = 0,
    peer: str = '',
) -> UpdateAgents:
    """Return the list of agents, one for each address, in order."""
    by_address = {entry.address: entry for entry in entries}
    return UpdateAgents(
        entries=tuple(by_address[key] for key in sorted(by_address)),
        position=position,
        as_of=as_of,
        next_read_seconds=next_read_seconds,
        peer=peer,
    )


def decode_agent(spec: Any) -> AgentEntry | None:
    """Return the entry of an agent as stored, None if it is unreadable."""
    if not isinstance(spec, dict):
        return None
    host = spec.get('host')
    port = spec.get('port')
    if isinstance(port, bool) or not isinstance(port, int):
        return None
    if not isinstance(host, str) or not 0 < port <= MAX_PORT:
        return None
    labels = spec.get('service', ''), spec.get('zone', '')
    if not all(isinstance(label, str) for label in labels):
        return None
    try:
        address = (str(ipaddress.IPv4Address(host)), port)
    except ValueError:
        return None
    return AgentEntry(address=address, service=labels[0], zone=labels[1])


def create_backoff() -> Backoff:
    """Return the delays between calls that concern the list of agents."""
    return Backoff(randomness=random.Random(), cap_seconds=RETRY_CAP_SECONDS)
