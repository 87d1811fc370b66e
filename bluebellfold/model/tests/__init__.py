"""Test the model."""
