"""The part of an entry instance that runs callers' jobs on upstreams."""
