"""Store the gossip state of a process, and build its requests to peers."""

from collections.abc import Iterable
from random import Random

from bluebellfold.balancers.membership import MemberTable
from bluebellfold.balancers.peers import PeerSelector
from bluebellfold.balancers.rows import BUCKETS, MemberRow, with_newer_version
from bluebellfold.balancers.rumors import RumorQueue
from bluebellfold.balancers.swaps import (
    IN_SYNC,
    SwapRequest,
    SwapResponse,
    build_next_request,
    build_response,
    version_of,
)
from bluebellfold.core import Configuration, Member, Sentinel

# Larger batches come from the synchronisation with a peer and are not pushed.
MAX_RUMOR_ROWS = 64
# One round suffices: most processes get configurations from the platform.
CONFIGURATION_PUSH_ROUNDS = 1


class Replica:
    """Store the member table, the newest configuration and pending pushes."""

    __slots__ = (
        '_configuration',
        '_configuration_rounds_left',
        '_own_member',
        '_peers',
        '_rng',
        '_rumors',
        '_table',
    )

    def __init__(self, *, peers: PeerSelector, rng: Random, now: float) -> None:
        self._peers = peers
        self._rng = rng
        self._table = MemberTable()
        self._rumors = RumorQueue(now=now)
        self._own_member: Member | None = None
        self._configuration: Configuration | None = None
        self._configuration_rounds_left = 0

    @property
    def configuration(self) -> Configuration | None:
        """Return the newest known configuration, or None."""
        return self._configuration

    @property
    def has_pending_push(self) -> bool:
        """Return whether rows or a configuration remain to be pushed."""
        return bool(self._rumors) or self._configuration_rounds_left > 0

    def members(self) -> tuple[Member, ...]:
        """Return the members that have not left."""
        return self._table.members()

    def announce(self, member: Member, *, now: float) -> tuple[Member, ...]:
        """Merge the own row, and return the changed members."""
        self._own_member = member
        own = with_newer_version(member, self._table.rows.find(member.name))
        return self.merge((MemberRow(member=own),), now=now)

    def merge(
        self,
        rows: Iterable[MemberRow],
        *,
        now: float,
    ) -> tuple[Member, ...]:
        """Merge the rows, and return the changed members."""
        changed = self._table.merge(rows, now=now) + self._reassert(now)
        self._peers.update_members(changed, table=self._table.rows)
        if len(changed) <= MAX_RUMOR_ROWS:
            self._rumors.add(member.name for member in changed)
        return changed

    def update_configuration(self, configuration: Configuration | None) -> bool:
        """Store a configuration if it is newer; return whether it was."""
        if version_of(configuration) <= version_of(self._configuration):
            return False
        self._configuration = configuration
        self._configuration_rounds_left = CONFIGURATION_PUSH_ROUNDS
        return True

    def respond(self, request: SwapRequest, *, now: float) -> SwapResponse:
        """Return the response to a request whose content was already merged."""
        return build_response(
            self._table,
            request,
            configuration=self._configuration,
            now=now,
        )

    def begin_comparison(self, *, now: float) -> SwapRequest:
        """Return the first request of a comparison with a peer."""
        self._table.expire(now=now)
        return SwapRequest(
            root=self._table.rows.root,
            configuration_version=version_of(self._configuration),
        )

    def continue_comparison(
        self,
        response: SwapResponse,
        *,
        now: float,
    ) -> SwapRequest | Sentinel:
        """Return the next request after a response was merged, or IN_SYNC."""
        return build_next_request(
            self._table,
            response,
            configuration=self._configuration,
            buckets=self._rng.sample(range(BUCKETS), BUCKETS),
            now=now,
        )

    def build_push(
        self, *, peer_count: int, now: float
    ) -> SwapRequest | Sentinel:
        """Return the next push to this number of peers, or IN_SYNC."""
        names = self._rumors.next_batch(peer_count=peer_count, now=now)
        if not names and not self._configuration_rounds_left:
            return IN_SYNC
        self._configuration_rounds_left = max(
            0, self._configuration_rounds_left - 1
        )
        return self.build_row_push(names, now=now)

    def build_row_push(
        self, names: Iterable[str], *, now: float
    ) -> SwapRequest:
        """Return a request with the rows of these names."""
        members = map(self._table.rows.find, names)
        return SwapRequest(
            rows=tuple(
                self._table.build_row(member, now=now)
                for member in members
                if member is not None
            ),
            configuration_version=version_of(self._configuration),
        )

    def _reassert(self, now: float) -> tuple[Member, ...]:
        # Only this process may change its own row. A row that replaced it,
        # such as one from before a restart, is superseded.
        if self._own_member is None:
            return ()
        known = self._table.rows.find(self._own_member.name)
        if known is None or _differs_only_in_version(known, self._own_member):
            return ()
        own = with_newer_version(self._own_member, known)
        return self._table.merge((MemberRow(member=own),), now=now)


def _differs_only_in_version(known: Member, own: Member) -> bool:
    return known == own.replace(
        incarnation=known.incarnation,
        sequence=known.sequence,
    )
