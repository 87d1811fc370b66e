"""Parse a command line and run the command."""

import importlib
import sys
from collections.abc import Sequence
from functools import partial

import fire

from bluebellfold.core import BluebellfoldError
from bluebellfold.operators.arguments import (
    deadline_argument,
    flag_arguments,
    name_arguments,
    path_arguments,
    text_arguments,
    version_argument,
)
from bluebellfold.operators.check_commands import CheckOptions
from bluebellfold.operators.config_commands import (
    apply_files,
    check_either,
    show_difference,
    show_history,
)
from bluebellfold.operators.exit_codes import SUCCEEDED, exit_code_of
from bluebellfold.operators.invocation import (
    Invocation,
    async_invocation,
    write_error,
    write_output,
)
from bluebellfold.operators.key_rotation import new_keys, rotate_keys
from bluebellfold.operators.process_commands import drain_process, show_status
from bluebellfold.operators.progress import ProgressBar
from bluebellfold.operators.relay_status import show_relay_status
from bluebellfold.operators.starting import run_role
from bluebellfold.relay.operators.explain_logs import explain_logs

PROGRAM = 'bluebellfold'


class ConfigCommands:
    """Check, compare and apply the configuration of a site."""

    @path_arguments
    @name_arguments
    @deadline_argument
    def check(
        self,
        base: str,
        site: str = '',
        against: str = '',
        store: str = '',
        regions: str = '',
        drain_seconds: float | None = None,
        json: bool = False,
        strict: bool = False,
    ) -> Invocation:
        """Validate a JSON document, or the base file and the overlay of a site.

        The options beside base and site are for a JSON document, which exits
        with 0 clean, 1 warnings with --strict, 2 errors, 3 store not reached.

        Args:
            base: Path of the JSON document for the store, or of the base file.
            site: Path of the overlay of the site.
            against: Path of a document to compare with.
            store: Address of the store, to compare with the version in force.
            regions: Regions that have upstreams, separated by commas.
            drain_seconds: Seconds that a drain waits for open requests.
            json: Write the report as one line of JSON.
            strict: Exit with 1 if there are warnings.
        """
        options = CheckOptions(
            against=against,
            store=store,
            regions=frozenset(filter(None, regions.split(','))),
            drain_seconds=drain_seconds,
            as_json=json,
            strict=strict,
        )
        return Invocation(partial(check_either, base, site, options))

    @path_arguments
    def diff(self, base: str, site: str) -> Invocation:
        """Show the changes that apply would make, and the version in force.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
        """
        return async_invocation(partial(show_difference, base, site))

    @path_arguments
    @name_arguments
    @version_argument
    def apply(
        self,
        base: str,
        site: str,
        version: int | None = None,
        operation: str = '',
    ) -> Invocation:
        """Apply the files as the new configuration; a repeat changes nothing.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
            version: Expected version in force, as config diff shows it.
            operation: Unique name of this change in the history.
        """
        return async_invocation(
            partial(
                apply_files,
                base,
                site,
                version=version,
                operation=operation,
            ),
        )

    @path_arguments
    def history(self, base: str, site: str) -> Invocation:
        """Show the recent versions and the operations that wrote them.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
        """
        return async_invocation(partial(show_history, base, site))


class KeysCommands:
    """Create and rotate the token and envelope keys."""

    @path_arguments
    def new(self, path: str) -> Invocation:
        """Create a key file that only its owner can read.

        Args:
            path: Path of the key file, which must not exist yet.
        """
        return Invocation(partial(new_keys, path))

    @path_arguments
    def rotate(self, path: str) -> Invocation:
        """Perform the next of the two steps of a key rotation.

        Args:
            path: Path of the key file.
        """
        return Invocation(partial(_rotate, path))


class RelayCommands:
    """Run the processes of the packet relay, and show their state."""

    @path_arguments
    def agent(self, settings: str) -> Invocation:
        """Run the agent of an upstream until SIGTERM.

        Args:
            settings: Path of the settings of the process.
        """
        return Invocation(partial(_relay, 'agent', settings))

    @path_arguments
    def balancer(self, settings: str) -> Invocation:
        """Run a balancer until SIGTERM.

        Args:
            settings: Path of the settings of the process.
        """
        return Invocation(partial(_relay, 'balancer', settings))

    @text_arguments
    @flag_arguments
    def status(
        self,
        process: str,
        *processes: str,
        json: bool = False,
        flagged: bool = False,
    ) -> Invocation:
        """Show what processes know, and which differ from the majority.

        Exits with 1 if a process has a remark or does not answer. Flags come
        after the addresses.

        Args:
            process: Address of a metrics page, or a file with one a line.
            processes: More addresses or files.
            json: Write one line of JSON for each process instead of tables.
            flagged: Show only the processes with remarks.
        """
        return async_invocation(
            partial(
                show_relay_status,
                (process, *processes),
                as_json=json,
                only_flagged=flagged,
            ),
        )


