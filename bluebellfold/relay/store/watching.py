"""Watch the objects of one kind in the store."""

import asyncio
import logging
from abc import abstractmethod
from collections.abc import Callable
from random import random

from bluebellfold.collectors import log_event
from bluebellfold.core import Actor, Message, Registry, Sentinel
from bluebellfold.core.backoff import Backoff
from bluebellfold.platform import (
    Changes,
    ObjectStoreClient,
    StoredObject,
    StoreError,
)
from bluebellfold.relay.store.messages import (
    ConfirmObjects,
    DisconnectObjects,
    Relist,
    ReportObjects,
    SetBalancers,
)
from bluebellfold.relay.store.renewal import renewal_seconds

# Longest pause between attempts until the first read succeeds.
MAX_FIRST_READ_DELAY_SECONDS = 0.2

_log = logging.getLogger(__name__)


class KindWatch(Actor):
    """List the objects of a kind, then watch it for changes.

    After a failure, and when the store no longer has the history since the
    last revision, the kind is listed again. The last known objects stay in
    force while the store is unreachable. The actor ``copies``, if there is one,
    is told the objects as stored and whether the store confirms them. After a
    change the next call waits for ``settle_seconds``, so that changes in quick
    succession are one response.
    """

    reactions = Registry(name='reactions of the watch of a kind')

    def __init__(
        self,
        *,
        kind: str,
        client: ObjectStoreClient,
        backoff: Backoff,
        wait_seconds: float,
        settle_seconds: float = 0,
        draw: Callable[[], float] = random,
        copies: Actor | None = None,
    ) -> None:
        super().__init__(name=f'watch-{kind}')
        self._kind = kind
        self._client = client
        self._backoff = backoff
        self._wait_seconds = wait_seconds
        self._settle_seconds = settle_seconds
        self._draw = draw
        self._copies = copies
        self._copies_lack_report = False
        self._unreadable: set[str] = set()
        self._balancers = 0
        self._failures = 0
        self._was_listed = False
        self._revision: int | None = None
        self._watch_task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Start the watch."""
        self._start_watch()

    async def close(self) -> None:
        """Close the connection to the store."""
        await super().close()
        self._client.close()

    @abstractmethod
    def replace_all(self, changes: Changes) -> None:
        """Replace all known objects of the kind by the listed ones."""

    @abstractmethod
    def apply(self, changes: Changes) -> None:
        """Apply changes to the known objects."""

    def handle_unchanged(self, revision: int) -> None:
        """Handle that nothing of the kind changed up to a revision."""

    def handle_reachability(self, *, reachable: bool) -> None:
        """Handle the success or failure of the last call to the store."""

    def exclude_from_copies(self, stored: StoredObject) -> None:
        """Leave an object that can't be used out of the copies."""
        self._unreadable.add(stored.name)

    @reactions.add(SetBalancers)
    def _set_balancers(self, message: SetBalancers) -> None:
        self._balancers = message.count

    @reactions.add(Relist)
    def _list_again(self, message: Relist) -> None:
        if self._revision is None or self._watch_task is None:
            # The kind is being listed already.
            return
        log_event(_log, 'BBF0737', kind=self._kind, reason=message.reason)
        self._watch_task.cancel()
        self._revision = None
        self._start_watch()

    def _start_watch(self) -> None:
        self._watch_task = self.supervise(
            self._watch_kind, name='follow', failed=self._handle_end
        )

    def _handle_end(self) -> None:
        # What was missed is read from a new list.
        self._revision = None
        self.handle_reachability(reachable=False)
        self._report_disconnection(was_silent=False)

    async def _watch_kind(self) -> None:
        while True:
            try:
                changed = await self._list_or_watch()
            except StoreError as error:
                await self._handle_failure(error)
                continue
            self._handle_success()
            if changed:
                await asyncio.sleep(self._settle_seconds)

    async def _list_or_watch(self) -> bool:
        """Make one call, and return whether a watch brought changes."""
        if self._revision is None:
            listed = await self._client.list_objects(self._kind)
            self._revision = listed.revision
            self._unreadable.clear()
            self.replace_all(listed)
            self._report_objects(listed, is_complete=True)
            self._was_listed = True
            return False
        changes = await self._client.watch(
            self._kind,
            revision=self._revision,
            wait_seconds=renewal_seconds(
                self._wait_seconds, balancers=self._balancers, draw=self._draw
            ),
        )
        if isinstance(changes, Sentinel):
            log_event(_log, 'BBF0731', kind=self._kind, revision=self._revision)
            self._revision = None
            return False
        self._revision = changes.revision
        if changes.changes:
            self._unreadable.clear()
            self.apply(changes)
            self._report_objects(changes, is_complete=False)
        else:
            self.handle_unchanged(changes.revision)
        if self._copies_lack_report:
            self._renew_copies()
        return bool(changes.changes)

    async def _handle_failure(self, error: StoreError) -> None:
        if self._failures == 0:
            log_event(
                _log,
                'BBF0301',
                object_name=self._kind,
                revision=self._revision,
                problem=error.problem,
            )
        # A watch that resumes after a gap may wait for its whole timeout before
        # it reports that its history is gone. Listing the kind again avoids
        # this.
        self._revision = None
        self.handle_reachability(reachable=False)
        self._report_disconnection(
            was_silent=isinstance(error.__cause__, TimeoutError)
        )
        delay = self._backoff.delay_seconds(self._failures)
        if not self._was_listed:
            # Nothing can be served until the kind is known.
            delay = min(delay, MAX_FIRST_READ_DELAY_SECONDS)
        self._failures += 1
        await asyncio.sleep(delay)

    def _handle_success(self) -> None:
        if self._failures:
            log_event(
                _log,
                'BBF0302',
                object_name=self._kind,
                revision=self._revision,
                failures=self._failures,
            )
        self._failures = 0
        self.handle_reachability(reachable=True)
        if self._revision is not None and not self._copies_lack_report:
            self._tell_copies(
                ConfirmObjects(kind=self._kind, revision=self._revision)
            )

    def _report_objects(self, changes: Changes, *, is_complete: bool) -> None:
        usable = tuple(
            change
            for change in changes.changes
            if change.deleted or change.stored.name not in self._unreadable
        )
        accepted = self._tell_copies(
            ReportObjects(
                kind=self._kind,
                changes=usable,
                revision=changes.revision,
                is_complete=is_complete,
                unreadable=frozenset(self._unreadable),
            )
        )
        # Until a complete report is accepted, the copies aren't confirmed: they
        # would count as known as of a revision that they aren't of.
        lacked_before = self._copies_lack_report and not is_complete
        self._copies_lack_report = lacked_before or not accepted

    def _renew_copies(self) -> None:
        """List the kind again for the copies, once they take messages."""
        if self._report_disconnection(was_silent=True):
            self._revision = None

    def _report_disconnection(self, *, was_silent: bool) -> bool:
        return self._tell_copies(
            DisconnectObjects(kind=self._kind, was_silent=was_silent)
        )

    def _tell_copies(self, message: Message) -> bool:
        """Return whether the copies, if there are any, take a message."""
        if self._copies is None:
            return True
        # The watch has to go on if the copies don't keep up.
        failed_before = self._failed_steps
        self.guard(self._copies.tell, message)
        return self._failed_steps == failed_before
