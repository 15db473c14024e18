"""HTTP/1.1 messages for the stand-ins, with the standard library only."""

import asyncio
import dataclasses

__all__ = ["Message", "encode_response", "read_message"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """A request or a response.

    Parameters
    ----------
    first_line : tuple of str
        The three parts of the request line or the status line.
    headers : dict
        Values by name in lower case.
    body : bytes
        The complete body.
    """

    first_line: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a length.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection has ended before the end of the message.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    parts = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return Message(
        first_line=(parts[0], parts[1], parts[2]), headers=headers, body=body
    )


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a response whose body has a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
