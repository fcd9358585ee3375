"""The HTTP API of an entry instance, and the limits on clients of any listener.

The package imports nothing, since the platform's program uses only the limits.
"""
