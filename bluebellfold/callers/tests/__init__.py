"""Test the callers package."""
