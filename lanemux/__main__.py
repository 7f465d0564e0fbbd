"""`python -m lanemux`: the command line, which runs one balancer by default."""

from lanemux.bootstrap import main as run

if __name__ == "__main__":
    run()
