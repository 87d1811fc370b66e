"""Enforce the deadlines of requests."""

from bluebellfold.core import SLOT
from bluebellfold.upstreams.messages import Request


class RequestDeadline:
    """Track whether the deadline of one request applies and has passed.

    For a request that uses a slot the deadline applies until the response is
    complete. A long stream may never complete, so there it applies only
    until the response head arrives.
    """

    __slots__ = ('_request', '_response_started')

    def __init__(self, *, request: Request) -> None:
        self._request = request
        self._response_started = False

    @property
    def enforced(self) -> bool:
        """Return whether the request ends when its deadline passes."""
        return self._request.kind.holds == SLOT or not self._response_started

    def mark_response_started(self) -> None:
        """Record that the response head arrived."""
        self._response_started = True

    def expired(self, now: float) -> bool:
        """Return whether the deadline is enforced and has passed."""
        return self.enforced and now >= self._request.deadline_at

    def remaining(self, now: float) -> float:
        """Return the time until the deadline in seconds, at least 0."""
        return max(0, self._request.deadline_at - now)
