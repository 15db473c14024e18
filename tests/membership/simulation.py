"""Simulated network of failure detectors, without sockets or a clock."""

import dataclasses
import random

from apricotpost import membership
from apricotpost import model
from apricotpost import wire

__all__ = ["SimulatedNetwork", "make_network", "make_record"]

STEP_SECONDS = 0.1


@dataclasses.dataclass(kw_only=True)
class SimulatedNetwork:
    """Memberships by node name and the messages in flight between them.

    Nodes in ``silent`` neither run nor receive. ``is_cut`` is None or a
    function of two node names that returns whether a message from the first
    to the second is lost. ``max_records`` is the largest number of records in
    a probe or an answer so far.
    """

    states: dict[str, membership.Membership]
    rng: random.Random
    now: float = 0.0
    in_flight: list[tuple[str, str, wire.Message]] = dataclasses.field(
        default_factory=list
    )
    silent: set[str] = dataclasses.field(default_factory=set)
    is_cut: object = None
    max_records: int = 0
    sent_count: int = 0

    def run(self, seconds: float) -> None:
        """Advance the time in steps; each message takes one step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            delivered, self.in_flight = self.in_flight, []
            for source, target, message in delivered:
                if self.is_lost(source, target):
                    continue
                event = membership.Received(
                    message=message, reply_to=source.encode()
                )
                self.handle(target, event)
            for name, state in tuple(self.states.items()):
                if name in self.silent:
                    continue
                if self.now >= membership.next_tick(state):
                    seed = self.rng.getrandbits(32)
                    self.handle(name, membership.Tick(seed=seed))

    def is_lost(self, source: str, target: str) -> bool:
        """Return whether a message from source to target is lost."""
        if target in self.silent or target not in self.states:
            return True
        return bool(self.is_cut and self.is_cut(source, target))

    def handle(self, name: str, event: membership.Event) -> None:
        """Handle an event at a node and queue the messages that it sends."""
        state, actions = membership.handle(self.states[name], event, self.now)
        self.states[name] = state
        for action in actions:
            target = (
                action.address
                if isinstance(action, membership.Send)
                else action.reply_to.decode()
            )
            records = getattr(action.message, "records", ())
            if isinstance(action.message, (wire.Ping, wire.Ack)):
                self.max_records = max(self.max_records, len(records))
            self.sent_count += 1
            self.in_flight.append((name, target, action.message))

    def observed_states(self, subject: str) -> list[str]:
        """Return an instance's state as each other running node sees it."""
        return [
            state.members[subject].record.state.value
            for name, state in self.states.items()
            if name not in self.silent and name != subject
        ]


def make_record(
    name: str, data_centre: str = "a", incarnation: int = 1
) -> model.InstanceRecord:
    """Return the record of an instance that is up."""
    return model.InstanceRecord(
        instance=name,
        data_centre=data_centre,
        region="r",
        call_address=name,
        control_address=name,
        service="s",
        incarnation=incarnation,
        state=model.InstanceState.UP,
    )


def make_network(
    size: int, *, centres: int = 1, seed: int = 1
) -> SimulatedNetwork:
    """Return a network of nodes that all know each other."""
    rng = random.Random(seed)
    known = {
        f"n{number}": membership.Member(
            record=make_record(f"n{number}", f"dc{number % centres}"),
            recorded_at=0.0,
        )
        for number in range(size)
    }
    states = {}
    for name, member in known.items():
        state = membership.start(member.record, 0.0, seed=rng.getrandbits(32))
        states[name] = dataclasses.replace(state, members=known, updates=())
    return SimulatedNetwork(states=states, rng=rng)
