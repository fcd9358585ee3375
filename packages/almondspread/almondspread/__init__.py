"""Aggregates and decisions of the almondspread cluster scheduler.

The subpackages hold values and rules only: no sockets, no wall clock, no global
random source. A clock and the platform's interfaces are passed in, so that every
rule runs the same way in the daemon, in tests and in measurements.
"""
