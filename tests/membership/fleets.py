"""A fake queue between many memberships; no sockets and no clock."""

import dataclasses
import random

from apricotpost import membership
from apricotpost import model
from apricotpost import wire

__all__ = ["Queue", "make_record", "open_queue"]

STEP_SECONDS = 0.1


@dataclasses.dataclass(kw_only=True)
class Queue:
    """Memberships by name and what is under way between them.

    ``silent`` nodes neither run nor receive; ``cut`` tells whether a message
    between two nodes is lost.
    """

    states: dict[str, membership.Membership]
    rng: random.Random
    now: float = 0.0
    pending: list[tuple[str, str, wire.Message]] = dataclasses.field(
        default_factory=list
    )
    silent: set[str] = dataclasses.field(default_factory=set)
    cut: object = None
    largest: int = 0
    sent: int = 0

    def run(self, seconds: float) -> None:
        """Let time pass in steps; each message takes one step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            arrived, self.pending = self.pending, []
            for source, target, message in arrived:
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
                    draw = self.rng.getrandbits(32)
                    self.handle(name, membership.Tick(draw=draw))

    def is_lost(self, source: str, target: str) -> bool:
        """Return whether a message does not arrive."""
        if target in self.silent or target not in self.states:
            return True
        return bool(self.cut and self.cut(source, target))

    def handle(self, name: str, event: membership.Event) -> None:
        """Run one decision and take up its messages."""
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
                self.largest = max(self.largest, len(records))
            self.sent += 1
            self.pending.append((name, target, action.message))

    def seen(self, subject: str) -> list[str]:
        """Return the state of an instance as each other running node sees."""
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


def open_queue(size: int, *, centres: int = 1, seed: int = 1) -> Queue:
    """Make nodes that all know each other."""
    rng = random.Random(seed)
    known = {
        f"n{number}": membership.Member(
            record=make_record(f"n{number}", f"dc{number % centres}"),
            since=0.0,
        )
        for number in range(size)
    }
    states = {}
    for name, member in known.items():
        state = membership.start(member.record, 0.0, draw=rng.getrandbits(32))
        states[name] = dataclasses.replace(state, members=known, updates=())
    return Queue(states=states, rng=rng)
