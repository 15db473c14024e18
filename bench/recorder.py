"""Run a node and record the events of its call and gate state machines.

``python -m bench.recorder OUTPUT SETTINGS`` writes one JSON event per line;
`bench.traces` appends the outcome as the last line.
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

WriteLine = Callable[[dict[str, typing.Any]], None]


def install(write_line: WriteLine) -> None:
    """Wrap the event handlers of dispatch and gate to record each event."""
    recorded_views: dict[int, tuple[routing.RoutingTable, model.View]] = {}
    original_build_table = routing.build_table
    last_table_id: list[int] = [0]

    def build_recorded_table(view: model.View) -> routing.RoutingTable:
        table = original_build_table(view)
        recorded_views[id(table)] = (table, view)
        return table

    def record_call_event(
        state: calls.CallState,
        event: calls.Event,
        now: calls.Now,
        *,
        table: routing.RoutingTable,
        draws: calls.Draws,
    ) -> typing.Any:
        if last_table_id[0] != id(table):
            last_table_id[0] = id(table)
            write_line({"side": "view", "view": recorded_views[id(table)][1]})
        write_line(
            {
                "side": "dispatch",
                "kind": type(event).__name__,
                "event": event,
                "now": now,
                "draws": draws,
                "message": type(getattr(event, "message", None)).__name__,
            }
        )
        return original_call_handler(
            state, event, now, table=table, draws=draws
        )

    def record_gate_event(
        state: gate.GateState, event: gate.Event, **fields: typing.Any
    ) -> typing.Any:
        line = {"side": "gate", "kind": type(event).__name__, "event": event}
        write_line({**line, **fields})
        return original_gate_handler(state, event, **fields)

    original_call_handler, original_gate_handler = calls.handle, gate.handle
    routing.build_table = build_recorded_table
    calls.handle = record_call_event
    gate.handle = record_gate_event


def main() -> int:
    """Run a node with the given settings file and record its events."""
    output_path, settings_path = sys.argv[1:]
    lock = threading.Lock()
    encoder = msgspec.json.Encoder()
    with open(output_path, "ab", buffering=0) as file:

        def write_line(line: dict[str, typing.Any]) -> None:
            encoded = encoder.encode(line) + b"\n"
            with lock:
                file.write(encoded)

        install(write_line)
        return node.main([settings_path])


if __name__ == "__main__":
    raise SystemExit(main())
