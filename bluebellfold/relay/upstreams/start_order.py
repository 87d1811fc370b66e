"""Decide which start of an upstream is the current one.

A start is known by its name and by the time of day at which it began. Two
starts can't be ordered by that time alone, since the clock of their VM may have
been set back in between. An announcement may also arrive late, after its sender
has crashed and the upstream has started again. So a start that seems older
replaces the known one as soon as other evidence shows that the known one is
gone.
"""

from collections.abc import Callable
from typing import Any

from bluebellfold.core import Announcement, Record, Registry, read_only

# A running upstream announces itself at least once in this many intervals.
MAX_QUIET_INTERVALS = 1.5
# One that is silent for this many intervals counts as down.
MAX_MISSED_INTERVALS = 2.5
# Announcements that were held up together arrive within less than this many
# intervals of each other.
MIN_CONFIRMING_INTERVALS = 0.5
# Starts of an upstream that are remembered as replaced or as candidates.
MAX_REMEMBERED_STARTS = 8

StartKey = tuple[str, int]


class StartVerdict(Record):
    """State whether an announcement applies, and on which evidence."""

    __slots__ = ('_accepted', '_evidence', '_restarted')

    accepted: bool = read_only('_accepted')
    evidence: str = read_only('_evidence')
    restarted: bool = read_only('_restarted')

    def __init__(
        self, *, accepted: bool, evidence: str, restarted: bool = False
    ) -> None:
        self._accepted = accepted
        self._evidence = evidence
        self._restarted = restarted


FIRST_START = StartVerdict(accepted=True, evidence='first-announcement')
SAME_START = StartVerdict(accepted=True, evidence='same-start')
# A newer announcement, or one of a later start, was already applied.
OLDER_ANNOUNCEMENT = StartVerdict(accepted=False, evidence='older-announcement')
# The announcement is of an upstream of another service.
OTHER_SERVICE = StartVerdict(accepted=False, evidence='other-service')
# Nothing shows yet that the known start is gone.
UNCONFIRMED_START = StartVerdict(accepted=False, evidence='unconfirmed-start')


class KnownStart:
    """Hold the last announcement of a start, and whether the start ended."""

    __slots__ = (
        '_announced_at',
        '_announcement',
        '_deregistered',
        '_port_closed',
    )

    def __init__(self, *, announcement: Announcement, now: float) -> None:
        self._announced_at = now
        self._announcement = announcement
        self._deregistered = False
        self._port_closed = False

    @property
    def announced_at(self) -> float:
        """Return when the start last announced itself."""
        return self._announced_at

    @property
    def announcement(self) -> Announcement:
        """Return the last announcement of the start."""
        return self._announcement

    @property
    def deregistered(self) -> bool:
        """Tell whether the start has deregistered."""
        return self._deregistered

    @property
    def port_closed(self) -> bool:
        """Tell whether the port was closed after the last announcement."""
        return self._port_closed

    @property
    def ended(self) -> bool:
        """Tell whether the start has deregistered or closed its port."""
        return self._deregistered or self._port_closed

    def continues_with(self, announcement: Announcement) -> bool:
        """Tell whether an announcement is the next one of the start.

        A start sends nothing after its deregistration. If it does, the
        deregistration was a late one of an earlier start with the same name.
        """
        return (
            announcement.start == self._announcement.start
            and announcement.sequence >= self._announcement.sequence
            and not self._deregistered
        )

    def renew(self, announcement: Announcement, now: float) -> None:
        """Record a further announcement of the start."""
        self._announced_at = now
        self._announcement = announcement
        self._port_closed = False

    def mark_deregistered(self) -> None:
        """Record that the start has deregistered."""
        self._deregistered = True

    def mark_port_closed(self) -> None:
        """Record that the port of the start is closed."""
        self._port_closed = True


class Candidate:
    """Hold what was heard from a start that isn't the known one.

    The known start has announced nothing since the first announcement of the
    candidate. Times count in intervals between announcements.
    """

    __slots__ = (
        '_announcement',
        '_first_heard_at',
        '_first_sequence',
        '_heard_intervals',
        '_known_silent_intervals',
        '_was_replaced',
    )

    def __init__(
        self, *, announcement: Announcement, was_replaced: bool, now: float
    ) -> None:
        self._announcement = announcement
        self._first_heard_at = now
        self._first_sequence = announcement.sequence
        self._heard_intervals = float(0)
        self._known_silent_intervals = float(0)
        self._was_replaced = was_replaced

    @property
    def announcement(self) -> Announcement:
        """Return the last announcement of the candidate."""
        return self._announcement

    @property
    def known_silent_intervals(self) -> float:
        """Return how long the known start had been silent by then."""
        return self._known_silent_intervals

    @property
    def was_replaced(self) -> bool:
        """Tell whether the candidate was the known start before."""
        return self._was_replaced

    @property
    def keeps_announcing(self) -> bool:
        """Tell whether announcements arrive that weren't held up together."""
        return (
            self._announcement.sequence > self._first_sequence
            and self._heard_intervals >= MIN_CONFIRMING_INTERVALS
        )

    def renew(
        self,
        announcement: Announcement,
        now: float,
        *,
        known: KnownStart,
        interval_seconds: float,
    ) -> None:
        """Record an announcement of the candidate."""
        self._announcement = announcement
        heard_seconds = now - self._first_heard_at
        silent_seconds = now - known.announced_at
        self._heard_intervals = heard_seconds / interval_seconds
        self._known_silent_intervals = silent_seconds / interval_seconds


