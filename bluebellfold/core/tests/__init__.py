"""Test the core package."""
