"""A worker starts again under its Id; later it is cut off for some seconds, and is reached again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import HEARTBEAT_S, main  # noqa: E402

WORKERS = 8  # one of them is an eighth: srv_crash takes 0.15, node_cut 0.17 of a service's workers
CUT_S = 5.5  # as long as workers are cut off on the site
CALM_S = 8.0  # the 4 s and the 3 s of the rule, and one more

# Two tasks of a second each, one after the other, for a minute: some task's turn has always come.
CHAIN = [{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": 1000}]
CHAIN += [{**CHAIN[0], "DependsOn": [n]} for n in range(59)]


async def scenario(world, has_trouble):
    await world.start(workers=WORKERS)
    world.store.groups["shards"].reassign()  # "At times, all partitions are reassigned at once"
    await asyncio.sleep(3)
    worker = world.workers[-1]
    if has_trouble:
        await worker.crash()
        await asyncio.sleep(0.5)
        await worker.restart()
        await asyncio.sleep(8)
        while world.record.now() - worker.beat_at < HEARTBEAT_S - 0.2:  # its next beat is due
            await asyncio.sleep(0.02)
        worker.cut(True)
        await asyncio.sleep(1)

    job = "a01e8f34ad8720a2"
    if not await world.submit(job, CHAIN):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(CUT_S - 1)
    if has_trouble:
        worker.cut(False)
    reached_at = world.record.now()
    await asyncio.sleep(4)

    # Calm for 4 s. From here on the job must not have nothing running for 3 s: the turn of one of its tasks
    # has always come, and the workers are empty.
    longest = idle = 0.0
    step = 0.1
    end = reached_at + 4 + CALM_S
    while world.record.now() < end:
        await asyncio.sleep(step)
        is_running = any(task.startswith(job) for it in world.workers for task in it.running)
        idle = 0.0 if is_running else idle + step
        longest = max(longest, idle)
    done = sum(1 for ends in world.runs.values() for it in ends if it[2] == "done")
    world.record(f"longest time with nothing running, after 4 s of calm: {longest:.1f} s; tasks done: {done}")
    await world.state(world.daemons[0], job)
    await world.submit("5c0e7a21d94b36f8", CHAIN[:1], retries=1)
    world.record("calls refused by the workers with `fence`:", world.fenced)
    return longest >= 3.0


main(scenario, sys.argv[1])
