"""An entry of another writer ends the use of sound servers.

The entry names a service that no configuration names, and the address of a server that
goes on with its heartbeats.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    BOUNDS,
    ZONE,
    Server,
    UnusableError,
    call,
    config_document,
    is_troubled,
    main,
    measure,
)

SETTLE_S = BOUNDS["contact"] + 1.0
ROUNDS = 30
PATHS = ("/first/", "/later/")


def foreign_entry(server):
    """Return the name and body of an entry that another writer made."""
    fields = {
        "service": "node-agent",  # no configuration names it
        "address": server.address,
        "zone": ZONE,
        "version": "1.8",
        "slots": 1,
        "state": "ready",
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    if os.environ.get("SAME_NAME"):
        fields["born"] = server.born_ms
        fields["sequence"] = 10**9
        return server.name, json.dumps(fields).encode()
    return f"agent-{server.name}", json.dumps(fields).encode()


async def case(deployment):
    """Return whether routes that were added later are served as the first ones."""
    record = deployment.record
    services = ["app-a", "app-b"]
    first = ("/first/", "app-a", "non_idempotent", {})
    later = ("/later/", "app-b", "non_idempotent", {})
    await deployment.begin(config_document(3, [first], services))
    servers = [
        Server(
            f"i-{number}",
            "app-a" if number < 2 else "app-b",
            deployment.server_address(number),
            deployment.controls,
            record,
        )
        for number in range(4)
    ]
    for server in servers:
        await server.start()
    await deployment.wait_served("/first/0")
    await deployment.configure(config_document(7, [first, later], services))
    await deployment.wait_served("/later/0")
    await asyncio.sleep(SETTLE_S)

    if is_troubled():
        for server in servers[2:]:
            name, body = foreign_entry(server)
            path = f"/v1/instances/{name}"
            answer = await call(deployment.controls[0], "PUT", path, body)
            record.write(f"another writer: PUT {path} {body.decode()}")
            record.write(f"answer to it: {answer.status or answer.error}")
    await asyncio.sleep(SETTLE_S)

    before = {server.name: server.acks for server in servers}
    served = await measure(deployment, PATHS, ROUNDS)
    for server in servers:
        count = server.acks - before[server.name]
        record.write(f"{count} heartbeats of {server.name} acknowledged")
    if served["/first/"] < ROUNDS / 2:
        raise UnusableError("the first route isn't served either")
    return served["/later/"] >= served["/first/"] / 4


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
