"""Demo and maintenance scripts."""
