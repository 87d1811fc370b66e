"""Store rows in hashed buckets, so that two stores can be compared."""

from collections.abc import Collection, Iterator

from bluebellfold.balancers.rows import (
    BUCKETS,
    BucketSummary,
    bucket_of,
    row_hash,
)
from bluebellfold.core import Member

BUCKET_HASH_MASK = 0xFFFFFFFF


class RowStore:
    """Store one row per name, with a hash per bucket and over all rows."""

    __slots__ = ('_bucket_hashes', '_buckets', '_root')

    def __init__(self) -> None:
        self._buckets: list[dict[str, Member]] = [{} for _ in range(BUCKETS)]
        self._bucket_hashes = [0 for _ in range(BUCKETS)]
        self._root = 0

    def __iter__(self) -> Iterator[Member]:
        """Iterate over the rows."""
        for bucket in self._buckets:
            yield from bucket.values()

    def __len__(self) -> int:
        """Return the number of rows."""
        return sum(len(bucket) for bucket in self._buckets)

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Return a 32-bit hash over the rows of each bucket."""
        return tuple(
            bucket_hash & BUCKET_HASH_MASK
            for bucket_hash in self._bucket_hashes
        )

    @property
    def root(self) -> int:
        """Return a 64-bit hash over all rows."""
        return self._root

    def find(self, name: str) -> Member | None:
        """Return the row of this name, or None."""
        return self._buckets[bucket_of(name)].get(name)

    def without(self, names: Collection[str]) -> tuple[Member, ...]:
        """Return all rows except those of these names."""
        if not names:
            return tuple(self)
        return tuple(
            member
            for bucket in self._buckets
            for name, member in bucket.items()
            if name not in names
        )

    def put(self, member: Member) -> None:
        """Store the row, and replace an earlier row of the same name."""
        self.remove(member.name)
        bucket = bucket_of(member.name)
        self._buckets[bucket][member.name] = member
        self._toggle(bucket, member)

    def remove(self, name: str) -> Member | None:
        """Remove and return the row of this name, if there is one."""
        bucket = bucket_of(name)
        member = self._buckets[bucket].pop(name, None)
        if member is not None:
            self._toggle(bucket, member)
        return member

    def summarize(self, bucket: int) -> BucketSummary:
        """Return the hashes of the bucket's rows."""
        return BucketSummary(
            bucket=bucket,
            row_hashes=tuple(map(row_hash, self._buckets[bucket].values())),
        )

    def rows_not_in(self, summary: BucketSummary) -> tuple[Member, ...]:
        """Return the rows of the bucket that are not in the summary."""
        summary_hashes = frozenset(summary.row_hashes)
        return tuple(
            member
            for member in self._buckets[summary.bucket].values()
            if row_hash(member) not in summary_hashes
        )

    def rows_in(self, summary: BucketSummary) -> tuple[Member, ...]:
        """Return the rows of the bucket that are in the summary."""
        summary_hashes = frozenset(summary.row_hashes)
        return tuple(
            member
            for member in self._buckets[summary.bucket].values()
            if row_hash(member) in summary_hashes
        )

    def missing_hashes(self, summary: BucketSummary) -> BucketSummary:
        """Return the hashes of the summary that match no row in the store."""
        held = frozenset(self.summarize(summary.bucket).row_hashes)
        return BucketSummary(
            bucket=summary.bucket,
            row_hashes=tuple(
                hashed for hashed in summary.row_hashes if hashed not in held
            ),
        )

    def _toggle(self, bucket: int, member: Member) -> None:
        # XOR is its own inverse and independent of the order of rows.
        hashed = row_hash(member)
        self._bucket_hashes[bucket] ^= hashed
        self._root ^= hashed
