"""Run a node and record the events that its decisions handle.

``python -m bench.recorder OUTPUT SETTINGS`` writes one JSON event a line;
`bench.traces` adds the stated outcome as the last line.
"""

from collections.abc import Callable
import sys
import threading
import typing

import msgspec

from apricotpost.admission import gate
from apricotpost import model
from apricotpost.node import main as node
from apricotpost import routing
from apricotpost.routing import calls

__all__ = ["install", "main"]

Write = Callable[[dict[str, typing.Any]], None]


def install(write: Write) -> None:
    """Record all events of dispatch and gate in this process."""
    views: dict[int, tuple[routing.RoutingTable, model.View]] = {}
    build_table = routing.build_table
    last: list[int] = [0]

    def build(view: model.View) -> routing.RoutingTable:
        table = build_table(view)
        views[id(table)] = (table, view)
        return table

    def handle_call(
        state: calls.CallState,
        event: calls.Event,
        now: calls.Now,
        *,
        table: routing.RoutingTable,
        draws: calls.Draws,
    ) -> typing.Any:
        if last[0] != id(table):
            last[0] = id(table)
            write({"side": "view", "view": views[id(table)][1]})
        write(
            {
                "side": "dispatch",
                "kind": type(event).__name__,
                "event": event,
                "now": now,
                "draws": draws,
                "message": type(getattr(event, "message", None)).__name__,
            }
        )
        return decide_call(state, event, now, table=table, draws=draws)

    def handle_gate(
        state: gate.GateState, event: gate.Event, **values: typing.Any
    ) -> typing.Any:
        line = {"side": "gate", "kind": type(event).__name__, "event": event}
        write({**line, **values})
        return decide_gate(state, event, **values)

    decide_call, decide_gate = calls.handle, gate.handle
    routing.build_table = build
    calls.handle = handle_call
    gate.handle = handle_gate


def main() -> int:
    """Run the node of a settings file and record it."""
    output, settings = sys.argv[1:]
    lock = threading.Lock()
    encoder = msgspec.json.Encoder()
    with open(output, "ab", buffering=0) as file:

        def write(line: dict[str, typing.Any]) -> None:
            text = encoder.encode(line) + b"\n"
            with lock:
                file.write(text)

        install(write)
        return node.main([settings])


if __name__ == "__main__":
    raise SystemExit(main())
