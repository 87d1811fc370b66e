"""Define rows of the member table, their hashes and their order."""

import xxhash

from bluebellfold.core import Member, Record, read_only

BUCKETS = 256


class MemberRow(Record):
    """Store a member and, if it left, the seconds since then."""

    __slots__ = ('_left_seconds', '_member')

    left_seconds: int = read_only('_left_seconds')
    member: Member = read_only('_member')

    def __init__(self, *, member: Member, left_seconds: int = 0) -> None:
        self._member = member
        self._left_seconds = left_seconds


class BucketSummary(Record):
    """Identify rows of one bucket by their hashes."""

    __slots__ = ('_bucket', '_row_hashes')

    bucket: int = read_only('_bucket')
    row_hashes: tuple[int, ...] = read_only('_row_hashes')

    def __init__(self, *, bucket: int, row_hashes: tuple[int, ...]) -> None:
        self._bucket = bucket
        self._row_hashes = row_hashes


def bucket_of(name: str) -> int:
    """Return the number of the bucket for the member of this name."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


def row_hash(member: Member) -> int:
    """Return a 64-bit hash over every field of the member."""
    fields = (
        member.name,
        member.service,
        member.zone,
        str(member.endpoint),
        member.control_port,
        member.weight,
        member.state,
        member.incarnation,
        member.sequence,
    )
    return xxhash.xxh3_64_intdigest(repr(fields).encode())


def supersedes(member: Member, known: Member) -> bool:
    """Return whether a row replaces the known row of the same name.

    Two rows of equal version differ only if two processes share a name. The
    hash then decides, so that all tables keep the same row.
    """
    if member.version != known.version:
        return member.version > known.version
    return row_hash(member) > row_hash(known)


def with_newer_version(member: Member, known: Member | None) -> Member:
    """Return the member with a version that supersedes the known row.

    The version is raised if the process restarted after its clock was set
    back, or if another process marked it as left while it was paused.
    """
    if known is None or member.version > known.version:
        return member
    return member.replace(
        incarnation=known.incarnation,
        sequence=known.sequence + 1,
    )
