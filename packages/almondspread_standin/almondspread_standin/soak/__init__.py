"""A randomized soak test, which checks real processes under injected faults."""
