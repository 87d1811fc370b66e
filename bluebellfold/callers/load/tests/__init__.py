"""Test the decisions of the load generator."""
