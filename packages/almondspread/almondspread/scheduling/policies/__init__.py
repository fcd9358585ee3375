"""Rules by which tasks are ordered, limited, preempted, retried and estimated."""
