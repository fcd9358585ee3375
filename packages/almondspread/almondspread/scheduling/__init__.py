"""Scheduling: what runs where and when."""
