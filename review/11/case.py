"""Each time the leader is lost as a gang ends, and one of its workers restarts, the next leader
crashes."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from fleet3 import BROKEN, HELD, CannotRun, main, make_job, make_manifest, new_id  # noqa: E402

ROUNDS = 6
ENDS, MACHINES = 3, 2  # of the rule: three times, on two machines at least
GANG_MS, KILL_AFTER_S = 1500, 1.2
DOWN_S = 0.3  # the site has 4.5 for a worker
RESTART_S = 1.0  # of a process of the system; the site has 3.5


async def run_gang(fleet):
    """Returns the job and the workers of its two members once both are at work."""
    job = new_id()
    await fleet.submit(f"/quotes/{job}", make_job(count=2, ms=GANG_MS, gang=True, anti_affinity=1))
    tasks = [f"{job}.0.0.{i}" for i in range(2)]
    if not await fleet.wait(lambda: all(fleet.holder(task) for task in tasks), 10):
        raise CannotRun("the gang does not start")
    return job, [fleet.holder(task) for task in tasks]


def restart_ended(fleet, killed, own_ends):
    """Starts the processes that have ended, and counts those that nobody killed."""
    for name, process in list(fleet.processes.items()):
        if process.poll() is None:
            continue
        if name != killed:
            own_ends.append(name)
            fleet.record(f"process {name} has ended by itself, status {process.returncode}")
        fleet.start_process(name)


async def play(fleet, trouble):
    await fleet.start(make_manifest(1, [("quotes", "/quotes/", "quoting")]))
    own_ends = []
    for _ in range(ROUNDS):
        job, (first, second) = await run_gang(fleet)
        killed = None
        if trouble:
            killed = fleet.leader()
            await asyncio.sleep(KILL_AFTER_S)
            fleet.signal(killed, signal.SIGKILL)
        if not await fleet.wait(lambda: not first.running and not second.running, 5):
            raise CannotRun("the gang does not end")
        if trouble:
            await second.stop("crash")
            await asyncio.sleep(DOWN_S)
            await second.start(same_id=True)
            await asyncio.sleep(RESTART_S)
        await asyncio.sleep(1)
        restart_ended(fleet, killed, own_ends)
        await asyncio.sleep(5)  # all are in touch again
        await fleet.client("GET", f"/quotes/{job}")
        if len(own_ends) >= ENDS and len(set(own_ends)) >= MACHINES:
            break
    fleet.record(f"{len(own_ends)} ends of processes that nobody killed: {sorted(own_ends)}")
    broken = len(own_ends) >= ENDS and len(set(own_ends)) >= MACHINES
    return BROKEN if broken else HELD


main(__file__, play)
