"""Protocol-independent call processing, from a caller's request to the release of the call."""
