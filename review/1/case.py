"""One status report of another writer ends every core process that leads, again and again."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as review  # noqa: E402

RESTART_S = 1.0    # the platform starts an ended process again after a short delay
JOBS = 6
CAPACITY = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
PREFIX = "/jobs/"
JOB = {"spec": "work_ms=2000", "steps": [
    {"count": 2, "cpu": 3500, "mem_mb": 5100, "estimate_ms": 2000},
    {"count": 2, "cpu": 3500, "mem_mb": 5100, "estimate_ms": 2000, "depends_on": [0]}]}


async def restart_ended(lab, ends):
    """Starts core processes again that have ended by themselves, and records each end."""
    while True:
        await asyncio.sleep(0.05)
        for node in lab.cores + lab.edges:
            code = node.process.poll()
            if code is None:
                continue
            ends.append((node.name, code))
            lab.record("node_ended", node=node.name, code=code)
            await asyncio.sleep(RESTART_S)
            node.spawn()


async def foreign_report(lab):
    """A writer that is no worker reports itself, without `slots` and `version`."""
    body = {"service": "node-agent", "address": f"127.{lab.net}.6.1:{lab.port}", "zone": "z1",
            "state": "ready", "capacity": CAPACITY, "labels": ["a", "r1"], "machine": "m-agent",
            "clock_ms": 0, "sequence": 1, "born": -1}
    for node in lab.control_addresses():
        status, _ = await review.call(node, "PUT", "/instances/agent-1", body, timeout=1.0)
        lab.record("foreign_report", node=node, status=status)
        if status:
            return
    raise review.CannotRun("no node answered the report")


async def case(lab):
    await lab.add_workers("shop", 4, ["r1", "r2"], CAPACITY)
    await lab.put_manifest(review.manifest([review.route("jobs", "shop", PREFIX)],
                                           [review.service("shop")]))
    ends = []
    watcher = asyncio.create_task(restart_ended(lab, ends))
    jobs = [await lab.submit(PREFIX, JOB) for _ in range(JOBS)]
    await asyncio.sleep(1)
    if review.TROUBLE:
        await foreign_report(lab)
    # No more traffic from here on. After finish_s each job is asked for.
    await asyncio.sleep(review.BOUNDS["finish_s"])
    lost = []
    for job in jobs:
        end = time.monotonic() + 6
        state = await lab.state_of(PREFIX, job)
        while not isinstance(state, str) and time.monotonic() < end:
            await asyncio.sleep(0.5)
            state = await lab.state_of(PREFIX, job)
        if state != "completed":
            lost.append(f"{job}: {state}")
    watcher.cancel()
    if not lost:
        return None
    names = sorted({name for name, _ in ends})
    return (f"LOST: {len(lost)} of {JOBS} accepted jobs are not answered or not done "
            f"{review.BOUNDS['finish_s']} s after the end of the traffic ({lost[0]}); processes "
            f"ended by themselves {len(ends)} times ({', '.join(names)})")


review.main(case, cores=3, edges=2)
