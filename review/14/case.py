"""DELETE is answered 410 and the job runs on: a manifest dropped the nested prefix of its queue."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from fleet3 import BROKEN, HELD, CannotRun, main, make_job, make_manifest, new_id  # noqa: E402

CONFIG_APPLY_S, CANCEL_S, VISIBLE_S = 2.0, 3.0, 3.0  # of the site
OUTER = ("audits", "/jobs/", "dyeworks")
NESTED = ("quotes", "/jobs/quotes/", "quoting")


async def play(fleet, trouble):
    await fleet.start(make_manifest(1, [OUTER, NESTED]))
    job = new_id()
    path = f"/jobs/quotes/{job}"
    await fleet.submit(path, make_job(count=2, ms=2000, steps=20))
    accepted = fleet.record.now()
    if not await fleet.wait(lambda: any(one[1].startswith(job) for one in fleet.starts), 10):
        raise CannotRun("the job does not start")
    await fleet.configure(make_manifest(2, [OUTER] if trouble else [OUTER, NESTED]))
    await asyncio.sleep(CONFIG_APPLY_S)
    await asyncio.sleep(max(0, accepted + VISIBLE_S + 0.5 - fleet.record.now()))
    status, _ = await fleet.client("GET", path)
    fleet.record(f"GET sent over {VISIBLE_S:.0f} s after the job was accepted: {status}")
    status, _ = await fleet.client("DELETE", path, edge=1)
    if not (200 <= status < 300 or status == 410):
        raise CannotRun("the cancelling is not acknowledged")
    counts_from = fleet.record.now() + CANCEL_S
    await asyncio.sleep(CANCEL_S + 6)
    late = [one for one in fleet.starts if one[1].startswith(job) and one[0] > counts_from]
    await fleet.configure(make_manifest(3, [OUTER, NESTED]))
    await fleet.client("GET", path)
    fleet.record(f"cancelling acknowledged with {status}, starts of the job later than "
                 f"{CANCEL_S:.0f} s after that: {len(late)}")
    return BROKEN if late else HELD


main(__file__, play)
