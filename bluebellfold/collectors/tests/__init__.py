"""Test the collectors package."""
