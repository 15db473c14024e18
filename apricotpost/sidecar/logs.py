"""Structured logs to standard output that never block the event loop."""

import collections
import logging
import os
import time

import msgspec

from apricotpost import events

__all__ = ["Decisions", "OutputHandler", "configure"]

# Lines that are queued for a slow reader of standard output; further lines are
# dropped and counted.
MAX_QUEUED_LINES = 2000
MAX_LINE_BYTES = 4096
# Characters of each text in a line that would be longer than MAX_LINE_BYTES.
MAX_TEXT_CHARACTERS = 200
# Lines of one event, of level warning or higher, that are written in a second;
# further ones are counted. Malformed data may arrive without end.
MAX_WARNINGS_PER_SECOND = 40
# Limit of the lines about refused and failed requests, and how many served
# requests there are for each one that is logged.
MAX_DECISIONS_PER_SECOND = 40
SERVED_PER_LINE = 200


class OutputHandler(logging.Handler):
    """Queues log lines until the event loop writes them.

    Parameters
    ----------
    descriptor : int
        File descriptor for the lines; in non-blocking mode.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        # Records by event number, those without a line included.
        self.event_counts: collections.Counter[int] = collections.Counter()
        # Second, and warnings of each event in it.
        self.second = 0
        self.warnings: collections.Counter[int] = collections.Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a record."""
        number = getattr(record, "event", 0)
        self.event_counts[number] += 1
        if record.levelno >= logging.WARNING:
            second = int(time.monotonic())
            if second != self.second:
                self.second = second
                self.report_suppressed()
            self.warnings[number] += 1
            if self.warnings[number] > MAX_WARNINGS_PER_SECOND:
                return
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.lines.append(_format(record))

    def report_suppressed(self) -> None:
        """Log how many warnings the rate limit has suppressed."""
        counts, self.warnings = self.warnings, collections.Counter()
        for number, count in counts.items():
            if count > MAX_WARNINGS_PER_SECOND:
                events.emit(
                    logging.getLogger(__name__),
                    events.WARNINGS_SUPPRESSED,
                    number=number,
                    lines=count - MAX_WARNINGS_PER_SECOND,
                )

    def write_lines(self) -> None:
        """Write queued lines until the descriptor would block."""
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            events.emit(
                logging.getLogger(__name__),
                events.LINES_DROPPED,
                lines=dropped,
            )
        while self.lines:
            line = self.lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; no error can be logged.
                self.lines.clear()
                return
            if written < len(line):
                self.lines[0] = line[written:]
                return
            self.lines.popleft()


class Decisions:
    """Rate-limited log lines about requests.

    Parameters
    ----------
    logger : logging.Logger
        Destination of the lines.
    """

    def __init__(self, *, logger: logging.Logger) -> None:
        self.logger = logger
        self.second = 0
        self.lines = 0
        self.suppressed = 0
        self.served = 0

    def report(self, event: events.Event, **fields: object) -> None:
        """Log a refusal or failure unless this second's limit is reached."""
        second = int(time.monotonic())
        if second != self.second:
            if self.suppressed:
                events.emit(
                    self.logger,
                    events.DECISIONS_SUPPRESSED,
                    lines=self.suppressed,
                )
            self.second = second
            self.lines = 0
            self.suppressed = 0
        self.lines += 1
        if self.lines > MAX_DECISIONS_PER_SECOND:
            self.suppressed += 1
            return
        events.emit(self.logger, event, **fields)

    def report_served(self, event: events.Event, **fields: object) -> None:
        """Log one of `SERVED_PER_LINE` served requests."""
        self.served += 1
        if self.served % SERVED_PER_LINE == 1:
            events.emit(self.logger, event, **fields)


def configure(*, descriptor: int = 1) -> OutputHandler:
    """Write all log records of this process to a descriptor as JSON lines."""
    os.set_blocking(descriptor, False)
    handler = OutputHandler(descriptor=descriptor)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler


def _format(record: logging.LogRecord) -> bytes:
    line = {
        "time": round(record.created, 3),
        "steady": round(time.monotonic(), 3),
        "level": record.levelname,
        "event": getattr(record, "event", 0),
        "message": record.getMessage(),
        **getattr(record, "fields", {}),
    }
    if record.exc_info:
        line["error"] = repr(record.exc_info[1])
    encoded = msgspec.json.encode(line, enc_hook=str)
    if len(encoded) > MAX_LINE_BYTES:
        shortened = {
            name: (
                value
                if isinstance(value, (int, float))
                else str(value)[:MAX_TEXT_CHARACTERS]
            )
            for name, value in line.items()
        }
        encoded = msgspec.json.encode(shortened)
    return encoded + b"\n"
