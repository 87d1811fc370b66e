"""Test the soak."""
