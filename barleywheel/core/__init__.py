"""The life of a call, from request to release, in no wire's terms."""
