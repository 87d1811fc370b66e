"""Start and stop a child process of the demo or of a test."""

import asyncio
import signal
from pathlib import Path

READY_TIMEOUT_SECONDS = 20.0


class ChildFailedError(Exception):
    """Report that a process exited before it was ready."""


class Child:
    """Own one process and write its output to a log file."""

    def __init__(self, *, name: str, host: str, ready: str) -> None:
        self._name = name
        self._host = host
        self._ready_text = ready.encode()
        self._ready = asyncio.Event()
        self._log_extended = asyncio.Event()
        self._process: asyncio.subprocess.Process | None = None
        self._output_task: asyncio.Task[None] | None = None
        self._log: Path | None = None

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return self._name

    @property
    def host(self) -> str:
        """Return the IP address that the process binds."""
        return self._host

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def log(self) -> str:
        """Return the output of the process so far."""
        return self._log.read_text(encoding='utf-8')

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process is running."""
        return self._process.returncode

    async def start(self, command: tuple[str, ...], *, log: Path) -> None:
        """Start the process and wait until it is ready.

        Raises TimeoutError, or ChildFailedError if the process exits first.
        """
        self._log = log
        self._process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._output_task = asyncio.create_task(self._copy_output())
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            await self._ready.wait()
        if self.exit_code is not None:
            raise ChildFailedError(f'{self._name}: {self.log}')

    async def wait_for_log(self, text: str, *, times: int = 1) -> None:
        """Wait until the log contains the text the given number of times."""
        while self.log.count(text) < times:
            self._log_extended.clear()
            await self._log_extended.wait()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.exit_code is None:
            self._process.send_signal(signal_number)

    def terminate(self) -> None:
        """Request a graceful stop."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process, even if it is stopped by SIGSTOP."""
        self.send_signal(signal.SIGKILL)

    async def wait(self) -> int:
        """Wait until the process exits and return its exit code."""
        code = await self._process.wait()
        await self._output_task
        return code

    async def _copy_output(self) -> None:
        with self._log.open('ab') as log_file:
            async for line in self._process.stdout:
                log_file.write(line)
                log_file.flush()
                self._log_extended.set()
                if self._ready_text in line:
                    self._ready.set()
        await self._process.wait()
        self._ready.set()
