"""Test the flows and requests of an agent."""
