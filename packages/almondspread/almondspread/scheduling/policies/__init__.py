"""The rules by which a shard's scheduler decides about tasks and workers.

They cover the order of waiting work, team quotas, backfill, preemption, retries,
quarantine of workers, and estimates of run time and memory.
"""
