"""The SIP codec: message boundaries."""

from __future__ import annotations

from typing import Any, cast

import pytest

from barleywheel.core.deadlines import Deadlines
from barleywheel.net import sockets
from barleywheel.net.buffer import INITIAL_BUFFER_BYTES, Buffer
from barleywheel.net.connection import Connection
from barleywheel.wire import Malformed, sip

DESCRIPTION = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
NOTIFY = b"NOTIFY sip:group@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 NOTIFY\r\nContent-Length: 0\r\n\r\n"
OPTIONS = b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
BYE = b"BYE sip:a@net SIP/2.0\r\nCall-ID: y\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
REFUSAL = b"SIP/2.0 503 Full\r\nCall-ID: z\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
NEXT_MESSAGES = {"notify": NOTIFY, "options": OPTIONS, "bye": BYE, "response": REFUSAL}
KEEP_ALIVE = b"\r\n"


def answer(length: int, body: bytes = DESCRIPTION) -> bytes:
    """A 200 to INVITE with that Content-Length."""
    return b"SIP/2.0 200 OK\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\nContent-Length: %d\r\n\r\n" % length + body


def buffer_with(data: bytes) -> Buffer:
    buffer = Buffer()
    buffer.data[: len(data)] = data
    buffer.end = len(data)
    return buffer


@pytest.mark.parametrize("following", NEXT_MESSAGES.values(), ids=NEXT_MESSAGES.keys())
def test_no_length_that_reaches_into_the_next_message_is_accepted(following: bytes) -> None:
    # Guards against descriptions with the first bytes of the hub's next message at their end (review/6).
    for excess in range(1, len(following) + 1):
        with pytest.raises(Malformed):
            sip.parse_next(buffer_with(answer(len(DESCRIPTION) + excess) + following + NOTIFY))


@pytest.mark.parametrize("following", NEXT_MESSAGES.values(), ids=NEXT_MESSAGES.keys())
@pytest.mark.parametrize("keep_alive", [b"", KEEP_ALIVE], ids=["", "keep-alive"])
def test_no_length_that_cuts_the_description_is_accepted(following: bytes, keep_alive: bytes) -> None:
    # Guards against descriptions that are cut where what is left looks like a keep-alive or a start line.
    for length in range(len(DESCRIPTION)):
        with pytest.raises(Malformed):
            sip.parse_next(buffer_with(answer(length) + keep_alive + following))


@pytest.mark.parametrize("following", [b"", *NEXT_MESSAGES.values()], ids=["none", *NEXT_MESSAGES.keys()])
@pytest.mark.parametrize("keep_alive", [b"", KEEP_ALIVE, KEEP_ALIVE * 2], ids=["", "one", "two"])
def test_the_right_length_is_accepted_whatever_follows(following: bytes, keep_alive: bytes) -> None:
    # Guards against a check that is too strict: what follows may be incomplete, and keep-alives are allowed.
    for received in range(len(following) + 1):
        data = answer(len(DESCRIPTION)) + keep_alive + following[:received]
        message = sip.parse_next(buffer_with(data))
        assert message is not None and message.body == DESCRIPTION


def test_two_lengths_that_differ_are_not_accepted() -> None:
    # Guards against taking the first of two lengths, of which one must be wrong.
    data = answer(len(DESCRIPTION)).replace(b"\r\n\r\n", b"\r\nl: 5\r\n\r\n", 1)
    with pytest.raises(Malformed):
        sip.parse_next(buffer_with(data))


class ReceivedBytes:
    """A socket that has received these bytes, and then the end of the stream."""

    def __init__(self, data: bytes) -> None:
        self.data = data

    def recv_into(self, view: memoryview) -> int:
        count = min(len(view), len(self.data))
        view[:count], self.data = self.data[:count], self.data[count:]
        return count

    def close(self) -> None:
        pass


class ReceivedBytesNetwork:
    """Tells how much of ``ReceivedBytes`` is unread."""

    def unread(self, sock: Any) -> int:
        return len(sock.data)


@pytest.mark.parametrize("excess", [-20, 3], ids=["too short", "too long"])
def test_a_wrong_length_is_noticed_where_the_receive_buffer_ends(excess: int) -> None:
    # Guards against a check that finds nothing behind the body, because the rest did not fit into one read.
    data = answer(len(DESCRIPTION) + excess)
    padding = INITIAL_BUFFER_BYTES - data.index(DESCRIPTION) - len(DESCRIPTION) - excess
    header = b"Padding: %s\r\n" % (b"a" * (padding - len(b"Padding: \r\n")))
    sock = ReceivedBytes(data.replace(b"Content-Length", header + b"Content-Length", 1) + NOTIFY)
    with sockets.use_network(cast(Any, ReceivedBytesNetwork())):
        connection = Connection(cast(sockets.Socket, sock), "hub", Deadlines(), 1_000_000)
        assert not list(connection.messages(sip.parse_next))
