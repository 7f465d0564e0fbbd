"""Builds with one planted fault each: `python -m tests.rehearsal.broken.NAME` starts one balancer.

They show that a rehearsal detects these faults; `tests/rehearsal/test_broken.py` lists by which rule or figure.
"""
