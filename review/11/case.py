"""Each time the leader is lost as a gang ends, and one of its workers restarts, the next leader
crashes."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from fleet3 import BROKEN, HELD, CannotRun, main, make_job, make_manifest, new_id  # noqa: E402

PLAY_S = 95
ENDS, MACHINES = 3, 2  # of the rule: three times on each of two machines, a tenth of seven or more
CONTACT_S = 3.0  # an end sooner than this after a kill or start of its process does not count
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


def restart_ended(fleet, killed_at, own_ends):
    """Starts the processes that have ended, and counts those that nobody had disturbed."""
    for name, process in list(fleet.processes.items()):
        if process.poll() is None:
            continue
        disturbed = killed_at.get(name, -CONTACT_S)
        if fleet.record.now() - disturbed > 2 * CONTACT_S and process.returncode < 0:
            own_ends[name] = own_ends.get(name, 0) + 1
            fleet.record(f"process {name} has ended by itself, status {process.returncode}")
        fleet.start_process(name)


def is_fault(own_ends):
    return sum(1 for count in own_ends.values() if count >= ENDS) >= MACHINES


async def play(fleet, trouble):
    await fleet.start(make_manifest(1, [("quotes", "/quotes/", "quoting")]))
    own_ends, killed_at = {}, {}
    rounds = 0
    while fleet.record.now() < PLAY_S and not is_fault(own_ends):
        rounds += 1
        job, (first, second) = await run_gang(fleet)
        if trouble:
            await asyncio.sleep(KILL_AFTER_S)
            leader = fleet.leader()
            killed_at[leader] = fleet.record.now()
            fleet.signal(leader, signal.SIGKILL)
        if not await fleet.wait(lambda: not first.running and not second.running, 5):
            raise CannotRun("the gang does not end")
        if trouble:
            await second.stop("crash")
            await asyncio.sleep(DOWN_S)
            await second.start(same_id=True)
            await asyncio.sleep(RESTART_S)
        await asyncio.sleep(0.3)
        restart_ended(fleet, killed_at, own_ends)
        await asyncio.sleep(CONTACT_S)  # all are in touch again
        await fleet.client("GET", f"/quotes/{job}")
    fleet.record(f"{rounds} rounds, ends of processes that nobody had disturbed: "
                 f"{dict(sorted(own_ends.items()))}")
    return BROKEN if is_fault(own_ends) else HELD


main(__file__, play)