ReplacementRule = Callable[[KnownStart, Candidate], bool]
REPLACEMENT_RULES: Registry[str, ReplacementRule] = Registry(
    name='evidence that another start is the current one',
)


@REPLACEMENT_RULES.add('known-start-ended')
def known_start_ended(known: KnownStart, candidate: Candidate) -> bool:
    """Accept a new start once the known one has deregistered or is refused."""
    return known.ended and not candidate.was_replaced


@REPLACEMENT_RULES.add('born-later')
def is_born_later(known: KnownStart, candidate: Candidate) -> bool:
    """Accept a start that began later, unless that could undo a drain."""
    if candidate.was_replaced or known.announcement.draining:
        return False
    return candidate.announcement.born > known.announcement.born


@REPLACEMENT_RULES.add('known-start-silent')
def known_start_is_silent(known: KnownStart, candidate: Candidate) -> bool:
    """Accept a new start if the known one has missed its announcements."""
    if candidate.was_replaced or known.announcement.draining:
        return False
    return candidate.known_silent_intervals > MAX_MISSED_INTERVALS


@REPLACEMENT_RULES.add('keeps-announcing')
def keeps_announcing(known: KnownStart, candidate: Candidate) -> bool:
    """Accept a start that announces itself while the known one doesn't."""
    return (
        candidate.keeps_announcing
        and candidate.known_silent_intervals > MAX_QUIET_INTERVALS
    )


class StartOrder:
    """Track the known start of an upstream and the candidates to replace it."""

    __slots__ = (
        '_candidates',
        '_deregistered_name',
        '_interval_seconds',
        '_known',
        '_replaced',
    )

    def __init__(self, *, interval_seconds: float) -> None:
        self._interval_seconds = interval_seconds
        self._known: KnownStart | None = None
        # Holds a deregistration from before the first announcement.
        self._deregistered_name = ''
        # The dictionaries are in order of insertion; the oldest are forgotten.
        self._candidates: dict[StartKey, Candidate] = {}
        self._replaced: dict[StartKey, None] = {}

    @property
    def announcement(self) -> Announcement | None:
        """Return the last announcement of the known start, None before it."""
        return None if self._known is None else self._known.announcement

    @property
    def announced_at(self) -> float:
        """Return when the known start last announced itself, 0 if never."""
        return 0 if self._known is None else self._known.announced_at

    @property
    def deregistered(self) -> bool:
        """Tell whether the known start has deregistered."""
        if self._known is None:
            return bool(self._deregistered_name)
        return self._known.deregistered

    @property
    def may_have_restarted(self) -> bool:
        """Tell whether a start may run that the known one hides.

        The port was closed, or another start has announced itself, since the
        last announcement of the known start.
        """
        if self._known is None:
            return False
        return self._known.port_closed or any(
            not candidate.was_replaced
            for candidate in self._candidates.values()
        )

    def judge(self, announcement: Announcement, now: float) -> StartVerdict:
        """Decide whether an announcement applies, and remember it if so."""
        known = self._known
        if known is None:
            self._adopt(announcement, now)
            self.mark_deregistered(self._deregistered_name)
            return FIRST_START
        if known.continues_with(announcement):
            known.renew(announcement, now)
            self._candidates.clear()
            return SAME_START
        candidate = self._find_candidate(known, announcement, now)
        if announcement.sequence < candidate.announcement.sequence:
            return OLDER_ANNOUNCEMENT
        candidate.renew(
            announcement,
            now,
            known=known,
            interval_seconds=self._interval_seconds,
        )
        return self._judge_candidate(known, candidate, now)

    def mark_deregistered(self, name: str) -> bool:
        """Record a deregistration; return False for the name of another."""
        known = self._known
        if known is None:
            self._deregistered_name = name
            return True
        if known.announcement.name != name:
            # A start that isn't the known one is no candidate any longer.
            self._forget_candidates(name)
            return False
        known.mark_deregistered()
        return True

    def mark_port_closed(self) -> None:
        """Record that the upstream's port is closed."""
        if self._known is not None:
            self._known.mark_port_closed()

    def _find_candidate(
        self, known: KnownStart, announcement: Announcement, now: float
    ) -> Candidate:
        key = announcement.start
        candidate = self._candidates.get(key)
        if candidate is None:
            candidate = Candidate(
                announcement=announcement,
                was_replaced=key in self._replaced
                or key == known.announcement.start,
                now=now,
            )
            self._candidates[key] = candidate
            _forget_oldest(self._candidates)
        return candidate

    def _judge_candidate(
        self, known: KnownStart, candidate: Candidate, now: float
    ) -> StartVerdict:
        for evidence in REPLACEMENT_RULES:
            if REPLACEMENT_RULES.find(evidence)(known, candidate):
                self._adopt(candidate.announcement, now)
                return StartVerdict(
                    accepted=True, evidence=evidence, restarted=True
                )
        if candidate.was_replaced:
            return OLDER_ANNOUNCEMENT
        return UNCONFIRMED_START

    def _forget_candidates(self, name: str) -> None:
        for key in tuple(self._candidates):
            if key[0] == name:
                self._candidates.pop(key)

    def _adopt(self, announcement: Announcement, now: float) -> None:
        if self._known is not None:
            self._replaced[self._known.announcement.start] = None
            _forget_oldest(self._replaced)
        self._replaced.pop(announcement.start, None)
        self._candidates.clear()
        self._known = KnownStart(announcement=announcement, now=now)


def _forget_oldest(remembered: dict[StartKey, Any]) -> None:
    while len(remembered) > MAX_REMEMBERED_STARTS:
        remembered.pop(next(iter(remembered)))
