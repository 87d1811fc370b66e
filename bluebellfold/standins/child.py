"""Start, watch and signal one process of the demo or of a test."""

import asyncio
import signal
from pathlib import Path

READY_SECONDS = 20.0


class ChildFailedError(Exception):
    """Report a process that ended before it was ready."""


class Child:
    """Own one process, and keep what it writes in a file."""

    def __init__(self, *, name: str, host: str, ready: str) -> None:
        self._name = name
        self._host = host
        self._ready_mark = ready.encode()
        self._ready = asyncio.Event()
        self._written = asyncio.Event()
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._log: Path | None = None

    @property
    def name(self) -> str:
        """Return the process's name."""
        return self._name

    @property
    def host(self) -> str:
        """Return the IP number that the process binds."""
        return self._host

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(encoding='utf-8')

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return self._process.returncode

    async def start(self, command: tuple[str, ...], *, log: Path) -> None:
        """Start the process and wait until it is ready."""
        self._log = log
        self._process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._reading = asyncio.create_task(self._read())
        async with asyncio.timeout(READY_SECONDS):
            await self._ready.wait()
        if self.exit_code is not None:
            raise ChildFailedError(f'{self._name}: {self.log}')

    async def wait_for_log(self, mark: str, *, times: int = 1) -> None:
        """Return once the mark stands so many times in the log."""
        while self.log.count(mark) < times:
            self._written.clear()
            await self._written.wait()

    def send(self, sent: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.exit_code is None:
            self._process.send_signal(sent)

    def terminate(self) -> None:
        """Ask for a graceful stop."""
        self.send(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once, also a frozen one."""
        self.send(signal.SIGKILL)

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
        code = await self._process.wait()
        await self._reading
        return code

    async def _read(self) -> None:
        with self._log.open('ab') as kept:
            async for line in self._process.stdout:
                kept.write(line)
                kept.flush()
                self._written.set()
                if self._ready_mark in line:
                    self._ready.set()
        await self._process.wait()
        self._ready.set()
