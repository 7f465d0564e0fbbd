"""Who is there among the balancers, and what they settle, in peers' datagrams."""
