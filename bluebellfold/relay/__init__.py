"""Relay the packets of flows that only their two ends can read."""
