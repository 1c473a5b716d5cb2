"""A worker fails all that it starts while a gang is started on it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import main  # noqa: E402

WORKERS = 8  # one of them is an eighth: srv_grey takes 0.15 of a service's workers
GREY_S = 5.5
MAX_ATTEMPTS = 4  # of the route
GANG = [{"Count": 6, "Cpu": 2000, "MemMb": 256, "EstimateMs": 1000, "Gang": True}]


async def scenario(world, has_trouble):
    await world.start(workers=WORKERS)
    await asyncio.sleep(5)
    # A gang tells which worker is chosen while all are empty; it ends well.
    if not await world.submit("5c0e7a21d94b36f0", GANG):
        raise RuntimeError("the first job was not accepted")
    await asyncio.sleep(3)
    chosen = world.starts[0][3]
    worker = next(it for it in world.workers if it.id == chosen)
    worker.is_grey = has_trouble
    world.record(f"worker {worker.id}:", "fails all that it starts" if has_trouble else "sound")
    job = "a01e8f34ad8720a2"
    if not await world.submit(job, GANG):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(GREY_S)
    worker.is_grey = False
    await asyncio.sleep(6)
    _, state = await world.state(world.daemons[0], job)
    failed_runs = {it[1] for task, ends in world.runs.items() if task.startswith(job) for it in ends
                   if it[2] == "failed"}
    world.record(f"the gang had {len(failed_runs)} runs that failed, {MAX_ATTEMPTS} are allowed; its job is {state}")
    return state == "failed" and len(failed_runs) < MAX_ATTEMPTS


main(scenario, sys.argv[1])
