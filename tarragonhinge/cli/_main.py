"""Commands of ``tarragonhinge``.

Each command imports the modules that it needs when it runs, so that a
restarted instance loads less and serves sooner.
"""

import asyncio
import pathlib
import sys

from absl import flags
from absl import logging
import fire
from fire import decorators

from tarragonhinge import base
from tarragonhinge.cli import _errors

#: Decorator that keeps arguments as text; fire would parse "a-1" as Python.
_verbatim = decorators.SetParseFn(
    str, "path", "settings", "address", "token_file"
)


class SettingsCommands:
    """Commands for settings files."""

    @_verbatim
    def check(self, path: str) -> None:
        """Check a settings file and list every problem."""
        from tarragonhinge import settings

        settings.load_settings(str(path))
        print(f"{path}: all settings are valid")

    def example(self) -> None:
        """Print a commented example of a settings file."""
        from tarragonhinge import settings

        print(settings.format_example(), end="")


class KeyCommands:
    """Commands for the keys that secure traffic between instances."""

    def generate(self) -> None:
        """Print the content of a key file with one new key pair."""
        from tarragonhinge import peers

        pair = peers.make_key_pair()
        keys = peers.PeerKeys(pairs=(pair,))
        print(peers.format_keys(keys), end="")


class Commands:
    """Router for servers that own their keys exclusively."""

    def __init__(self) -> None:
        self.settings = SettingsCommands()
        self.keys = KeyCommands()

    @property
    def table(self) -> object:
        """Commands for the operators' table."""
        from tarragonhinge.cli import _table

        return _table.TableCommands()

    @_verbatim
    def serve(self, settings: str) -> None:  # noqa: A002
        """Run an instance with an INI settings file until it is stopped."""
        _serve(str(settings))

    @_verbatim
    def run(self, settings: str = "") -> None:  # noqa: A002
        """Run an instance on the platform until it is stopped.

        Without ``--settings``, the environment variable
        TARRAGONHINGE_NODE_FILE names the settings file.
        """
        _run(str(settings))

    @decorators.SetParseFn(str)
    def explain(self, *files: str, id: str) -> None:  # noqa: A002
        """Print the timeline of the request with the given id, from logs.

        Without files, the logs are read from standard input.
        """
        _explain(str(id), [str(name) for name in files])

    def demo(self, kill: str = "") -> None:
        """Run a demonstration; ``--kill=leader`` kills a shard's leader."""
        from tarragonhinge import demo

        sys.exit(asyncio.run(demo.run_demo(kill_leader=kill == "leader")))

    @_verbatim
    def dump(self, address: str, token_file: str = "") -> None:
        """Print the state of a running instance as JSON."""
        from tarragonhinge.cli import _operators

        state = _operators.fetch_state(str(address), str(token_file))
        print(asyncio.run(state), end="")


def _serve(path: str) -> None:
    from tarragonhinge import daemon
    from tarragonhinge import settings

    options = settings.load_settings(path)
    sys.exit(asyncio.run(daemon.serve(options)))


def _run(path: str) -> None:
    from tarragonhinge import platform

    settings_path = pathlib.Path(path) if path else platform.locate_node_file()
    sys.exit(asyncio.run(platform.run_instance(settings_path)))


def _explain(request: str, files: list[str]) -> None:
    from tarragonhinge import events

    lines: list[str] = []
    for name in files:
        try:
            content = pathlib.Path(name).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise _errors.CommandError(
                problem=f"{name} cannot be read: {error}",
                remedy="pass files that hold the log output of instances",
            ) from error
        lines.extend(content.splitlines())
    if not files:
        lines = sys.stdin.read().splitlines()
    timeline = events.format_timeline(events.parse_lines(lines), request)
    if not timeline:
        raise _errors.CommandError(
            problem=f"no log line contains the request {request}",
            remedy="pass the logs of all instances; a request that was "
            "answered in time is not logged",
        )
    print("\n".join(timeline))


def main() -> None:
    """Run the command line."""
    flags.FLAGS(["tarragonhinge"])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    try:
        fire.Fire(Commands(), name="tarragonhinge")
    except base.TarragonhingeError as error:
        print(f"tarragonhinge: {error}", file=sys.stderr)
        sys.exit(getattr(error, "exit_status", _errors.EXIT_USAGE))
