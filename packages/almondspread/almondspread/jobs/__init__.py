"""Jobs of callers: their steps and tasks, and the leader's decisions on them."""
