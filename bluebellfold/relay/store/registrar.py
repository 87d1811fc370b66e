"""Maintain the entry of an agent in the list of agents in the store.

An agent writes one object when it hears its upstream, and deletes it when its
upstream has deregistered. A call without a response may be executed seconds
later if its condition still holds. Each registration therefore writes the
object, also where one with the same content exists: no deletion or replacement
that was sent before names the new revision.
"""

import asyncio
import logging
from typing import Any

from bluebellfold.collectors import log_event
from bluebellfold.core import Actor, Endpoint, Registry, Sentinel
from bluebellfold.platform import (
    MISSING_OBJECT,
    ObjectStoreClient,
    StoredObject,
    StoreError,
)
from bluebellfold.relay.agents import AgentEntry
from bluebellfold.relay.store.agents import AGENTS_KIND, create_backoff
from bluebellfold.relay.store.messages import (
    DeregisterAgent,
    RegisterAgent,
    VerifyRegistration,
)

# Each balancer that misses the entry tells so every 0.6 s. A rewritten entry is
# known to all of them within this time.
VERIFY_INTERVAL_SECONDS = 1.0

_log = logging.getLogger(__name__)


class AgentRegistrar(Actor):
    """Register this agent in the store while it has an upstream.

    Balancers look flows up at each listed agent, and reset a flow once all have
    denied it. An agent that is started after its upstream has left could deny
    none for the length of the idle time, so it isn't listed. An entry that
    stays until the agent stops would outlive a power loss before that.

    ``incarnation`` differs between starts of the agent.
    """

    reactions = Registry(name='reactions of the registrar')

    def __init__(
        self, *, endpoint: Endpoint, entry: AgentEntry, incarnation: int
    ) -> None:
        super().__init__(name='registrar')
        self._client = ObjectStoreClient(endpoint=endpoint)
        self._entry = entry
        self._incarnation = incarnation
        self._registrations = 0
        self._backoff = create_backoff()
        # Whether the entry has to be in the store; None until it is known.
        self._is_wanted: bool | None = None
        self._is_registered = False
        self._is_removed = False
        # The revision of the object as written or deleted last.
        self._revision = 0
        # A creation without a response may be executed after the deletion.
        self._may_reappear = False
        self._wish_changed = asyncio.Event()
        self._verify_due = float(0)

    @property
    def is_registered(self) -> bool:
        """Tell whether the entry of the current upstream is in the store."""
        return self._is_registered

    async def close(self) -> None:
        """Close the connection to the store."""
        await super().close()
        self._client.close()

    async def deregister(self) -> None:
        """Delete the object; keep it if the store is unreachable."""
        if self._is_removed and not self._may_reappear:
            return
        try:
            await self._delete_object()
        except StoreError as error:
            log_event(
                _log,
                'BBF0734',
                object_name=self._entry.address[0],
                revision=self._revision,
                problem=error.problem,
            )

    @reactions.add(RegisterAgent)
    def _start_registration(self, _: RegisterAgent) -> None:
        self._want_entry(wanted=True)

    @reactions.add(DeregisterAgent)
    def _start_deregistration(self, _: DeregisterAgent) -> None:
        self._want_entry(wanted=False)

    @reactions.add(VerifyRegistration)
    def _verify_registration(self, _: VerifyRegistration) -> None:
        now = asyncio.get_running_loop().time()
        # A registration that goes on reads the store anyway.
        if not self._is_registered or now < self._verify_due:
            return
        self._verify_due = now + VERIFY_INTERVAL_SECONDS
        log_event(
            _log,
            'BBF0760',
            object_name=self._entry.address[0],
            revision=self._revision,
        )
        self._is_registered = False
        self._wish_changed.set()

    def _want_entry(self, *, wanted: bool) -> None:
        if self._is_wanted is wanted:
            return
        if self._is_wanted is None:
            self.supervise(self._update_store, name='register')
        self._is_wanted = wanted
        self._is_registered = False
        self._is_removed = False
        self._registrations += wanted
        self._wish_changed.set()

    async def _update_store(self) -> None:
        while True:
            await self._wish_changed.wait()
            self._wish_changed.clear()
            await self._retry(wanted=bool(self._is_wanted))

    async def _retry(self, *, wanted: bool) -> None:
        """Write or delete the object until this succeeds or is outdated."""
        change = self._write_object if wanted else self._delete_object
        attempt = 0
        while self._is_wanted is wanted:
            try:
                done = await change()
            except StoreError as error:
                done = False
                if attempt == 0:
                    log_event(_log, 'BBF0306', problem=error.problem)
            if done:
                self._finish(wanted=wanted, attempt=attempt)
                return
            await asyncio.sleep(self._backoff.delay_seconds(attempt))
            attempt += 1

    def _finish(self, *, wanted: bool, attempt: int) -> None:
        self._is_removed = not wanted
        self._is_registered = wanted and bool(self._is_wanted)
        event = 'BBF0733' if wanted else 'BBF0757'
        log_event(
            _log,
            event,
            attempt=attempt,
            registration=self._registration_id,
            revision=self._revision,
        )

    async def _delete_object(self) -> bool:
        """Return whether the object is gone."""
        name = self._entry.address[0]
        stored = await self._client.read(AGENTS_KIND, name)
        if not isinstance(stored, StoredObject):
            return True
        self._revision = stored.revision
        log_event(_log, 'BBF0758', object_name=name, revision=stored.revision)
        refusal = await self._client.delete(AGENTS_KIND, name, stored.revision)
        return refusal is None or refusal is MISSING_OBJECT

    async def _write_object(self) -> bool:
        """Return whether the object of this registration is in the store."""
        # The name is the address of this machine, so that an object of another
        # registration was written by an earlier agent or for an earlier
        # upstream.
        name = self._entry.address[0]
        spec = self._encode_entry()
        stored = await self._client.read(AGENTS_KIND, name)
        if not isinstance(stored, StoredObject):
            return self._record_written(await self._create_object(name, spec))
        if stored.spec == spec:
            # The response to an earlier attempt was lost.
            return self._record_written(stored)
        replacement = StoredObject(
            name=name, revision=stored.revision, spec=spec
        )
        return self._record_written(
            await self._client.replace(AGENTS_KIND, replacement)
        )

    async def _create_object(
        self, name: str, spec: dict[str, Any]
    ) -> StoredObject | Sentinel:
        may_reappear = self._may_reappear
        self._may_reappear = True
        created = await self._client.create(AGENTS_KIND, name, spec)
        self._may_reappear = may_reappear
        return created

    def _record_written(self, written: StoredObject | Sentinel) -> bool:
        """Return whether a write took effect, none having come before."""
        if not isinstance(written, StoredObject):
            return False
        self._revision = written.revision
        return True

    def _encode_entry(self) -> dict[str, Any]:
        host, port = self._entry.address
        return {
            'host': host,
            'port': port,
            'service': self._entry.service,
            'zone': self._entry.zone,
            'registration': self._registration_id,
        }

    @property
    def _registration_id(self) -> str:
        return f'{self._incarnation}-{self._registrations}'
