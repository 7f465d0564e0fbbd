"""Programs to compare the balancer with: its own network code with textbook policies in place of its policy."""
