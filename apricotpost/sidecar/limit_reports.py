"""Metrics and log lines about the learnt limit of the backend server."""

import logging

from apricotpost.admission import concurrency
from apricotpost.admission import ranked
from apricotpost import events
from apricotpost.sidecar import metrics

__all__ = ["LimitReports"]

_LOG = logging.getLogger(__name__)

# Shortest time between two lines; a change in between is in the next one.
LINE_SECONDS = 5.0


class LimitReports:
    """What was reported about the limit.

    Parameters
    ----------
    instruments : metrics.Metrics
        Metrics of the node.
    """

    def __init__(self, *, instruments: metrics.Metrics) -> None:
        self.instruments = instruments
        self.changed_at = 0.0
        self.limit: int | None = None
        self.line_at = 0.0

    def update(self, queue: ranked.RankedQueue, now: float) -> None:
        """Report the limit if it has changed.

        Parameters
        ----------
        queue : ranked.RankedQueue
            Queue of the backend server.
        now : float
            Monotonic time, in seconds.
        """
        self.instruments.limit.set(ranked.current_limit(queue, now))
        learnt = queue.learnt
        if not queue.learning or not learnt.slots:
            return
        if learnt.changed_at != self.changed_at:
            self.changed_at = learnt.changed_at
            if learnt.reason is not concurrency.Reason.START:
                self.instruments.limit_changes.add(learnt.reason)
        limit = concurrency.current(learnt)
        if self.limit is None:
            self.limit = limit
        if limit == self.limit or now - self.line_at < LINE_SECONDS:
            return
        self.limit = limit
        self.line_at = now
        events.emit(
            _LOG,
            events.LIMIT_CHANGED,
            limit=limit,
            slots=learnt.slots,
            reason=str(learnt.reason),
        )
