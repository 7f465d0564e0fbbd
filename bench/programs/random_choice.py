"""Every request to a random upstream."""

from bench.programs.plain import start

start(lambda rng, ready, held: rng.choice(ready))
