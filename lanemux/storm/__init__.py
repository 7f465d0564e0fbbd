"""Retry storms: detection, mitigation, and spreading clients' retries by Retry-After. See docs/design/storm.md."""
