"""Test the daemons."""
