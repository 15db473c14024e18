"""Program ``apricotpost-report``: service levels and error budgets."""

import argparse
from collections.abc import Iterable
from concurrent import futures
import os
import pathlib
import sys
import time

import msgspec

from apricotpost.ctl import client
from apricotpost import errors
from apricotpost.report import burn
from apricotpost.report import pages
from apricotpost.report import texts

__all__ = ["fetch_levels", "main"]

DESCRIPTION = "Show service levels and how fast error budgets are used."
EPILOG = """exit codes:
  0  all nodes answered
  2  bad input
  3  the token is not accepted
  4  no node answered

The admin addresses of nodes come from --node or APRICOTPOST_NODES. With
--port all instances that the first reachable node knows are queried, each
at its own IP address.

examples:
  apricotpost-report --port 7003 --node 10.0.0.5:7003
  apricotpost-report --format html > levels.html
"""
CONCURRENT_NODES = 16


def main(arguments: list[str] | None = None) -> int:
    """Run the command line; see the help text for the exit codes."""
    options = _parse_arguments(arguments)
    try:
        nodes = client.read_nodes(options.node, os.environ)
        token = client.read_token(options.token_file, os.environ)
        if options.port:
            nodes = _list_nodes(nodes, token, options.port)
        answers, failures = fetch_levels(nodes, token)
        reports = burn.merge_nodes(answers)
    except errors.ApricotpostError as error:
        print(errors.format_error(error), file=sys.stderr)
        return error.exit_code
    notes = _make_notes(answers, failures)
    print(_format_report(options.format, reports, notes))
    return 0


def fetch_levels(
    nodes: Iterable[str], token: str
) -> tuple[tuple[burn.NodeLevels, ...], tuple[str, ...]]:
    """Fetch the service level counts of nodes.

    Returns
    -------
    answers : tuple of NodeLevels
        Counts of the nodes that answered.
    failures : tuple of str
        Address and error of each other node.

    Raises
    ------
    apricotpost.errors.NodeUnreachable
        No node answered.
    apricotpost.errors.NodeErrorResponse
        A node does not accept the token.
    """
    answers: list[burn.NodeLevels] = []
    failures: list[str] = []
    with futures.ThreadPoolExecutor(CONCURRENT_NODES) as executor:
        pending = {
            node: executor.submit(_fetch_node_levels, node, token)
            for node in dict.fromkeys(nodes)
        }
        for node, future in pending.items():
            try:
                answers.append(future.result())
            except errors.NodeErrorResponse as error:
                if error.status in (401, 403):
                    raise
                failures.append(f"{node}: {error.message}")
            except errors.ApricotpostError as error:
                failures.append(f"{node}: {error.message}")
    if not answers:
        raise errors.NodeUnreachable("no node answered", faults=failures)
    return tuple(answers), tuple(failures)


def _fetch_node_levels(node: str, token: str) -> burn.NodeLevels:
    node_client = client.open_client(nodes=(node,), token=token)
    answer = client.send_request(node_client, "GET", "/v1/levels")
    node_client.pool.clear()
    return burn.decode_node(answer)


def _list_nodes(nodes: Iterable[str], token: str, port: int) -> list[str]:
    nodes_client = client.open_client(nodes=nodes, token=token)
    answer = client.send_request(nodes_client, "GET", "/v1/instances")
    hosts = {
        record["call_address"].removeprefix("tcp://").rpartition(":")[0]
        for record in answer["instances"]
        if record["state"] != "down"
    }
    return [f"{host}:{port}" for host in sorted(hosts)]


def _make_notes(
    answers: Iterable[burn.NodeLevels], failures: Iterable[str]
) -> list[str]:
    node_levels = tuple(answers)
    newest = max(node_levels, key=lambda node: node.since)
    hours = (newest.at - newest.since) / 3600
    notes = [
        f"Nodes that answered: {len(node_levels)}.",
        "A node loses its counts when it restarts; the last to restart, "
        f"{newest.instance}, has counted for {hours:.1f} h.",
        "The error budget is that of the last 3 days.",
    ]
    return notes + [f"Not counted: {failure}" for failure in failures]


def _format_report(
    style: str, reports: tuple[burn.RouteReport, ...], notes: list[str]
) -> str:
    if style == "json":
        return msgspec.json.encode(
            texts.describe_report(reports, notes)
        ).decode()
    if style == "html":
        return pages.format_page(reports, notes, now=time.time())
    return texts.format_text(reports, notes)


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="apricotpost-report",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--node", action="append", default=[], metavar="IP:PORT"
    )
    parser.add_argument(
        "--port", type=int, help="query all instances, at this admin port"
    )
    parser.add_argument(
        "--token-file", type=pathlib.Path, help="file that holds the token"
    )
    parser.add_argument(
        "--format", choices=["text", "json", "html"], default="text"
    )
    return parser.parse_args(arguments)


if __name__ == "__main__":
    raise SystemExit(main())
