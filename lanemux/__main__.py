"""`python -m lanemux`: the command line, which starts one balancer unless told otherwise."""

import os
import sys


def run() -> None:
    """The `lanemux` command of an installed package."""
    if os.environ.get("RELAY_LISTEN_FD"):  # another version may be serving: its clients come first
        from lanemux.takeover.pace import begin, end

        begin()
        try:
            status = _main()
        finally:
            end()  # a start may fail before it has ended
        sys.exit(status)
    sys.exit(_main())


def _main() -> int:
    from lanemux.cli import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    run()
