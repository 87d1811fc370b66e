"""Processes of the balancer and agent roles."""
