"""Builds that are broken on purpose, one fault each: `python -m tests.rehearsal.broken.NAME` starts one balancer.

They show that the kit catches what it is there to catch; `tests/rehearsal/test_broken.py` says by what.
"""
