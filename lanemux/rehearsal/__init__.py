"""The rehearsal kit: a day of service on this machine's loopback, and a judge of it.

It shares no code with the balancer that it judges: its framing, records and boxes are its own. Start it with
`python -m lanemux rehearse`; see docs/operating/rehearsal.md.
"""
