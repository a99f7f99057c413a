"""The ways in: each front turns its wire's messages into requests and answers."""
