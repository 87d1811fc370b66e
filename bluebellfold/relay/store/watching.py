"""Watch the objects of one kind in the store."""

import asyncio
import logging
from abc import abstractmethod
from collections.abc import Callable
from random import random

from bluebellfold.collectors import log_event
from bluebellfold.core import (
    NO_ERA,
    Actor,
    Message,
    PlatformUnavailableError,
    Registry,
    Sentinel,
    StorePosition,
)
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
    LearnEra,
    Relist,
    ReportObjects,
    SetBalancers,
)
from bluebellfold.relay.store.renewal import renewal_seconds
from bluebellfold.relay.store.watched_history import WatchedHistory

# Longest pause between attempts until the first read succeeds.
MAX_FIRST_READ_DELAY_SECONDS = 0.2

_log = logging.getLogger(__name__)


class KindWatch(Actor):
    """List the objects of a kind, then watch it for changes.

    After a failure, and when the store no longer has the history since the
    last position, the kind is listed again. The last known objects stay in
    force while the store is unreachable. ``actor`` learns of a new era of the
    store. The actor ``copies``, if there is one, is told the objects as stored
    and whether the store confirms them. After a change the next call waits for
    ``settle_seconds``, so that changes in quick succession are one response.
    """

    reactions = Registry(name='reactions of the watch of a kind')

    def __init__(
        self,
        *,
        kind: str,
        client: ObjectStoreClient,
        actor: Actor,
        backoff: Backoff,
        wait_seconds: float,
        settle_seconds: float = 0,
        draw: Callable[[], float] = random,
        copies: Actor | None = None,
    ) -> None:
        super().__init__(name=f'watch-{kind}')
        self._kind = kind
        self._client = client
        self._actor = actor
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
        self._history = WatchedHistory()
        self._lacked_era = False
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

    def handle_unchanged(self, position: StorePosition) -> None:
        """Handle that nothing of the kind changed up to a position."""

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
        if self._history.position is None or self._watch_task is None:
            # The kind is being listed already.
            return
        log_event(_log, 'BBF0737', kind=self._kind, reason=message.reason)
        self._watch_task.cancel()
        self._history.reset()
        self._start_watch()

    @reactions.add(LearnEra)
    def _follow_era(self, message: LearnEra) -> None:
        position = self._history.position
        # A watch that waits since before may get no response for long.
        if position is not None and position.era < message.era:
            self._list_again(Relist(reason='the store is in a newer era'))

    def _start_watch(self) -> None:
        self._watch_task = self.supervise(
            self._watch_kind, name='follow', failed=self._handle_end
        )

    def _handle_end(self) -> None:
        # What was missed is read from a new list.
        self._history.reset()
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
        revision = self._history.revision
        if revision is None:
            await self._list()
            return False
        return await self._watch(revision)

    async def _list(self) -> None:
        listed = self._place(await self._client.list_objects(self._kind))
        self._advance(listed.position)
        self._unreadable.clear()
        self.replace_all(listed)
        self._report_objects(listed, is_complete=True)
        self._was_listed = True

    async def _watch(self, revision: int) -> bool:
        """Wait for changes after a revision, and return whether any came."""
        changes = await self._client.watch(
            self._kind,
            revision=revision,
            wait_seconds=renewal_seconds(
                self._wait_seconds, balancers=self._balancers, draw=self._draw
            ),
        )
        if isinstance(changes, Sentinel):
            log_event(_log, 'BBF0731', kind=self._kind, revision=revision)
            self._history.reset()
            return False
        changes = self._place(changes)
        if not self._history.continues(changes.position):
            # The revision may have been given out again on other content.
            self._history.reset()
            return False
        self._advance(changes.position)
        self._apply(changes)
        return bool(changes.changes)

    def _apply(self, changes: Changes) -> None:
        if changes.changes:
            self._unreadable.clear()
            self.apply(changes)
            self._report_objects(changes, is_complete=False)
        else:
            self.handle_unchanged(changes.position)
        if self._copies_lack_report:
            self._renew_copies()

    async def _handle_failure(self, error: StoreError) -> None:
        if self._failures == 0:
            log_event(
                _log,
                'BBF0301',
                object_name=self._kind,
                revision=self._history.revision,
                problem=error.problem,
            )
        # A watch that resumes after a gap may wait for its whole timeout before
        # it reports that its history is gone. Listing the kind again avoids
        # this.
        self._history.reset()
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
                revision=self._history.revision,
                failures=self._failures,
            )
        self._failures = 0
        self.handle_reachability(reachable=True)
        position = self._history.position
        if position is not None and not self._copies_lack_report:
            self._tell_copies(
                ConfirmObjects(kind=self._kind, position=position)
            )

    def _place(self, changes: Changes) -> Changes:
        """Return the changes with an era; raise StoreError if they are late."""
        if changes.position.era == NO_ERA and not self._lacked_era:
            self._lacked_era = True
            log_event(
                _log, 'BBF0764', kind=self._kind, era_known=self._history.era
            )
        position = self._history.place(changes.position)
        if self._history.is_late(position):
            raise PlatformUnavailableError(
                problem=f'the response is of the past era {position.era}',
                remedy='list the kind again',
            )
        return changes.replace(position=position)

    def _advance(self, position: StorePosition) -> None:
        era_before = self._history.era
        self._history.advance(position)
        if era_before in {NO_ERA, position.era}:
            return
        log_event(
            _log,
            'BBF0763',
            kind=self._kind,
            era=position.era,
            era_before=era_before,
            revision=position.revision,
        )
        self._actor.tell(LearnEra(era=position.era))

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
                position=changes.position,
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
            self._history.reset()

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
