"""Stand in for the external systems, for the demo, the tests and the soak."""