class Commands:
    """Run and operate a layer-4 load balancer.

    Exit codes: 0 success, 1 failure, 2 invalid settings or command line,
    3 conflict with another change, 4 platform unavailable.
    """

    config = ConfigCommands()
    keys = KeysCommands()
    relay = RelayCommands()

    @path_arguments
    def balancer(self, base: str, site: str, process: str) -> Invocation:
        """Run a balancer until SIGTERM.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
            process: Path of the settings of the process.
        """
        return Invocation(partial(run_role, 'balancer', base, site, process))

    @path_arguments
    def agent(self, base: str, site: str, process: str) -> Invocation:
        """Run the agent of an upstream until SIGTERM.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
            process: Path of the settings of the process.
        """
        return Invocation(partial(run_role, 'agent', base, site, process))

    @text_arguments
    def explain(self, wanted: str, log: str, *logs: str) -> Invocation:
        """Show the outcome of a request or a flow, and its cause, from logs.

        Args:
            wanted: Id of a request, or id of a flow as in the log.
            log: Path of a file with log lines, or of a folder of such files.
            logs: More paths of files or folders.
        """
        return Invocation(partial(_explain, wanted, (log, *logs)))

    @path_arguments
    def status(self, base: str, site: str, json: bool = False) -> Invocation:
        """Show the state, configuration version, flows and load of processes.

        Args:
            base: Path of the base file.
            site: Path of the overlay of the site.
            json: Write one line of JSON for each process instead of tables.
        """
        return async_invocation(partial(show_status, base, site, as_json=json))

    @path_arguments
    def load(self, settings: str) -> Invocation:
        """Generate load on running balancers, and measure the responses.

        Args:
            settings: Path of the settings of the load generator.
        """
        return Invocation(partial(_load, settings))

    @path_arguments
    def model(self, settings: str) -> Invocation:
        """Simulate load patterns, and compare policies.

        Args:
            settings: Path of the settings of the simulation.
        """
        return Invocation(partial(_model, settings))

    @path_arguments
    @name_arguments
    @deadline_argument
    def drain(
        self,
        name: str,
        base: str,
        site: str,
        deadline: float | None = None,
        wait: bool = False,
    ) -> Invocation:
        """Start a graceful stop of a process.

        Args:
            name: Name of an agent or a balancer, as shown by status.
            base: Path of the base file.
            site: Path of the overlay of the site.
            deadline: Seconds until the remaining flows are closed.
            wait: Wait until the process is unreachable.
        """
        return async_invocation(
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
            serialize=_suppress_output,
        )
    except fire.core.FireExit as fire_exit:
        return fire_exit.code
    if not isinstance(invocation, Invocation):
        return run_command([*arguments, '--help'])
    try:
        return invocation.run()
    except BluebellfoldError as error:
        write_error(f'{PROGRAM}: {error}')
        return exit_code_of(error)


def main() -> None:
    """Run the command line that the process was started with."""
    sys.exit(run_command(sys.argv[1:]))


def _load(path: str) -> int:
    # The QUIC client is slow to import, and only this command uses it.
    from bluebellfold.operators.load_command import (  # noqa: WPS433
        run_load_file,
    )

    return run_load_file(path)


def _model(path: str) -> int:
    # The model imports both roles, and only this command uses it.
    from bluebellfold.model import (  # noqa: WPS433
        load_model_settings,
        tabulate_replays,
    )

    for line in tabulate_replays(load_model_settings(path)):
        write_output(line)
    return SUCCEEDED


def _explain(wanted: str, paths: tuple[str, ...]) -> int:
    explanation = explain_logs(wanted, paths, progress=ProgressBar())
    for step in explanation.steps:
        write_output(step)
    write_output(f'cause: {explanation.cause}')
    return SUCCEEDED


def _relay(role: str, path: str) -> int:
    # Import only the modules that the role needs.
    daemon = importlib.import_module(f'bluebellfold.daemons.relay_{role}')
    return daemon.main(path)


def _rotate(path: str) -> int:
    if rotate_keys(path):
        write_output('the new keys are in use; copy the file to every process')
        return SUCCEEDED
    write_output('the next keys are valid; copy the file to every process,')
    write_output('then run this command again to use them')
    return SUCCEEDED


def _suppress_output(_: object) -> None:
    """Prevent fire from printing the value that a command returns."""


if __name__ == '__main__':
    main()
