"""Measurements of requests, with entry instances as real processes."""
