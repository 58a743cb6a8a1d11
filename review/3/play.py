"""Minions of one kind are lost for good in two zones; jobs require that kind."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../standins"))
from standin import *  # noqa

FINISH_S = 14


def build(case):
    world = World(case, entries=2, minions=0)
    world.first_routes = [world.route("/checks/")]
    for zone, count in (("za", 6), ("zb", 3), ("zc", 6)):
        for i in range(count):
            world.minions.append(Minion(world, "i-%s-%d" % (zone, i), zone, kind="b" if i == 0 else "a"))
    return world


async def play(world):
    if TROUBLE:
        for it in world.minions:
            if it.kind == "b" and it.zone != "zb":
                it.crash()
    # Their entries expire after three heartbeat intervals.
    await asyncio.sleep(3 * 1.5)
    for it in world.minions:
        if not it.up:
            world.store.drop("servers", it.id)
    await asyncio.sleep(6)
    jobs = []
    for i in range(12):
        job = world.new_job([{"count": 1, "cpu": 2000, "memMb": 500, "estimatedMs": 500, "requiredLabel": "b"}], {"ms": 500})
        if await world.submit(world.entries[i % 6], "/checks/", job) == 200:
            jobs.append(job)
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    # A job is lost if it has nothing running for 3 s while a task's turn has come and there is room.
    before, busy = len(world.starts), 0
    for _ in range(60):
        busy = max(busy, sum(len(it.running) for it in world.minions))
        await asyncio.sleep(0.1)
    lost = []
    for job in jobs:
        status, body = await world.ask(world.entries[0], "GET", "/checks/" + job)
        begun = any(it[2][0].startswith(job) for it in world.starts)
        if not begun and before == len(world.starts) and busy == 0:
            world.record("%s has not begun; i-zb-0, which has the label, has been idle for 6 s" % job)
            lost.append(job)
    return "%d of %d accepted jobs wait for an idle minion" % (len(lost), len(jobs)) if lost else ""


run(HERE, build, play)
