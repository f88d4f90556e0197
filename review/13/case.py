"""A job whose cancelling is refused with 404 works on, since its queue left the manifest."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from fleet3 import BROKEN, HELD, CannotRun, main, make_job, make_manifest, new_id  # noqa: E402

CONFIG_APPLY_S, ACK_S, CANCEL_S, STOP_S = 2.0, 4.0, 3.0, 0.2  # of the site
KEPT = ("audits", "/audits/", "dyeworks")
DROPPED = ("quotes", "/quotes/", "quoting")


async def play(fleet, trouble):
    await fleet.start(make_manifest(1, [KEPT, DROPPED]))
    job = new_id()
    await fleet.submit(f"/quotes/{job}", make_job(count=2, ms=2000, steps=20))
    if not await fleet.wait(lambda: any(one[1].startswith(job) for one in fleet.starts), 10):
        raise CannotRun("the job does not start")
    # The change and its neighbour: the one drops the queue, the other only gives a version.
    await fleet.configure(make_manifest(2, [KEPT] if trouble else [KEPT, DROPPED]))
    await asyncio.sleep(CONFIG_APPLY_S)
    first = fleet.record.now()
    acknowledged = None
    tries = 0
    while acknowledged is None and fleet.record.now() < first + ACK_S:
        status, _ = await fleet.client("DELETE", f"/quotes/{job}", edge=tries % 2)
        tries += 1
        if 200 <= status < 300 or status == 410:
            acknowledged = fleet.record.now()
            break
        await asyncio.sleep(0.4)
    # "acknowledged (or had waited ack_ms of steady state for its ack)"
    counts_from = (acknowledged or first + ACK_S) + CANCEL_S
    await asyncio.sleep(counts_from + STOP_S + 6 - fleet.record.now())
    late = [one for one in fleet.starts if one[1].startswith(job) and one[0] > counts_from]
    fleet.record(f"cancelled first at {first:.3f}, acknowledged at {acknowledged}, starts of the "
                 f"job after {counts_from:.3f}: {len(late)}")
    return BROKEN if late else HELD


main(__file__, play)
