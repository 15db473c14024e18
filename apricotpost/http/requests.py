"""A request that a client has sent, and its result."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import typing

from apricotpost.http import messages

__all__ = [
    "BeforeSend",
    "Check",
    "Failure",
    "RequestHandle",
    "Result",
    "ResultCallback",
    "Verdict",
]


class Failure(enum.StrEnum):
    """Why a request failed without a response."""

    NOT_CONNECTED = "not-connected"
    CONNECTION_LOST = "connection-lost"
    MALFORMED = "malformed-response"
    TIMED_OUT = "timed-out"
    # The response did not fit into the memory of this process.
    NO_MEMORY = "no-memory"


class Verdict(enum.Enum):
    """What a response is to the request that waits on its connection."""

    # The response to this request.
    ACCEPT = enum.auto()
    # A late or repeated response to an earlier request: it is skipped, and
    # the connection is not used again.
    OTHER_REQUEST = enum.auto()
    # Not authentic: it is reported, and the connection is not used again.
    FAULTY = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Response to a request, or the reason why there is none.

    Parameters
    ----------
    response : messages.Response or None
        The complete response.
    failure : Failure or None
        Why there is no response. Only `Failure.NOT_CONNECTED` guarantees
        that the server has not received the request.
    reused : bool
        Whether the connection had carried an earlier request.
    """

    response: messages.Response | None = None
    failure: Failure | None = None
    reused: bool = False


ResultCallback = Callable[[Result], None]
BeforeSend = Callable[[asyncio.Transport], bool]
Check = Callable[[int, messages.Headers], Verdict]


class RequestHandle:
    """A request in progress."""

    __slots__ = (
        "before_send",
        "check",
        "connection",
        "done",
        "on_sent",
        "task",
        "timer",
    )

    def __init__(
        self,
        *,
        done: ResultCallback,
        check: Check | None,
        on_sent: Callable[[], None] | None,
        before_send: BeforeSend | None = None,
    ) -> None:
        self.done: ResultCallback | None = done
        self.before_send = before_send
        self.check = check
        self.on_sent = on_sent
        self.connection: typing.Any = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def forget(self) -> None:
        """Drop the callbacks, which refer to the request and its body.

        Its sender keeps the handle beside the body. Such a cycle holds the
        body until the next garbage collection.
        """
        self.done = None
        self.check = None
        self.on_sent = None
        self.before_send = None
        if self.timer is not None:
            self.timer.cancel()

    def finish(self, result: Result) -> None:
        """Report the result, unless the request has ended already."""
        done = self.done
        self.forget()
        if done is not None:
            done(result)

    def cancel(self) -> None:
        """Cancel the request and close its connection."""
        self.forget()
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.abort()

    def expire(self) -> None:
        """Cancel the request and report that it timed out."""
        done = self.done
        self.cancel()
        if done is not None:
            done(Result(failure=Failure.TIMED_OUT))
