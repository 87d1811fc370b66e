"""Measure the figures that the pages in docs/ cite."""
