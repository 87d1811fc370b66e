"""Offer the command line of the system."""

import importlib
import sys
from collections.abc import Sequence
from functools import partial

import fire

from bluebellfold.core import BluebellfoldError, SettingsError
from bluebellfold.ini import use_one_of
from bluebellfold.operators.arguments import (
    takes_deadline,
    takes_files,
    takes_names,
    takes_version,
)
from bluebellfold.operators.configuring import (
    apply_files,
    check_files,
    show_difference,
    show_history,
)
from bluebellfold.operators.exit_codes import SUCCEEDED, exit_code_of
from bluebellfold.operators.invocation import (
    Invocation,
    complain,
    invoke_async,
    say,
)
from bluebellfold.operators.key_rotation import new_keys, rotate_keys
from bluebellfold.operators.starting import run_role
from bluebellfold.operators.supervising import drain_process, show_status
from bluebellfold.relay.operators import explain_file

PROGRAM = 'bluebellfold'
RELAY_ROLES = ('agent', 'balancer')


class ConfigCommands:
    """Check, compare and apply the configuration of a site."""

    @takes_files
    def check(self, base: str, site: str) -> Invocation:
        """Check the base file and the overlay of a site.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
        """
        return Invocation(partial(check_files, base, site))

    @takes_files
    def diff(self, base: str, site: str) -> Invocation:
        """Show what apply would change, and the version in force.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
        """
        return invoke_async(partial(show_difference, base, site))

    @takes_files
    @takes_names
    @takes_version
    def apply(
        self,
        base: str,
        site: str,
        version: int | None = None,
        operation: str = '',
    ) -> Invocation:
        """Put the files in force; safe to run twice.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
            version: Version that config diff showed; refuse any other.
            operation: Name of this change in the history, unique.
        """
        return invoke_async(
            partial(
                apply_files,
                base,
                site,
                version=version,
                operation=operation,
            ),
        )

    @takes_files
    def history(self, base: str, site: str) -> Invocation:
        """Show the late versions and the operations that wrote them.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
        """
        return invoke_async(partial(show_history, base, site))


class KeysCommands:
    """Make and rotate the token and envelope keys."""

    @takes_files
    def new(self, path: str) -> Invocation:
        """Make a file of new keys that only its owner can read.

        Args:
            path: Path of the file, which must not exist.
        """
        return Invocation(partial(new_keys, path))

    @takes_files
    def rotate(self, path: str) -> Invocation:
        """Take the next of the two steps of a rotation.

        Args:
            path: Path of the file of keys.
        """
        return Invocation(partial(_rotate, path))


class Commands:
    """Run and operate a layer-4 load balancer.

    Exit codes: 0 succeeded, 1 failed, 2 settings or command line wrong,
    3 another change came first, 4 the platform did not answer.
    """

    config = ConfigCommands()
    keys = KeysCommands()

    @takes_files
    def balancer(self, base: str, site: str, process: str) -> Invocation:
        """Run a balancer until SIGTERM.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
            process: Path of the settings of this process.
        """
        return Invocation(partial(run_role, 'balancer', base, site, process))

    @takes_files
    def agent(self, base: str, site: str, process: str) -> Invocation:
        """Run the agent beside an upstream until SIGTERM.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
            process: Path of the settings of this process.
        """
        return Invocation(partial(run_role, 'agent', base, site, process))

    @takes_files
    @takes_names
    def explain(self, wanted: str, log: str) -> Invocation:
        """Tell from a log what became of a request or a flow, and why.

        Args:
            wanted: Id of a request, or a flow as logs show it.
            log: Path of a file with the lines of all processes.
        """
        return Invocation(partial(_explain, wanted, log))

    @takes_files
    @takes_names
    def relay(self, role: str, settings: str) -> Invocation:
        """Run a balancer or an agent that relays packets.

        Args:
            role: balancer or agent.
            settings: Path of the settings of the process.
        """
        return Invocation(partial(_relay, role, settings))

    @takes_files
    def status(self, base: str, site: str, json: bool = False) -> Invocation:
        """Show what each process has in force, its flows and its load.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
            json: Write one JSON object a line in place of tables.
        """
        return invoke_async(partial(show_status, base, site, as_json=json))

    @takes_files
    def load(self, settings: str) -> Invocation:
        """Put a load on balancers that run, and measure the answers.

        Args:
            settings: Path of the settings of the load.
        """
        return Invocation(partial(_load, settings))

    @takes_files
    def model(self, settings: str) -> Invocation:
        """Replay load patterns in simulated time, and compare rules.

        Args:
            settings: Path of the settings of the replays.
        """
        return Invocation(partial(_model, settings))

    @takes_files
    @takes_names
    @takes_deadline
    def drain(
        self,
        name: str,
        base: str,
        site: str,
        deadline: float | None = None,
        wait: bool = False,
    ) -> Invocation:
        """Start a graceful stop of the named process.

        Args:
            name: Name of an agent or a balancer, as status shows it.
            base: Path of the base file.
            site: Path of the overlay of the site.
            deadline: Seconds until what is left is ended.
            wait: Return when the process no longer answers.
        """
        return invoke_async(
            partial(
                drain_process,
                name,
                base,
                site,
                deadline_seconds=deadline,
                wait=wait,
            ),
        )


def run_command(arguments: Sequence[str]) -> int:
    """Run one command line and return its exit code."""
    try:
        invocation = fire.Fire(
            Commands(),
            command=list(arguments),
            name=PROGRAM,
            serialize=_show_nothing,
        )
    except fire.core.FireExit as ended:
        return ended.code
    if not isinstance(invocation, Invocation):
        return run_command([*arguments, '--help'])
    try:
        return invocation.run()
    except BluebellfoldError as error:
        complain(f'{PROGRAM}: {error}')
        return exit_code_of(error)


def main() -> None:
    """Run the command line of this process."""
    sys.exit(run_command(sys.argv[1:]))


def _load(path: str) -> int:
    # A QUIC client is slow to import, and no other command needs one.
    from bluebellfold.operators.loading import (  # noqa: WPS433
        run_load_file,
    )

    return run_load_file(path)


def _model(path: str) -> int:
    # The model imports both roles, and no other command needs it.
    from bluebellfold.model import (  # noqa: WPS433
        load_model,
        show_replays,
    )

    for line in show_replays(load_model(path)):
        say(line)
    return SUCCEEDED


def _explain(wanted: str, path: str) -> int:
    explanation = explain_file(wanted, path)
    for step in explanation.steps:
        say(step)
    say(f'cause: {explanation.cause}')
    return SUCCEEDED


def _relay(role: str, path: str) -> int:
    # A daemon imports only what its role needs.
    if role not in RELAY_ROLES:
        raise SettingsError(
            problem=f'{role} is no role of the relay',
            remedy=use_one_of(RELAY_ROLES),
        )
    daemon = importlib.import_module(f'bluebellfold.daemons.relay_{role}')
    return daemon.main(path)


def _rotate(path: str) -> int:
    if rotate_keys(path):
        say('the new keys are in use; give the file to every process')
        return SUCCEEDED
    say('the next keys are valid; give the file to every process,')
    say('then run this again to put them in use')
    return SUCCEEDED


def _show_nothing(_: object) -> None:
    """Keep fire from printing what a command returns."""


if __name__ == '__main__':
    main()
