"""Define how long operations tell the operator how far they are."""

from typing import Protocol


class Progress(Protocol):
    """Show how far a long operation is."""

    def start(self, label: str, total: int) -> None:
        """Begin to show an operation of ``total`` steps."""

    def advance(self, steps: int) -> None:
        """Record that so many more steps are done."""

    def finish(self) -> None:
        """End the operation."""
