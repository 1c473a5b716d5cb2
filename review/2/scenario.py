"""A version of the configuration sends what is under a path to another service while jobs are at work."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import main  # noqa: E402

VISIBLE_S = 3.0  # visible_ms
APPLY_S = 2.0  # ConfigApplyMs
LONG = [{"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 40000}]


async def scenario(world, has_trouble):
    world.services = ["pankha", "shanti"]
    await world.start(workers=6)
    await asyncio.sleep(3)
    job = "a01e8f34ad8720a2"
    if not await world.submit(job, LONG):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(VISIBLE_S + 1)
    await world.state(world.daemons[0], job)

    # The next version removes the route and adds one for the same host and path. The only difference: the
    # service of the new one.
    world.configure(7, "shanti" if has_trouble else "pankha", name="r-2")
    await asyncio.sleep(APPLY_S + 4)
    is_lost = False
    for it in world.daemons:
        status, _ = await world.state(it, job)
        is_lost = is_lost or status == 410

    # What else clients and workers see of it: a cancel, and a repeat of the first request.
    await world.call(world.daemons[1], "POST", job, world.specs[job])
    await asyncio.sleep(2)
    for it in world.workers:
        for task, (run, _) in it.running.items():
            world.record(f"at work on {it.id} of {it.entry['Service']}: {task} run {run}")
    await world.call(world.daemons[2], "DELETE", job)
    await asyncio.sleep(5)
    for it in world.workers:
        for task, (run, _) in it.running.items():
            world.record(f"at work on {it.id} of {it.entry['Service']} 5 s after the cancel: {task} run {run}")
    return is_lost


main(scenario, Path(__file__).resolve().parent)
