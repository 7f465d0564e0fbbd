"""Random choice: every request goes to a random ready upstream."""

from bench.programs.plain import start

start(lambda rng, ready, inflight: rng.choice(ready))
