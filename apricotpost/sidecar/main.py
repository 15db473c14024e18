"""``apricotpost-sidecar``: runs the event-loop node of a backend server."""

import argparse
import logging
import os
import pathlib
import sys

import uvloop

from apricotpost import errors
from apricotpost.sidecar import logs
from apricotpost.sidecar import options
from apricotpost.sidecar import running

__all__ = ["main"]

_LOG = logging.getLogger(__name__)

SETTINGS_VARIABLE = "APRICOTPOST_BOOT"


def main(arguments: list[str] | None = None) -> int:
    """Run a node until SIGTERM.

    Returns
    -------
    int
        0 after a graceful stop, 2 if there are no valid settings.
    """
    parsed = _parse(arguments)
    path = parsed.settings or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(
            f"no settings file: give its path or set {SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        return 2
    try:
        settings = options.load_options(pathlib.Path(path))
    except errors.SettingsInvalid as error:
        print(errors.format_error(error), file=sys.stderr)
        return error.exit_code
    if parsed.check:
        print(f"{path} is valid")
        return 0
    output = logs.configure()
    return uvloop.run(
        running.run(settings=settings, path=pathlib.Path(path), output=output)
    )


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="apricotpost-sidecar",
        description="Runs the node beside a backend server.",
        epilog="example: apricotpost-sidecar --check /etc/apricotpost.jsonc",
    )
    parser.add_argument(
        "settings",
        nargs="?",
        help=f"settings file (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
