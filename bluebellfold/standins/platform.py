"""Run the platform stand-in as a process."""

import asyncio
import signal
import sys

import fire

from bluebellfold.standins.object_api import LOOPBACK, PlatformStandin


async def serve(*, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    standin = PlatformStandin()
    await standin.start(host=host, port=port)
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    await stop_requested.wait()
    await standin.stop()


def main(host: str = LOOPBACK, port: int = 0) -> None:
    """Serve the object API on the host and port until SIGTERM."""
    asyncio.run(serve(host=host, port=port))


if __name__ == '__main__':
    fire.Fire(main)
