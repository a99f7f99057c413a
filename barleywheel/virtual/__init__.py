"""Time and sockets of a world in memory: what serves runs here unchanged, one greenlet at a time, by seed."""
