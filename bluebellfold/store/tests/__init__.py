"""Tests of the client for the platform's store."""
