"""Run the processes of the balancer and agent roles."""
