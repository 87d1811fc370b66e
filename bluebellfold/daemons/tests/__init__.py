"""Tests of the daemons."""
