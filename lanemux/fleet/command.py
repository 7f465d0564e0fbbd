"""`python -m lanemux fleet show ADDRESS`: the fleet's members as one balancer sees them."""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from collections.abc import Sequence

from lanemux.core.address import BadAddress, read_address

EXIT_OK, EXIT_FAILED = 0, 1
TIMEOUT_S = 2.0  # an admin call is answered within 1 s


def main(argv: Sequence[str]) -> int:
    """Exit status: 0 shown; 1 not available; 2 usage error."""
    parser = argparse.ArgumentParser("lanemux fleet", allow_abbrev=False)
    show = parser.add_subparsers(dest="command", required=True).add_parser("show", allow_abbrev=False)
    show.add_argument("address", metavar="ADDRESS", help="IP:PORT of a balancer's admin listener (admin_addr)")
    show.add_argument("--json", action="store_true", help="print the balancer's JSON unchanged")
    options = parser.parse_args(argv)
    try:
        host, port = read_address(options.address)
    except BadAddress as error:
        parser.error(str(error))
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", "/admin/fleet")
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        print(f"lanemux: {options.address}: {error}", file=sys.stderr)
        return EXIT_FAILED
    finally:
        connection.close()
    if response.status != 200:
        print(
            f"lanemux: {options.address}: {response.status}: [fleet] is off there, or it is not an admin address",
            file=sys.stderr,
        )
        return EXIT_FAILED
    print(body.decode() if options.json else _table(json.loads(body)))
    return EXIT_OK


def _table(body: dict[str, object]) -> str:
    members = body["members"]
    assert isinstance(members, list)
    rows = [
        f"{member['number']:>6}  {member['state']:<10} {member['incarnation']:>11}"
        + "  (asked)" * (member["number"] == body["me"])
        for member in members
    ]
    return "\n".join(["number  state      incarnation", *rows])
