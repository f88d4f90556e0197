"""A work item whose worker crashes three times: its job is shown as failed, though no run failed."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import fleet_lab as lab_module  # noqa: E402

HOST, PREFIX, SERVICE = "pule25.example", "/puxa400/", "huvo11a"
MACHINES = 8
CRASHES = 3
DOWN_S = 2.0        # srv_crash: one of eight workers; the site file has up to 7.1 s
WORK_BEFORE_CRASH_S = 1.0
WORK_MS = 12000
ATTEMPTS = 3


async def scenario(lab, trouble):
    services = lab_module.manifest(
        1, [lab_module.route("r-iikdrbn", PREFIX, SERVICE, attempts=ATTEMPTS)],
        [lab_module.service(SERVICE)])
    await lab.start([(SERVICE, 64000)] * MACHINES, services)
    job = lab_module.new_job_id()
    task = f"{job}.0.0.0"
    steps = [{"count": 1, "cpu": 3500, "mem_mb": 5100, "estimate_ms": WORK_MS}]
    await lab.submit(HOST, PREFIX, job, steps)
    returns = []
    for _ in range(CRASHES):
        if not await lab.until(lambda: lab.machine_of(task) is not None, 25):
            break
        await asyncio.sleep(WORK_BEFORE_CRASH_S)
        machine = lab.machine_of(task)
        if trouble and machine is not None:
            returns.append(asyncio.create_task(machine.crash_for(DOWN_S)))
            await asyncio.sleep(0.2)
        else:
            await asyncio.sleep(DOWN_S)
    if returns:
        await asyncio.wait(returns)
    # All workers are up again and stay so. The job needs 12 s of work; it is looked at for 40 s.
    state = None
    for _ in range(40):
        _, state = await lab.state(HOST, PREFIX, job)
        if state in ("failed", "completed", "cancelled"):
            break
        await asyncio.sleep(1)
    failed_runs = [run for run in lab.runs if run["how"] == "failed"]
    lab.note("result", state=state, runs=len(lab.runs), failed_ends=len(failed_runs))
    if state == "failed" and len(failed_runs) < ATTEMPTS:
        return [f"LOST: the job is shown as failed after {len(failed_runs)} ends 'failed' of "
                f"{ATTEMPTS} attempts; {len(lab.runs)} runs, all ended by crashes of workers"]
    if state == "cancelled":
        return ["LOST: the job is shown as cancelled, and nobody cancelled it"]
    if state != "completed":
        raise lab_module.CannotRun(f"the job is {state} at the end")
    return []


if __name__ == "__main__":
    lab_module.run_case(scenario, os.path.join(HERE, "record.txt"))
