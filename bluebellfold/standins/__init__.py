"""Fakes of the external systems, for the demo, the tests and the soak."""
