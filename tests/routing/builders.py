"""Test data shared by the tests of the call path."""

import dataclasses
import typing

from apricotpost import model
from apricotpost import routing
from apricotpost.routing import calls
from apricotpost import wire

__all__ = ["NOW", "Calls", "make_request", "make_table"]

NOW = 1_700_000_000.0
LOAD = model.Load(in_flight=1, limit=8, queued=0)


def make_table(
    *,
    servers: int = 3,
    idempotent: bool = True,
    ready: bool = True,
) -> routing.RoutingTable:
    """Return the routing table of one service in one data centre."""
    route = model.Route(
        name="records",
        service="portal",
        prefix="/records",
        methods=("GET",),
        idempotent=idempotent,
    )
    service = model.Service(
        name="portal",
        team="inspection",
        versions=(model.VersionShare(version="v1", share=1000),),
    )
    records = tuple(
        model.InstanceRecord(
            instance=f"i{number}",
            data_centre="riga-1",
            region="lv-riga",
            call_address=f"tcp://10.0.0.{number}:1",
            control_address=f"tcp://10.0.0.{number}:2",
            service="portal",
            version="v1",
            state=model.InstanceState.UP,
            slots=8,
        )
        for number in range(servers)
    )
    snapshot = model.Snapshot(version=1, services=(service,), routes=(route,))
    return routing.build_table(
        model.View(snapshot=snapshot, instances=records, ready=ready)
    )


def make_request(
    name: str = "r1", *, seconds: float = 4.0, **changes: typing.Any
) -> wire.CallRequest:
    """Return a request whose deadline is some seconds away."""
    request = wire.CallRequest(
        request=name,
        route="records",
        method="GET",
        target="/records/1",
        headers=(),
        body=b"",
        deadline=NOW + seconds,
        depth=0,
        retried=False,
    )
    return dataclasses.replace(request, **changes)


@dataclasses.dataclass(kw_only=True)
class Calls:
    """Runs the decisions of dispatch on a fake clock."""

    table: routing.RoutingTable
    state: calls.CallState = calls.CallState(data_centre="riga-1")
    seconds: float = 0.0

    def handle(self, event: calls.Event) -> tuple[calls.Action, ...]:
        """Handle an event, store the new state and return the actions."""
        self.state, actions = calls.handle(
            self.state,
            event,
            calls.Now(monotonic=self.seconds, wall=NOW + self.seconds),
            table=self.table,
            draws=calls.Draws(version=0.5, first=0.0, second=0.0),
        )
        return actions

    def submit(self, request: wire.CallRequest) -> typing.Any:
        """Submit a request and return the first action."""
        return self.handle(calls.Submitted(reply_to=b"t", request=request))[0]

    def refuse(self, call: str, reason: wire.NotRunReason) -> typing.Any:
        """Handle a gate's refusal of a call and return the actions."""
        message = wire.NotRun(call=call, reason=reason, load=LOAD)
        return self.handle(calls.Answered(message=message))

    def lose(self, call: str) -> typing.Any:
        """Handle the unknown outcome of a call and return the actions."""
        message = wire.OutcomeUnknown(
            call=call, reason=wire.UnknownReason.CONNECTION_LOST
        )
        return self.handle(calls.Answered(message=message))

    def answer(
        self,
        call: str,
        *,
        status: int = 200,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> typing.Any:
        """Handle a gate's answer to a call and return the actions."""
        message = wire.Answer(
            call=call,
            status=status,
            headers=headers,
            body=body,
            checksum=0,
            load=LOAD,
        )
        return self.handle(calls.Answered(message=message))

    def advance(self, seconds: float) -> tuple[calls.Action, ...]:
        """Advance the clock, handle time-outs and return the actions."""
        self.seconds += seconds
        return self.handle(calls.TimedOut())
