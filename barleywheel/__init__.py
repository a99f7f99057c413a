"""barleywheel: call-control decisions for one exchange of a circuit-switched network."""
