"""Scheduling of jobs: their steps and tasks, and the decisions of the leader."""
