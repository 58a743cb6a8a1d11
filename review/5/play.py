"""Large jobs come at once; gangs wait behind them."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../standins"))
from standin import *  # noqa

VISIBLE_S = 3.0


def build(case):
    world = World(case, entries=2, minions=2)
    world.first_routes = [world.route("/plans/"), world.route("/gangs/", priority=1)]
    return world


async def play(world):
    if TROUBLE:
        for it in world.entries:
            job = world.new_job([{"count": 3, "cpu": 4000, "memMb": 500, "estimatedMs": 20000}], {"ms": 20000})
            await world.submit(it, "/plans/", job)
    await asyncio.sleep(2)
    jobs = []
    for i in range(9):
        job = world.new_job([{"count": 6, "cpu": 3000, "memMb": 500, "estimatedMs": 500, "gang": True}],
                            {"ms": 500, "gang": 6})
        if await world.submit(world.entries[i % 6], "/gangs/", job) == 200:
            jobs.append((now(), job))
    await asyncio.sleep(VISIBLE_S + 2.5)
    wrong = []
    for _ in range(6):
        for it in world.entries:
            sent_at = now()
            status, body = await world.ask(it, "GET", "/gangs/")
            waiting = [j for at, j in jobs if sent_at - at > VISIBLE_S + 2
                       and not any(start[2][0].startswith(j) for start in world.starts)]
            if status == 200 and body["pending"] < len(waiting) / 2:
                world.record("%d jobs were accepted over %d s before and haven't begun; pending is %d" %
                             (len(waiting), VISIBLE_S + 2, body["pending"]))
                wrong.append(body["pending"])
        await asyncio.sleep(0.5)
    await asyncio.sleep(20)
    for _, job in jobs:
        await world.ask(world.entries[0], "GET", "/gangs/" + job)
    return "%d of 36 answers gave under half of the waiting jobs as pending" % len(wrong) if wrong else ""


run(HERE, build, play)
