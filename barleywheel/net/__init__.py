"""Sockets: buffers, connections, the pool of hub connections and the journal's long poll."""
