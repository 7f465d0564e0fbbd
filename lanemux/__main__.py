"""`python -m lanemux`: the command line, which starts one balancer unless told otherwise."""

import sys

from lanemux.cli import main


def run() -> None:
    """The `lanemux` command of an installed package."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
