"""`python -m lanemux`: the command line, which starts one balancer unless told otherwise."""

from lanemux.bootstrap import main as run

if __name__ == "__main__":
    run()
