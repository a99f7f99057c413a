"""Networking: sockets, buffers, connections, the pool of hub connections and the journal client."""
