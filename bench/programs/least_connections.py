"""Least connections: the upstream with the fewest of this balancer's requests in flight; ties are broken at random."""

from bench.programs.plain import start

start(lambda rng, ready, inflight: min(ready, key=lambda upstream: (inflight[upstream], rng.random())))
