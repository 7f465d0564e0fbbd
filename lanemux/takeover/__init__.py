"""Takeover of a running version by a new one. Imported only if the platform lets both run side by side."""

SHARED_FOLDER = "lanemux-words"  # in $TMPDIR, which both processes of a balancer share
