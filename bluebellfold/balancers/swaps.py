"""Build the requests and responses of a comparison of member tables."""

from collections.abc import Iterable
from itertools import islice

from bluebellfold.balancers.membership import MemberTable
from bluebellfold.balancers.rows import BUCKETS, BucketSummary, MemberRow
from bluebellfold.core import (
    Configuration,
    Member,
    Record,
    Sentinel,
    read_only,
)

MAX_ROWS_PER_SWAP = 250
# No further bucket is summarised in a request with this many hashes.
HASHES_PER_SWAP = 1024
NO_CONFIGURATION = 0

IN_SYNC = Sentinel(name='in-step', reason='nothing is left to exchange')


class SwapRequest(Record):
    """Send rows to a peer, and request rows that differ.

    ``root`` is None if no comparison is requested.
    """

    __slots__ = (
        '_configuration',
        '_configuration_version',
        '_root',
        '_rows',
        '_summaries',
    )

    configuration: Configuration | None = read_only('_configuration')
    configuration_version: int = read_only('_configuration_version')
    root: int | None = read_only('_root')
    rows: tuple[MemberRow, ...] = read_only('_rows')
    summaries: tuple[BucketSummary, ...] = read_only('_summaries')

    def __init__(
        self,
        *,
        root: int | None = None,
        summaries: tuple[BucketSummary, ...] = (),
        rows: tuple[MemberRow, ...] = (),
        configuration_version: int = NO_CONFIGURATION,
        configuration: Configuration | None = None,
    ) -> None:
        self._root = root
        self._summaries = summaries
        self._rows = rows
        self._configuration_version = configuration_version
        self._configuration = configuration


class SwapResponse(Record):
    """Return rows that the peer lacks, and request rows from it."""

    __slots__ = (
        '_bucket_hashes',
        '_configuration',
        '_configuration_version',
        '_rows',
        '_wanted',
    )

    bucket_hashes: tuple[int, ...] = read_only('_bucket_hashes')
    configuration: Configuration | None = read_only('_configuration')
    configuration_version: int = read_only('_configuration_version')
    rows: tuple[MemberRow, ...] = read_only('_rows')
    wanted: tuple[BucketSummary, ...] = read_only('_wanted')

    def __init__(
        self,
        *,
        bucket_hashes: tuple[int, ...] = (),
        rows: tuple[MemberRow, ...] = (),
        wanted: tuple[BucketSummary, ...] = (),
        configuration_version: int = NO_CONFIGURATION,
        configuration: Configuration | None = None,
    ) -> None:
        self._bucket_hashes = bucket_hashes
        self._rows = rows
        self._wanted = wanted
        self._configuration_version = configuration_version
        self._configuration = configuration


def version_of(configuration: Configuration | None) -> int:
    """Return the version of the configuration, or NO_CONFIGURATION."""
    if configuration is None:
        return NO_CONFIGURATION
    return configuration.version


def build_response(
    table: MemberTable,
    request: SwapRequest,
    *,
    configuration: Configuration | None,
    now: float,
) -> SwapResponse:
    """Return the response to a request whose rows were already merged."""
    version = version_of(configuration)
    newer = version > request.configuration_version
    differs = request.root is not None and request.root != table.rows.root
    return SwapResponse(
        bucket_hashes=table.rows.bucket_hashes if differs else (),
        rows=_rows_not_in_summaries(table, request.summaries, now),
        wanted=_missing_hashes(table, request.summaries),
        configuration_version=version,
        configuration=configuration if newer else None,
    )


def build_next_request(
    table: MemberTable,
    response: SwapResponse,
    *,
    configuration: Configuration | None,
    buckets: Iterable[int],
    now: float,
) -> SwapRequest | Sentinel:
    """Return the next request after a response was merged, or IN_SYNC.

    ``buckets`` gives the order in which differing buckets are compared. With
    a random order, requests of bounded size eventually cover all of them.
    """
    version = version_of(configuration)
    peer_outdated = response.configuration_version < version
    summaries = _summaries(table, response.bucket_hashes, buckets)
    rows = _wanted_rows(table, response.wanted, now)
    if not (summaries or rows or response.rows or peer_outdated):
        return IN_SYNC
    return SwapRequest(
        root=table.rows.root if rows or response.rows else None,
        summaries=summaries,
        rows=rows,
        configuration_version=version,
        configuration=configuration if peer_outdated else None,
    )


def _summaries(
    table: MemberTable,
    bucket_hashes: tuple[int, ...],
    buckets: Iterable[int],
) -> tuple[BucketSummary, ...]:
    if len(bucket_hashes) != BUCKETS:
        return ()
    own = table.rows.bucket_hashes
    summaries: list[BucketSummary] = []
    hashes = 0
    for bucket in buckets:
        if own[bucket] == bucket_hashes[bucket]:
            continue
        if hashes >= HASHES_PER_SWAP:
            break
        summary = table.rows.summarize(bucket)
        summaries.append(summary)
        hashes += len(summary.row_hashes)
    return tuple(summaries)


def _rows_not_in_summaries(
    table: MemberTable,
    summaries: tuple[BucketSummary, ...],
    now: float,
) -> tuple[MemberRow, ...]:
    members = (
        member
        for summary in summaries
        for member in table.rows.rows_not_in(summary)
    )
    return _build_rows(table, members, now)


def _wanted_rows(
    table: MemberTable,
    summaries: tuple[BucketSummary, ...],
    now: float,
) -> tuple[MemberRow, ...]:
    wanted = (
        member
        for summary in summaries
        for member in table.rows.rows_in(summary)
    )
    return _build_rows(table, wanted, now)


def _build_rows(
    table: MemberTable,
    members: Iterable[Member],
    now: float,
) -> tuple[MemberRow, ...]:
    return tuple(
        table.build_row(member, now=now)
        for member in islice(members, MAX_ROWS_PER_SWAP)
    )


def _missing_hashes(
    table: MemberTable,
    summaries: tuple[BucketSummary, ...],
) -> tuple[BucketSummary, ...]:
    wanted = (
        table.rows.missing_hashes(summary)
        for summary in summaries
        if summary.row_hashes
    )
    return tuple(summary for summary in wanted if summary.row_hashes)
