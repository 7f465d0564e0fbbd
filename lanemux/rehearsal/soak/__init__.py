"""A soak: short runs drawn from seeds, with failing system calls inside the balancers and restarts around them."""
