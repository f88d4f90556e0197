"""The only worker with room rejects all starts. Jobs that have not begun must count as pending."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as review  # noqa: E402

WORKERS = 12
GREY_S = 6.5       # srv_grey in the site file, share 0.085: one of twelve workers
JOBS = 10
CAPACITY = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
PREFIX = "/jobs/"
AGE_S = review.BOUNDS["visible_ms"] / 1000 + 2  # the rule: accepted longer ago than this
FILL = {"spec": "work_ms=60000", "steps": [{"count": WORKERS - 1, "cpu": 64000, "mem_mb": 1024,
                                            "estimate_ms": 60000}]}
JOB = {"spec": "work_ms=1000", "steps": [{"count": 1, "cpu": 3500, "mem_mb": 5100,
                                          "estimate_ms": 1000}]}


class GreyWorker(review.Worker):
    """A worker that rejects starts with 503 for a time, and does nothing for them."""
    grey_until = 0

    def on_start(self, order):
        if time.monotonic() < self.grey_until:
            self.lab.record("start_rejected", task=order["task"], run=order["run"], worker=self.id)
            return 503, {"clock_ms": self.clock_ms()}
        return super().on_start(order)


async def case(lab):
    review.Worker = GreyWorker
    await lab.add_workers("shop", WORKERS, ["r1", "r2"], CAPACITY)
    await lab.put_manifest(review.manifest([review.route("jobs", "shop", PREFIX)],
                                           [review.service("shop")]))
    fill = await lab.submit(PREFIX, FILL)
    end = time.monotonic() + 15
    while len(lab.running(fill)) < WORKERS - 1:
        if time.monotonic() > end:
            raise review.CannotRun("the workers were not filled")
        await asyncio.sleep(0.1)
    free = [worker for worker in lab.workers if not worker.runs]
    if len(free) != 1:
        raise review.CannotRun(f"{len(free)} workers are free")
    grey_until = time.monotonic() + GREY_S
    if review.TROUBLE:
        free[0].grey_until = grey_until
        lab.record("worker_grey", id=free[0].id)
    accepted = {}
    for _ in range(JOBS):
        job = await lab.submit(PREFIX, JOB)
        accepted[job] = time.monotonic()
    broken = None
    while time.monotonic() < grey_until - 0.1:
        asked = time.monotonic()
        status, answer = await lab.client("GET", PREFIX)
        begun = {run.task.split(".")[0] for _, run in lab.history}
        waiting = [job for job, since in accepted.items()
                   if job not in begun and asked - since > AGE_S]
        if status == 200 and waiting and answer["pending"] < len(waiting) / 2:
            broken = (f"MIXED: pending is {answer['pending']}, but {len(waiting)} jobs that were "
                      f"accepted over {AGE_S} s before have not begun")
        await asyncio.sleep(0.2)
    return broken


review.main(case)
