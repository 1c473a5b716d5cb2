"""A worker ends without a word and starts again under its Id while jobs come; soon after it is cut off."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import main  # noqa: E402

WORKERS = 24
DOWN_S = 0.4
CUT_AFTER_S = 1.0
CUT_S = 5.5  # node_cut of workers on the site
JOBS = 8  # within a tenth of a second
WORK = [{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": 12000}]
EARLIER = [{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": 60000}]


def overlaps(world):
    """Tasks with two runs at the same time, on workers that are up."""
    spans = {}
    for at, task, run, worker in world.starts:
        end = next((e for e, r, _, w in world.runs.get(task, []) if r == run and w == worker), world.record.now())
        spans.setdefault(task, []).append((at, end, run, worker))
    return {task: rows for task, rows in spans.items()
            if any(a[0] < b[1] and b[0] < a[1] for n, a in enumerate(rows) for b in rows[n + 1:])}


async def scenario(world, has_trouble):
    await world.start(workers=WORKERS)
    for n in range(3):
        if not await world.submit(f"5c0e7a21d94b36f{n}", EARLIER):
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(6)
    busiest = world.starts[0][3]
    worker = next(it for it in world.workers if it.id == busiest)
    if has_trouble:
        await worker.crash(is_silent=True)
        await asyncio.sleep(DOWN_S)
        await worker.restart()
    calls = []
    for n in range(JOBS):
        calls.append(asyncio.create_task(world.submit(f"a01e8f34ad87200{n}", WORK)))
        await asyncio.sleep(0.1 / JOBS)
    if not all(await asyncio.gather(*calls)):
        raise RuntimeError("a job was not accepted")
    await asyncio.sleep(CUT_AFTER_S)
    if has_trouble:
        worker.cut(True)
    await asyncio.sleep(CUT_S)
    if has_trouble:
        worker.cut(False)
    await asyncio.sleep(10)
    doubled = overlaps(world)
    for task, rows in doubled.items():
        for start, end, run, where in rows:
            world.record(f"two runs at the same time: {task} run {run} on {where} from {start:.3f} to {end:.3f}")
    return bool(doubled)


main(scenario, sys.argv[1])
