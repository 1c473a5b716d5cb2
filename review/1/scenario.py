"""Answers of the store are lost while an owner has written little; later the owner is stopped and started."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import main  # noqa: E402

VISIBLE_S = 3.0  # visible_ms
CONTACT_S = 3.0  # ContactMs
LOST_FOR_S = 2.5  # the largest dose is 4.5 s
SHORT = [{"Count": 1, "Cpu": 500, "MemMb": 256, "EstimateMs": 300}]
LONG = [{"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 60000}]


async def scenario(world, has_trouble):
    await world.start()
    world.store.groups["shards"].reassign()  # "At times, all partitions are reassigned at once"
    await asyncio.sleep(3)
    await world.submit("5c0e7a21d94b36f8", SHORT)
    await asyncio.sleep(2)
    owner = world.owner_of()
    others = [it for it in world.daemons if it is not owner]
    world.record("owner of the queue:", owner.name)

    # Answers of the store are lost: those to the owner's renewals of its membership. All other writes, of
    # this machine and of the others, are answered.
    name = f"127.0.0.1:{owner.ports['peers']}/"
    before = world.store.writes
    if has_trouble:
        world.store.loses = lambda path, body: (
            path == "/log-join" and json.loads(body)["Member"].startswith(name))
        world.record("store: answers are lost from here on")
    await asyncio.sleep(LOST_FOR_S)
    world.store.loses = lambda path, body: False
    writes = world.store.writes - before
    world.record(f"store: answers are no longer lost; {world.store.lost} of {writes} writes lost theirs")
    await asyncio.sleep(CONTACT_S + 1)

    # Calm again: a job is accepted. It has work for a minute.
    job = "a01e8f34ad8720a2"
    if not await world.submit(job, LONG):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(VISIBLE_S + 1)
    await world.state(others[0], job)

    # Planned work: the owner is stopped and started again.
    await owner.stop(signal.SIGTERM)
    await asyncio.sleep(0.5)
    await owner.start()
    await asyncio.sleep(CONTACT_S + 3)
    is_lost = False
    for it in others:  # in touch: nothing has happened to these machines, and the store has been calm
        status, _ = await world.state(it, job)
        is_lost = is_lost or status == 410
    starts = [it for it in world.starts if it[1].startswith(job)]
    world.record("starts of the job's tasks:", starts)
    world.record("ends of the job's tasks:", {t: e for t, e in world.runs.items() if t.startswith(job)})
    return is_lost


main(scenario, sys.argv[1])
