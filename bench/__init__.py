"""Benchmarks and long measurements, run by hand as `python -m bench.NAME`."""
