"""Test the comparison of the figures of the journal."""
