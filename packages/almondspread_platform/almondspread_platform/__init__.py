"""Part of almondspread; see docs/ARCHITECTURE.md."""
