"""Threads that advance one step at a time, in an order set by the test."""

import threading

import urllib3

from standins import direct

__all__ = ["Actor", "Crash", "FAULTS", "open_store"]

ANSWER_LOST = urllib3.exceptions.ProtocolError("answer lost")
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
    """Simulated end of the process at this point."""


class Actor:
    """Thread that blocks at each step until the test sends a command."""

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
        """Send a command and wait until the thread blocks or ends."""
        self.command = command
        self.resumed.release()
        self.stopped.acquire()

    def wait_for_command(self):
        """Block the calling thread until the test sends a command."""
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
    """Open a store whose HTTP exchanges are steps of the calling actor.

    Parameters
    ----------
    machine : object
        Has ``state``, the state of the stand-in platform; ``late``, the list
        of requests that are still to be delivered; and ``advance``, which
        moves the clock by seconds.
    """

    def carry_out_exchange(exchange):
        command = threading.current_thread().actor.wait_for_command()
        if command == "crash-before":
            raise Crash
        if command == "refuse":
            return THROTTLED
        if command == "late":
            machine.late.append(exchange)
        if command in ("late", "drop"):
            raise ANSWER_LOST
        if command == "slow":
            machine.advance(13.0)
        reply = exchange.execute()
        if command == "crash-after":
            raise Crash
        if command == "lose":
            raise ANSWER_LOST
        return reply

    return direct.open_store(machine.state, carry_out_exchange)
