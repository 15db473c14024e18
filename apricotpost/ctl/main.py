"""Program ``apricotpost-ctl``: change and read the configuration."""

import argparse
import os
import pathlib
import sys

from apricotpost.ctl import client
from apricotpost.ctl import commands
from apricotpost.ctl import explain
from apricotpost.ctl import explain_route
from apricotpost import errors

__all__ = ["main", "make_parser"]

DESCRIPTION = "Change and read the configuration of apricotpost."
# State changes from this long before a request's first log line are shown: a
# routing decision follows from the state of the last few seconds.
EXPLAIN_CONTEXT_SECONDS = 5.0
EPILOG = """exit codes:
  0  done
  2  bad input: wrong arguments, faults in the sheet or the definitions
  3  refused (token, team or rights), or another change was accepted first
  4  no node answered, or the platform is not available
  5  a watched move was withdrawn

environment:
  APRICOTPOST_NODES  admin addresses IP:PORT, separated by commas
  APRICOTPOST_TOKEN  token, unless --token-file is given

examples:
  apricotpost-ctl check morning.csv
  apricotpost-ctl submit morning.csv --watch
  apricotpost-ctl watch
  apricotpost-ctl data-centre out riga-2 --reason "power work"
  apricotpost-ctl withdraw 000000000042-portal --reason "wrong totals"
  apricotpost-ctl explain 9c41d07be2a35f68 logs/*.log
  apricotpost-ctl explain-route --node 10.1.0.41:9102 mesh.example /records/7
"""


def main(arguments: list[str] | None = None) -> int:
    """Run the command line.

    Returns
    -------
    int
        Exit code; see the help text.
    """
    options = make_parser().parse_args(arguments)
    try:
        if options.command == "explain":
            return _explain(options)
        if options.command == "explain-route":
            return _explain_route(options)
        session = commands.Session(
            client=client.open_client(
                nodes=client.read_nodes(options.node, os.environ),
                token=client.read_token(options.token_file, os.environ),
            ),
            options=options,
            write=_write,
            warn=_warn,
        )
        return commands.COMMANDS[options.command](session)
    except errors.ApricotpostError as error:
        _warn(errors.format_error(error))
        return error.exit_code
    except KeyboardInterrupt:
        return 130


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="apricotpost-ctl",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    common = _common_options()
    check = subparsers.add_parser(
        "check", parents=[common], help="check a sheet; change nothing"
    )
    check.add_argument("sheet", help="CSV file, or - for standard input")
    check.set_defaults(request=None, base=None)
    submit = subparsers.add_parser(
        "submit",
        parents=[common, _change_options("morning sheet")],
        help="submit a sheet",
    )
    submit.add_argument("sheet", help="CSV file, or - for standard input")
    apply = subparsers.add_parser(
        "apply",
        parents=[common, _change_options()],
        help="define services, routes and data centres",
    )
    apply.add_argument("file", help="JSON with comments, or -")
    move = subparsers.add_parser(
        "data-centre",
        parents=[common, _change_options()],
        help="take a data centre out of service or return it",
    )
    move.add_argument("state", choices=["out", "in"])
    move.add_argument("name")
    move.add_argument("--finish-by", default="", metavar="TIME")
    withdraw = subparsers.add_parser(
        "withdraw",
        parents=[common, _change_options("withdrawn by an operator")],
        help="end a rollout",
    )
    withdraw.add_argument("rollout")
    _add_read_commands(subparsers, common)
    return parser


def _add_read_commands(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
    subparsers.add_parser(
        "status", parents=[common], help="show versions and moves"
    )
    watch = subparsers.add_parser(
        "watch", parents=[common], help="follow moves until they end"
    )
    watch.add_argument("moves", nargs="*", help="default: all running moves")
    history = subparsers.add_parser(
        "history", parents=[common], help="show how moves ended"
    )
    history.add_argument("--service", default="")
    history.add_argument("--limit", type=int, default=200)
    explain_parser = subparsers.add_parser(
        "explain", help="show from node logs what happened to a request"
    )
    explain_parser.add_argument("request", help="identifier of the request")
    explain_parser.add_argument(
        "logs", nargs="+", type=pathlib.Path, metavar="FILE"
    )
    explain_parser.add_argument(
        "--seconds",
        type=float,
        default=EXPLAIN_CONTEXT_SECONDS,
        help="show node state changes from this long before the request",
    )
    route_parser = subparsers.add_parser(
        "explain-route",
        help="show where a request would go now, without sending it",
    )
    route_parser.add_argument("host", help="host of the request")
    route_parser.add_argument("path", help="path of the request")
    route_parser.add_argument(
        "--node",
        required=True,
        metavar="IP:PORT",
        help="metrics address of the event-loop node that would get it",
    )
    route_parser.add_argument(
        "--deadline-ms",
        type=int,
        metavar="MS",
        help="time that the caller waits; default: the route's time-out",
    )
    route_parser.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )
    audit = subparsers.add_parser(
        "audit", parents=[common], help="show who changed what"
    )
    audit.add_argument("--before", type=int, default=0, metavar="VERSION")
    audit.add_argument("--limit", type=int, default=50)


def _common_options() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument(
        "--node",
        action="append",
        default=[],
        metavar="IP:PORT",
        help="admin address of a node; repeat for more nodes to try in order",
    )
    parser.add_argument(
        "--token-file", type=pathlib.Path, help="file that holds the token"
    )
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of tables"
    )
    return parser


def _change_options(reason: str = "") -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument(
        "--reason", default=reason, help="text for the audit record"
    )
    parser.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="refuse the change if another was accepted after this version",
    )
    parser.add_argument(
        "--request",
        metavar="KEY",
        help="idempotency key of an earlier try, whose result is returned",
    )
    parser.add_argument(
        "--watch", action="store_true", help="follow the moves until they end"
    )
    return parser


def _explain(options: argparse.Namespace) -> int:
    lines = explain.read_logs(options.logs)
    summary = explain.summarize_request(
        lines, options.request, seconds=options.seconds
    )
    for line in summary:
        _write(line)
    if not summary:
        _warn(
            f"no log line mentions request {options.request}; "
            "only a sample of served requests is logged"
        )
    return 0 if summary else 2


def _explain_route(options: argparse.Namespace) -> int:
    encoded, answer = explain_route.fetch_explanation(
        options.node,
        host=options.host,
        path=options.path,
        deadline_ms=options.deadline_ms,
    )
    if options.json:
        _write(encoded.decode("utf-8"))
    else:
        for line in explain_route.format_explanation(answer):
            _write(line)
    return 0


def _write(text: str) -> None:
    print(text, flush=True)


def _warn(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


if __name__ == "__main__":
    raise SystemExit(main())
