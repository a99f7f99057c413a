"""Fronts: each accepts calls over one protocol and turns its messages into requests and answers."""
