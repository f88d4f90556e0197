"""A rack of workers loses power once. Lasting tasks must run again once its workers are back."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as review  # noqa: E402

DARK_S = 4.5       # length of the outage; srv_crash in the site file
IDLE_S = 3.0       # the rule: nothing running for 3 s ...
SINCE_RUN_S = 6.0  # ... from 6 s after the last run ...
CALM_S = 4.0       # ... if these 3 s and the 4 s before them are calm
WATCH_S = 25.0
CAPACITY = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
COUNT = 4          # as many as the rack has workers
JOB = {"spec": "lasts", "steps": [{"count": COUNT, "cpu": 5300, "mem_mb": 4000, "estimate_ms": 700,
                                   "anti_affinity": 1, "required_label": "r1",
                                   "long_running": True}]}


def idle_tasks(lab, job):
    """Returns the tasks of the job that nothing runs, with the time since their last run."""
    idle, now = {}, time.monotonic()
    for index in range(COUNT):
        task = f"{job}.0.0.{index}"
        runs = [run for _, run in lab.history if run.task == task]
        if runs and all(run.ended for run in runs):
            idle[task] = now - max(run.ended for run in runs)
    return idle


async def wait_until_running(lab, job):
    end = time.monotonic() + 15
    while len(lab.running(job)) < COUNT:
        if time.monotonic() > end:
            raise review.CannotRun("the lasting tasks did not start")
        await asyncio.sleep(0.1)


async def case(lab):
    await lab.add_workers("shop", 8, ["r1", "r2"], CAPACITY)
    await lab.put_manifest(review.manifest(
        [review.route("usual", "shop", "/usual/", priority=1),
         review.route("urgent", "shop", "/urgent/", priority=0)], [review.service("shop")]))
    job = await lab.submit("/usual/", JOB)
    await wait_until_running(lab, job)
    await asyncio.sleep(1)
    rack = [worker for worker in lab.workers if "r1" in worker.labels]
    if review.TROUBLE:
        for worker in rack:
            worker.crash()
    await asyncio.sleep(DARK_S / 2)
    await lab.submit("/urgent/", JOB)
    await asyncio.sleep(DARK_S / 2)
    if review.TROUBLE:
        for worker in rack:
            await lab.restart_worker(worker)
    # All workers are up and nothing disturbs them from here on.
    calm_since = time.monotonic()
    idle_since = {}
    while time.monotonic() < calm_since + WATCH_S:
        now = time.monotonic()
        idle = idle_tasks(lab, job)
        idle_since = {task: idle_since.get(task, now) for task in idle}
        for task, since_run in idle.items():
            counted_from = max(idle_since[task], calm_since + CALM_S, now - since_run + SINCE_RUN_S)
            if now - counted_from >= IDLE_S:
                return (f"LOST: {task} has nothing running {since_run:.1f} s after its last run; "
                        f"calm for {now - calm_since:.1f} s; {len(idle)} of {COUNT} tasks idle")
        await asyncio.sleep(0.1)
    return None


review.main(case)
