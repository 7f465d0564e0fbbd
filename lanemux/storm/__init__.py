"""Retry storms: noticing them, softening them, telling clients when to come back. See docs/design/storm.md."""
