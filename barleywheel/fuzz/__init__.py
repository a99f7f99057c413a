"""The fuzzer: scripts and bytes, run against what serves, under the rules of service."""
