"""Tests of the relay beside an upstream."""
