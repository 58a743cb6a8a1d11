"""The open connections to the store go silent; then a route is added."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../standins"))
from standin import *  # noqa

CONTACT_S, CONFIG_S, STRETCH_S = 3.0, 2.0, 5.0


def build(case):
    world = World(case, entries=2, minions=2)
    world.first_routes = [world.route("/checks/")]
    return world


async def play(world):
    jobs, asked = [], []
    steps = [{"count": 4, "cpu": 1000, "memMb": 200, "estimatedMs": 200}]

    async def hand_in():
        job = world.new_job(steps, {"ms": 200})
        if await world.submit(random.choice(world.entries), "/checks/", job) == 200:
            jobs.append(job)

    for _ in range(60):
        asyncio.ensure_future(hand_in())
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)
    # Clients ask for the states of jobs that have ended.
    for entry in world.entries:
        asked += [world.ask(entry, "GET", "/checks/" + it, quiet=True) for it in random.sample(jobs, 30)]
    await asyncio.gather(*asked)
    await asyncio.sleep(0.5)
    silent_at = now()
    if TROUBLE:
        world.record("%d open connections to the store go silent" % world.store.silence())
    await asyncio.sleep(0.2)
    world.put_config(world.routes + [world.route("/added/")])
    acked_at, late = now(), []

    async def look(entry):
        while now() < acked_at + 30:
            sent_at = now()
            status, _ = await world.ask(entry, "GET", "/added/", quiet=True)
            world.record("%s: GET /added/ sent %.2f s after the acknowledgement -> %s" %
                         (entry.name, sent_at - acked_at, status))
            # The longest bound: stretched, as if the store itself had been disturbed.
            if status == 404 and sent_at > acked_at + CONFIG_S + STRETCH_S and sent_at > silent_at + CONTACT_S:
                late.append(sent_at - acked_at)
            if status == 200:
                return
            await asyncio.sleep(0.2)

    await asyncio.gather(*[look(it) for it in world.entries])
    if not late:
        return ""
    return "%d requests for the added route were refused with 404 over %d s after the acknowledgement, the last one " \
        "after %.2f s" % (len(late), CONFIG_S + STRETCH_S, max(late))


run(HERE, build, play)
