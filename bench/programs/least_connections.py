"""Every request to the upstream that holds the fewest of this balancer's, a random one of those."""

from bench.programs.plain import start

start(lambda rng, ready, held: min(ready, key=lambda upstream: (held[upstream], rng.random())))
