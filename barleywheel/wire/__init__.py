"""Codecs only: bytes to messages and back, no sockets and no state of calls."""


class Malformed(Exception):
    """What a peer sent is no message of its protocol."""
