"""Codecs: bytes to messages and back, without sockets or call state."""


class Malformed(Exception):
    """A peer sent something that is not a valid message of its protocol."""
