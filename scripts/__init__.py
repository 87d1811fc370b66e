"""Provide the demo and the maintenance scripts."""
