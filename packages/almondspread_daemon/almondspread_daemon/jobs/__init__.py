"""The part of an instance that runs callers' jobs on upstreams."""
