"""An entry of another writer with a long id stands in the list of minions while
a service is set up; see claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-3"))
import fleet as f

PREFIX, HOST = "/kiln/", "kiln.example"
FINISH_S = 14


def route(name):
    return {"name": name, "host": f"{name}.example", "prefix": f"/{name}/",
            "backend": name, "priority": 0, "maxAttempts": 4, "stretch": 2.0,
            "targetDurationMs": 1000, "timeoutMs": 3000}


async def body(fleet):
    for zone in ("a", "b", "c"):
        for n in (1, 2):
            await fleet.add_minion(f"i-{zone}{n}", f"zone-{zone}")
    await fleet.configure(10, [route("rackdesk")], [{"name": "rackdesk"}])
    for zone in ("a", "b", "c"):
        await fleet.add_entry(f"entry-{zone}", f"zone-{zone}")
    await fleet.wait_ready(3)
    entries = list(fleet.entries.values())

    if f.TROUBLE:
        # Another writer's inventory tool registers a minion a zone under its
        # full name, 196 bytes; four fields are missing, nothing listens there.
        for zone in ("a", "b", "c"):
            entry = fleet.minions[f"i-{zone}1"].entry()
            for name in ("version", "slots", "coldRemainingMs", "sequence"):
                del entry[name]
            entry["address"] = f"127.0.0.1:{f.free_ports('127.0.0.1', 1)[0]}"
            name = f"inventory-zone-{zone}-".ljust(196, "x")
            fleet.log(f"another writer writes servers/{name}: {entry}")
            await fleet.store.write("servers", name, entry)
    await asyncio.sleep(3)

    # The operator sets up the service `kiln`: two minions a zone, one queue.
    for zone in ("a", "b", "c"):
        for n in (1, 2):
            await fleet.add_minion(f"k-{zone}{n}", f"zone-{zone}",
                                   backend="kiln")
    await asyncio.sleep(2)
    await fleet.configure(11, [route("rackdesk"), route("kiln")],
                          [{"name": "rackdesk"}, {"name": "kiln"}])
    await asyncio.sleep(4)

    accepted = []
    for n in range(6):
        job = f"{0xd0 + n:016x}"
        step = {"count": 2, "cpu": 1000, "memMb": 500, "estimatedMs": 500}
        if await fleet.submit(entries[n % 3], PREFIX, job, "ms=500", [step],
                              host=HOST):
            accepted.append(job)
    if not accepted:
        raise f.CaseError("no job was accepted")
    await asyncio.sleep(FINISH_S + 3)
    for job in accepted:
        state = await fleet.state(entries[0], PREFIX, job, host=HOST)
        if not any(task.startswith(job) for task in fleet.starts):
            fleet.breaks("LOST", f"job {job} is shown as {state} and has had "
                                 f"nothing running for {FINISH_S + 3} s; nothing "
                                 f"else runs on the 6 minions of its service")


f.run_case(os.path.dirname(os.path.abspath(__file__)), body)
