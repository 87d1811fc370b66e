"""Test the store package."""
