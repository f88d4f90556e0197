"""A rack of workers loses power three times while a job runs there. The job must not fail."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as review  # noqa: E402

DARK_S = 4.5       # length of an outage; srv_crash in the site file
OUTAGES = 3
WORK_MS = 4000     # work of the job's only task
CAPACITY = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
PREFIX = "/jobs/"
JOB = {"spec": f"work_ms={WORK_MS}",
       "steps": [{"count": 1, "cpu": 3500, "mem_mb": 5100, "estimate_ms": WORK_MS,
                  "required_label": "r1"}]}


async def wait_until_running(lab, job, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if lab.running(job):
            return True
        state = await lab.state_of(PREFIX, job)
        if state in ("failed", "completed"):
            return False
        await asyncio.sleep(0.2)
    return False


async def outage(lab):
    """All workers of the rack are silent for DARK_S, then start again."""
    rack = [worker for worker in lab.workers if "r1" in worker.labels]
    for worker in rack:
        worker.crash()
    await asyncio.sleep(DARK_S)
    for worker in rack:
        await lab.restart_worker(worker)


async def case(lab):
    await lab.add_workers("shop", 8, ["r1", "r2"], CAPACITY)
    await lab.put_manifest(review.manifest([review.route("jobs", "shop", PREFIX)],
                                           [review.service("shop")]))
    job = await lab.submit(PREFIX, JOB)
    if not await wait_until_running(lab, job, 15):
        raise review.CannotRun("the job did not start")
    for _ in range(OUTAGES if review.TROUBLE else 0):
        if not await wait_until_running(lab, job, 20):
            break
        await asyncio.sleep(1)
        await outage(lab)
    end = time.monotonic() + 40
    while time.monotonic() < end:
        state = await lab.state_of(PREFIX, job)
        if state == "completed":
            return None
        if state == "failed":
            ends = [run.how for _, run in lab.history if run.how == "failed"]
            return (f"LOST: the job is shown as failed; runs that ended failed: {len(ends)} "
                    f"of 3 attempts, runs that a crash ended: "
                    f"{sum(run.how == 'crashed' for _, run in lab.history)}")
        await asyncio.sleep(0.5)
    return f"LOST: the job has not ended; state {state}"


review.main(case)
