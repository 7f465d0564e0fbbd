"""Soak tests: short rehearsals drawn from seeds, with failing system calls inside the balancers and with restarts."""
