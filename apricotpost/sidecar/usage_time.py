"""Clocks of this node and of the fleet, from which true time is estimated."""

import collections
from collections.abc import Callable
import time

from apricotpost.usage import clocks

__all__ = ["FleetTime", "read_clocks"]

# Samples of the wall clock, one a second: jumps of up to two and a half
# minutes are not followed.
SAMPLES = 301
SAMPLE_MS = 1000.0
# The first sample counts as so many, or a jump in the first seconds would be
# followed after as many more.
FIRST_SAMPLES = 31
# A message that was held up makes the sender's clock look late, so the
# highest of some offsets is the best. A message arrives with each window.
PEER_SAMPLES = 3
REFERENCE_SAMPLES = 8
# Offsets are used for this time after the last message.
FRESH_MS = 30_000.0
MAX_PEERS = 4000


def read_clocks() -> clocks.Reading:
    """Read the clocks of this machine."""
    return clocks.Reading(
        wall_ms=time.time() * 1000.0,
        boot_ms=time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0,
        monotonic_ms=time.clock_gettime(time.CLOCK_MONOTONIC) * 1000.0,
    )


class FleetTime:
    """Readings of the clocks and the estimate of true time.

    Parameters
    ----------
    read : callable
        Reads the clocks of this machine.
    """

    def __init__(
        self, *, read: Callable[[], clocks.Reading] = read_clocks
    ) -> None:
        self.read = read
        self.last = read()
        self.sampled_at = self.last.boot_ms
        self.samples = collections.deque(
            (self.last.wall_ms - self.last.boot_ms,) * FIRST_SAMPLES,
            maxlen=SAMPLES,
        )
        self.own = self.samples[0]
        # Times of receipt and offsets of each other node.
        self.peers: dict[str, collections.deque[tuple[float, float]]] = {}
        # The same of the holder's estimate, and the fencing token.
        self.reference: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=REFERENCE_SAMPLES)
        )
        self.reference_token = 0
        self.estimate = clocks.Estimate(offset_ms=self.own, trusted=False)

    def boot_ms(self) -> float:
        """Return the boot clock, in milliseconds."""
        return self.read().boot_ms

    def check(self) -> float:
        """Read the clocks; return the length of a suspension, else 0."""
        reading = self.read()
        before, self.last = self.last, reading
        if reading.boot_ms - self.sampled_at >= SAMPLE_MS:
            self.sampled_at = reading.boot_ms
            self.samples.append(reading.wall_ms - reading.boot_ms)
            self.own = clocks.own_offset(self.samples)
        if clocks.find_suspension(before, reading):
            return reading.boot_ms - before.boot_ms
        return 0.0

    def record_peer(self, node: str, wall_ms: int) -> None:
        """Record the clock of another node, as stated in its message."""
        if node not in self.peers and len(self.peers) >= MAX_PEERS:
            return
        now = self.boot_ms()
        self.peers.setdefault(
            node, collections.deque(maxlen=PEER_SAMPLES)
        ).append((now, wall_ms - now))

    def record_reference(
        self, token: int, time_ms: int, age_ms: float
    ) -> None:
        """Record the holder's estimate, and how long it was under way."""
        if token < self.reference_token:
            return
        if token > self.reference_token:
            self.reference_token = token
            self.reference.clear()
        now = self.boot_ms()
        self.reference.append((now, time_ms + age_ms - now))

    def update(self, *, is_holder: bool, others: int) -> None:
        """Estimate true time.

        The holder uses the clocks of all nodes, and the other nodes use the
        holder's estimate, so that all agree on the windows. A new holder goes
        on with the estimate of the one before until it has heard from half of
        the others.

        Parameters
        ----------
        is_holder : bool
            Whether this node holds the lease.
        others : int
            Number of the other live nodes.
        """
        now = self.last.boot_ms
        for name in [
            name
            for name, samples in self.peers.items()
            if now - samples[-1][0] > FRESH_MS
        ]:
            del self.peers[name]
        fresh = [o for at, o in self.reference if now - at <= FRESH_MS]
        heard = 2 * len(self.peers) >= others
        if fresh and not (is_holder and heard):
            self.estimate = clocks.Estimate(offset_ms=max(fresh), trusted=True)
            return
        combined = clocks.combine_offsets(
            self.own,
            (max(o for _, o in samples) for samples in self.peers.values()),
        )
        self.estimate = clocks.Estimate(
            offset_ms=combined.offset_ms,
            trusted=combined.trusted and heard,
        )

    def true_ms(self) -> float:
        """Return the estimate of the Unix time, in milliseconds."""
        return self.boot_ms() + self.estimate.offset_ms
