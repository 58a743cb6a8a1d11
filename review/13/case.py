"""The minions of two small services go down and up by turns; see claim.txt."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-3"))
import fleet as f

SERVICES = ("kiln", "press")
GAP_S, FLAP_S, PAUSE_S = 1.4, 6.5, 2.0


async def body(fleet):
    seed = random.Random(12)
    # 24 minions: 22 of rackdesk, 1 of kiln and 1 of press.
    for zone, count in (("a", 7), ("b", 7), ("c", 8)):
        for n in range(count):
            await fleet.add_minion(f"i-{zone}{n}", f"zone-{zone}")
    minions = [await fleet.add_minion("i-kiln", "zone-a", backend="kiln"),
               await fleet.add_minion("i-press", "zone-b", backend="press")]
    await fleet.configure(10, [{
        "name": name, "host": f"{name}.example", "prefix": f"/{name}/",
        "backend": name, "priority": 0, "maxAttempts": 4, "stretch": 2.0,
        "targetDurationMs": 1000, "timeoutMs": 3000} for name in SERVICES],
        [{"name": name} for name in ("rackdesk", *SERVICES)])
    for zone in ("a", "b", "c"):
        await fleet.add_entry(f"entry-{zone}", f"zone-{zone}")
    await fleet.wait_ready(3)
    entries = list(fleet.entries.values())
    accepted = {}

    async def client(name, until):
        while fleet.record.now() < until:
            job = f"{seed.getrandbits(64):016x}"
            ms = seed.choice([200, 300, 400, 600])
            step = {"count": seed.randint(8, 16), "cpu": 1000, "memMb": 500,
                    "estimatedMs": ms}
            asyncio.create_task(send(name, job, ms, step))
            await asyncio.sleep(seed.uniform(0.4, 0.7))

    async def send(name, job, ms, step):
        if await fleet.submit(seed.choice(entries), f"/{name}/", job,
                              f"ms={ms}", [step], tries=1,
                              host=f"{name}.example"):
            accepted[job] = name

    async def flap(minion, for_s):
        """Down and up by turns."""
        until = fleet.record.now() + for_s
        while fleet.record.now() + GAP_S < until:
            minion.crash()
            await asyncio.sleep(GAP_S)
            await minion.start()
            await asyncio.sleep(GAP_S)

    async def trouble(minion):
        for _ in range(7):
            await asyncio.sleep(PAUSE_S)
            await flap(minion, FLAP_S)

    end = fleet.record.now() + 60
    doing = [client(name, end) for name in SERVICES]
    if f.TROUBLE:
        doing += [trouble(it) for it in minions]
    await asyncio.gather(*doing)
    await asyncio.sleep(14)
    failed_ends = {task.split(".")[0] for task, ends in fleet.ends.items()
                   if any(it["how"] == "failed" for it in ends)}
    for job, name in accepted.items():
        state = await fleet.state(entries[0], f"/{name}/", job,
                                  host=f"{name}.example")
        if state in ("failed", "cancelled") and job not in failed_ends:
            fleet.breaks("LOST", f"job {job} is shown as {state}; none of its "
                                 f"runs has ended failed")
    fleet.log(f"{len(accepted)} jobs were accepted")


f.run_case(os.path.dirname(os.path.abspath(__file__)), body)
