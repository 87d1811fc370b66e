"""Compare the figures of the journal by deployment and commit."""
