"""A manifest replaces a route by one with another name at the same host and prefix."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import fleet_lab as lab_module  # noqa: E402

HOST, PREFIX, SERVICE = "pule25.example", "/tije37/", "lovo22d"
BOUNDS = lab_module.BOUNDS


async def scenario(lab, trouble):
    def manifest(version, name, timeout_ms):
        return lab_module.manifest(
            version, [lab_module.route(name, PREFIX, SERVICE, timeout_ms=timeout_ms)],
            [lab_module.service(SERVICE)])

    await lab.start([(SERVICE, 64000)] * 8, manifest(1, "r-35ieisp", 3000))
    job = lab_module.new_job_id()
    steps = [{"count": 5, "cpu": 5300, "mem_mb": 17000, "estimate_ms": 700, "long_running": True,
              "may_miss": 1}]
    accepted = await lab.submit(HOST, PREFIX, job, steps)

    def running():
        return [entry for entry in lab.open_runs.values() if entry["task"].startswith(job)]

    if not await lab.until(lambda: len(running()) == 5, 20):
        raise lab_module.CannotRun("the job's work items didn't start")
    await asyncio.sleep(max(0, accepted + BOUNDS["visible_ms"] / 1000 - lab.now()) + 1)
    # Version 2 removes the route and adds one at its place; without the trouble it changes the
    # time-out only.
    await lab.put_config(manifest(2, "r-9dk2m4q" if trouble else "r-35ieisp", 3500))
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + BOUNDS["contact_ms"] / 1000)
    breaks = []
    status, state = await lab.state(HOST, PREFIX, job)
    if status == 410:
        breaks.append(f"LOST: GET of the accepted job, which nobody cancelled, is answered 410; "
                      f"{len(running())} of its work items run")
    elif state != "running":
        raise lab_module.CannotRun(f"GET is answered {status} {state}")
    status, _ = await lab.client("DELETE", HOST, PREFIX + job)
    if not (200 <= status < 300 or status == 410):
        raise lab_module.CannotRun(f"the cancel is answered {status}")
    await asyncio.sleep((BOUNDS["cancel_ms"] + BOUNDS["stop_ms"]) / 1000 + 5)
    if running():
        breaks.append(f"UNASKED: {len(running())} work items run on 5 s after the bound; the "
                      f"cancel was answered {status}")
    return breaks


if __name__ == "__main__":
    lab_module.run_case(scenario, os.path.join(HERE, "record.txt"),
                        trouble="--without-trouble" not in sys.argv)
