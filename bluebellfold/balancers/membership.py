"""Merge member rows, so that the newest row of each member is kept."""

from collections import OrderedDict
from collections.abc import Iterable

from bluebellfold.balancers.row_store import RowStore
from bluebellfold.balancers.rows import MemberRow, supersedes
from bluebellfold.core import LEFT, Member

TOMBSTONE_SECONDS = 3600.0
MAX_RETIRED_ROWS = 4096
# Longest time that a row spends in transit: the timeout of a call. With it
# added, the age of a tombstone never decreases when peers pass it on.
TRANSIT_SECONDS = 1


class MemberTable:
    """Store the newest row of each member.

    A row in state LEFT is a tombstone: it is included in the hashes for
    ``tombstone_seconds`` and is then retired. A bounded number of retired
    rows is kept. If a peer that was partitioned for a long time sends an
    older row of such a member, the tombstone is restored, not the member.
    """

    __slots__ = ('_left_at', '_retired', '_rows', '_tombstone_seconds')

    def __init__(
        self,
        *,
        tombstone_seconds: float = TOMBSTONE_SECONDS,
    ) -> None:
        self._tombstone_seconds = tombstone_seconds
        self._rows = RowStore()
        self._left_at: dict[str, float] = {}
        self._retired: OrderedDict[str, Member] = OrderedDict()

    @property
    def rows(self) -> RowStore:
        """Return the current rows, including tombstones, for reading only."""
        return self._rows

    def members(self) -> tuple[Member, ...]:
        """Return the rows of the members that have not left."""
        return self._rows.without(self._left_at)

    def merge(
        self,
        rows: Iterable[MemberRow],
        *,
        now: float,
    ) -> tuple[Member, ...]:
        """Merge the rows, and return the members whose rows were newer."""
        return tuple(row.member for row in rows if self._merge_row(row, now))

    def expire(self, *, now: float) -> None:
        """Retire the tombstones older than ``tombstone_seconds``."""
        oldest_kept = now - self._tombstone_seconds
        expired = tuple(
            name
            for name, left_at in self._left_at.items()
            if left_at <= oldest_kept
        )
        for name in expired:
            self._retire(name)

    def build_row(self, member: Member, *, now: float) -> MemberRow:
        """Return the row that is sent to peers for the member."""
        left_at = self._left_at.get(member.name)
        if left_at is None:
            return MemberRow(member=member)
        return MemberRow(
            member=member,
            left_seconds=int(now - left_at) + TRANSIT_SECONDS,
        )

    def _merge_row(self, row: MemberRow, now: float) -> bool:
        member = row.member
        left_at = now - row.left_seconds
        known = self._rows.find(member.name)
        if known is None:
            return self._merge_unknown(member, left_at, now)
        if member == known:
            self._record_left_at(member, left_at)
            return False
        if not supersedes(member, known):
            return False
        self._put(member, left_at)
        return True

    def _merge_unknown(
        self,
        member: Member,
        left_at: float,
        now: float,
    ) -> bool:
        expired = left_at <= now - self._tombstone_seconds
        if member.state == LEFT and expired:
            return False
        retired = self._retired.pop(member.name, None)
        if retired is None or supersedes(member, retired):
            self._put(member, left_at)
            return True
        # An older row restores the retired row as a new tombstone.
        self._put(retired, left_at if member == retired else now)
        return False

    def _record_left_at(self, member: Member, left_at: float) -> None:
        if member.state != LEFT:
            return
        earlier = min(left_at, self._left_at[member.name])
        self._left_at[member.name] = earlier

    def _put(self, member: Member, left_at: float) -> None:
        self._rows.put(member)
        self._left_at.pop(member.name, None)
        if member.state == LEFT:
            self._left_at[member.name] = left_at

    def _retire(self, name: str) -> None:
        self._left_at.pop(name)
        self._retired[name] = self._rows.remove(name)
        if len(self._retired) > MAX_RETIRED_ROWS:
            self._retired.popitem(last=False)
