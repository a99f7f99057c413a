"""The fuzzer: runs scripts and byte strings against the router and its parsers, and checks the results."""
