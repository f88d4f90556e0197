"""The leader is killed; clients cancel what they have just sent, and get 410. The jobs run."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from fleet3 import BROKEN, HELD, main, make_job, make_manifest, new_id  # noqa: E402

CONTACT_S, CANCEL_S = 3.0, 3.0  # of the site
GIVE_UP_S = 0.3  # half of target_latency_ms
RESTART_S = 1.0
JOBS = 40
GIVE_UP_EACH = 4  # one client in four gives up; the site's share is 0.25


async def hand_in(fleet, job):
    """Hands a short job in and stays."""
    await fleet.client("POST", f"/quotes/{job}", make_job(ms=300, cpu=500), edge=0)


async def hand_in_and_cancel(fleet, job):
    """Hands a job in once. Without an answer for GIVE_UP_S, or after it, cancels the job by another
    edge until that is acknowledged. Returns the answers, and when the cancelling was acknowledged."""
    post = asyncio.create_task(
        fleet.client("POST", f"/quotes/{job}", make_job(ms=1000, cpu=500, steps=14), edge=0))
    await asyncio.sleep(GIVE_UP_S)
    while True:
        cancel, _ = await fleet.client("DELETE", f"/quotes/{job}", edge=1)
        acknowledged = fleet.record.now()
        if 200 <= cancel < 300 or cancel == 410:
            return job, (await post)[0], cancel, acknowledged
        await asyncio.sleep(0.2)


async def play(fleet, trouble):
    await fleet.start(make_manifest(1, [("quotes", "/quotes/", "quoting")]))
    disturbed = fleet.record.now()
    if trouble:
        leader = fleet.leader()
        fleet.signal(leader, signal.SIGKILL)
    calls, others = [], []
    for i in range(JOBS):
        await asyncio.sleep(0.01)
        if i % GIVE_UP_EACH == 0:
            calls.append(asyncio.create_task(hand_in_and_cancel(fleet, new_id())))
        else:
            others.append(asyncio.create_task(hand_in(fleet, new_id())))
    if trouble:
        await asyncio.sleep(max(0, disturbed + RESTART_S - fleet.record.now()))
        fleet.start_process(leader)
        disturbed = fleet.record.now()
    results = await asyncio.gather(*calls)
    await asyncio.gather(*others)
    await asyncio.sleep(CONTACT_S + CANCEL_S + 4)
    broken = 0
    for job, post, cancel, acknowledged in results:
        # The leader is in touch from CONTACT_S after the last event at the core.
        counts_from = max(acknowledged + CANCEL_S, disturbed + CONTACT_S)
        late = [one for one in fleet.starts if one[1].startswith(job) and one[0] > counts_from]
        broken += bool(late)
        fleet.record(f"job {job}: POST {post}, DELETE {cancel} at {acknowledged:.3f}, starts after "
                     f"{counts_from:.3f}: {len(late)}")
    fleet.record(f"{broken} of {len(calls)} cancelled jobs were started on after their cancelling was acknowledged")
    return BROKEN if broken else HELD


main(__file__, play)
