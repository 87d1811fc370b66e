"""Judge what callers and upstreams saw of a run."""

from bluebellfold.core import Record, read_only

# A machine is judged again this long after its last trouble, as on the
# users' platform.
TOUCH_SECONDS = 4.0
# How late a change of the configuration may be in force.
IN_FORCE_SECONDS = 4.0
# How long after its acknowledgement a drain may still bring new flows.
DRAIN_SECONDS = 3.0


class Trouble(Record):
    """State when something was disturbed; ``what`` names it."""

    __slots__ = ('_began', '_ended', '_what')

    began: float = read_only('_began')
    ended: float = read_only('_ended')
    what: str = read_only('_what')

    def __init__(self, *, what: str, began: float, ended: float) -> None:
        self._what = what
        self._began = began
        self._ended = ended


class Ledger:
    """Collect troubles and broken promises."""

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.served = 0
        self.failed = 0
        self._troubles: list[Trouble] = []
        self._runs: dict[bytes, list[str]] = {}

    def note_trouble(self, what: str, *, began: float, ended: float) -> None:
        """Note that something was or will be disturbed for a while."""
        self._troubles.append(Trouble(what=what, began=began, ended=ended))

    def is_calm(self, what: str, *, at: float) -> bool:
        """Tell whether something was undisturbed long enough to be judged.

        >>> ledger = Ledger()
        >>> ledger.note_trouble('agent-1', began=1, ended=3)
        >>> [ledger.is_calm('agent-1', at=at) for at in (0.5, 2, 6, 8)]
        [True, False, False, True]
        """
        return not any(
            trouble.what == what
            and trouble.began <= at <= trouble.ended + TOUCH_SECONDS
            for trouble in self._troubles
        )

    def note_run(self, request: bytes, upstream: str) -> None:
        """Note that an upstream began to work on a request."""
        runs = self._runs.setdefault(request, [])
        runs.append(upstream)
        if len(runs) > 1:
            self.broken.append(f'{request!r} ran more than once, at {runs}')

    def note_answer(self, answer: bytes, request: bytes, upstream: str) -> None:
        """Note an answer on a flow that an upstream serves."""
        self.served += 1
        if answer != b'%s:%s' % (upstream.encode(), request):
            self.broken.append(f'{answer!r} came for {request!r} of {upstream}')

    def note_reset(
        self, flow: str, *, upstream: str, agent: str, holds: bool, at: float
    ) -> None:
        """Note that the flow of an upstream was reset."""
        self.failed += 1
        if holds and self.is_calm(agent, at=at):
            self.broken.append(
                f'{flow} was reset at {at:.2f} while {upstream} held it'
            )

    def note_drained(self, upstream: str, *, opened: int) -> None:
        """Note how many flows opened long after a drain was acknowledged."""
        if opened:
            self.broken.append(
                f'{opened} flows reached {upstream} in its drain'
            )

    def note_probe(
        self, balancer: str, *, is_open: bool, wanted: bool, at: float
    ) -> None:
        """Note whether a route was in force at a balancer in touch."""
        if is_open != wanted:
            self.broken.append(
                f'{balancer} had a route at {at:.2f}: {is_open}, not {wanted}'
            )

    def note_end(self, process: str, code: int | None) -> None:
        """Note how a process that was asked to stop has ended."""
        if code != 0:
            self.broken.append(f'{process} was asked to stop and ended: {code}')
