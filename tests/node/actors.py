"""Threads that run one step at a time, in an order that a test chooses."""

import threading

import urllib3

from standins import direct

__all__ = ["Actor", "Crash", "FAULTS", "open_store"]

LOST = urllib3.exceptions.ProtocolError("answer lost")
THROTTLED = (400, b'{"__type": "#ProvisionedThroughputExceededException"}')
FAULTS = (
    "deliver",
    "lose",
    "drop",
    "late",
    "refuse",
    "slow",
    "crash-before",
    "crash-after",
)


class Crash(BaseException):
    """The process ends here."""


class Actor:
    """A thread that stops at each point until the test lets it go on."""

    def __init__(self, target):
        self.resumed = threading.Semaphore(0)
        self.stopped = threading.Semaphore(0)
        self.target = target
        self.command = None
        self.result = None
        self.crashed = False
        self.done = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.actor = self
        self.thread.start()
        self.stopped.acquire()

    def step(self, command):
        """Let the thread go on to its next point."""
        self.command = command
        self.resumed.release()
        self.stopped.acquire()

    def point(self):
        """Wait, in the thread, for the test's command."""
        self.stopped.release()
        self.resumed.acquire()
        return self.command

    def _run(self):
        try:
            self.result = self.target()
        except Crash:
            self.crashed = True
        self.done = True
        self.stopped.release()


def open_store(machine):
    """Open a store whose exchanges are steps of the calling actor.

    Parameters
    ----------
    machine : object
        With ``state`` of the stand-in, ``late`` for requests on their way,
        and ``advance`` for the clock.
    """

    def hook(exchange):
        command = threading.current_thread().actor.point()
        if command == "crash-before":
            raise Crash
        if command == "refuse":
            return THROTTLED
        if command == "late":
            machine.late.append(exchange)
        if command in ("late", "drop"):
            raise LOST
        if command == "slow":
            machine.advance(7.0)
        reply = exchange.carry_out()
        if command == "crash-after":
            raise Crash
        if command == "lose":
            raise LOST
        return reply

    return direct.open_store(machine.state, hook)
