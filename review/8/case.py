"""An array of many small tasks. One machine has room for more of them than a report of 64 KiB can list."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig import TROUBLE, asyncio, main, now  # noqa: E402

WAITS_S = 90.0


async def case(run):
    small = {"seeds": 3000, "cpus": 0.02, "memory_gb": 0.03} if TROUBLE else {"seeds": 60, "cpus": 1.0, "memory_gb": 1.8}
    await run.submit(run.job("req-001001", breed="referral-match", herd="levelezes", run_s=40.0, expected_s=40.0, **small))
    until, answer = now() + WAITS_S, None
    while now() < until:
        answer = await run.poll("req-001001")
        if answer and answer[0] == 200 and answer[1]["bloom"] == "done":
            return None
        await asyncio.sleep(5.0)
    if len(run.completed) >= small["seeds"]:
        return None
    return (f"{WAITS_S:.0f} s after the job was accepted, {len(run.completed)} of {small['seeds']} tasks are complete, "
            f"each of 40 s; {run.starts} starts; reports over 64 KiB by machine {run.oversize}; answer {answer}")


main(os.path.dirname(os.path.abspath(__file__)), case)
