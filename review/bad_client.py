"""A bad client: hundreds of requests at once, each sent again as soon as it is turned away, at full speed.

Arguments: host, port, requests at once, bytes of each description, seconds. The class of its requests does
not exist. It reads all that it is sent, and prints how many answers it got.
"""

from __future__ import annotations

import json
import socket
import sys
import time
from contextlib import suppress

REF = slice(19, 35)  # of the id in {"t":"down","ref":"


def main() -> None:
    """Send and read until the time is over or the connection ends."""
    host, port, count, size, seconds = sys.argv[1], *map(int, sys.argv[2:6])
    requests = {}
    for number in range(count):
        ref = f"{0xBAD << 52 | number:016x}"
        fields = {"class": "nonesuch", "left": "3000", "key": "7f3a", "extras": "dest:1;width:1;via:-1"}
        message = {"t": "new", "ref": ref, "f": fields, "d": "x" * size}
        requests[ref] = json.dumps(message).encode() + b"\n"
    sock = socket.create_connection((host, port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.sendall(b"".join(requests.values()))
    stop, answers, rest = time.monotonic() + seconds, 0, b""
    with suppress(ConnectionError):  # the router closes connections without a message in their first seconds
        while time.monotonic() < stop and (data := sock.recv(1 << 18)):
            *lines, rest = (rest + data).split(b"\n")
            answers += len(lines)
            sock.sendall(b"".join([requests[line[REF].decode()] for line in lines]))
    print(answers)


if __name__ == "__main__":
    main()
