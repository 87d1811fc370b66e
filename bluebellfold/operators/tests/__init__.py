"""Test this package."""
