"""Virtual time and in-memory sockets: the unmodified router runs on them, reproducibly for a given seed."""
