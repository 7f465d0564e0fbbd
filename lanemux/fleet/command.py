"""`python -m lanemux fleet show ADDRESS`: who is there, as one balancer sees it."""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from collections.abc import Sequence

from lanemux.core.address import BadAddress, read_address

SHOWN, FAILED = 0, 1
ANSWER_S = 2.0  # a call is answered within one


def main(argv: Sequence[str]) -> int:
    """Exit status: 0 shown; 1 it can't be had; 2 bad use."""
    parser = argparse.ArgumentParser("lanemux fleet", allow_abbrev=False)
    show = parser.add_subparsers(dest="command", required=True).add_parser("show", allow_abbrev=False)
    show.add_argument("address", metavar="ADDRESS", help="IP:PORT of a balancer's second address")
    show.add_argument("--json", action="store_true", help="as the balancer tells it")
    options = parser.parse_args(argv)
    try:
        host, port = read_address(options.address)
    except BadAddress as error:
        parser.error(str(error))
    connection = http.client.HTTPConnection(host, port, timeout=ANSWER_S)
    try:
        connection.request("GET", "/admin/fleet")
        answer = connection.getresponse()
        told = answer.read()
    except (OSError, http.client.HTTPException) as error:
        print(f"lanemux: {options.address}: {error}", file=sys.stderr)
        return FAILED
    finally:
        connection.close()
    if answer.status != 200:
        print(
            f"lanemux: {options.address}: {answer.status}: [fleet] is off there, or it is no second address",
            file=sys.stderr,
        )
        return FAILED
    print(told.decode() if options.json else _table(json.loads(told)))
    return SHOWN


def _table(told: dict[str, object]) -> str:
    members = told["members"]
    assert isinstance(members, list)
    rows = [
        f"{m['number']:>6}  {m['state']:<10} {m['incarnation']:>11}" + "  (asked)" * (m["number"] == told["me"])
        for m in members
    ]
    return "\n".join(["number  state      incarnation", *rows])
