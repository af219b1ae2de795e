"""One-task jobs beside a service that takes a whole machine. With the trouble, twice as many of them come."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig import TROUBLE, asyncio, flavor, main, now  # noqa: E402

ZONES = ["cpt-east", "dbn-coast", "jnb-north"]
USUAL, FACTOR = 128, 2
MOST_WAIT_S = 90.0
ENDS_S = 111.0
CPUS, MEMORY_GB = 0.5, 0.9


def capacity(type_name, zone, spot):
    """One ordinary machine in cpt-east and four spot machines in jnb-north."""
    return (4 if zone == "jnb-north" else 0) if spot else (1 if zone == "cpt-east" else 0)


async def case(run):
    await run.submit(run.job("req-000100", breed="boardfront", habit="standing", precedence="critical", seeds=1,
                             cpus=32.0, memory_gb=4.0, expected_s=0.0, herd="boardops"))
    jobs = [f"req-{1001 + i:06}" for i in range(USUAL * FACTOR if TROUBLE else USUAL)]

    def submit(id):
        return run.submit(run.job(id, breed="split-verify", herd="boardops", fallow=True, run_s=300.0, expected_s=300.0,
                                  cpus=CPUS, memory_gb=MEMORY_GB))

    for first in range(0, len(jobs), 16):
        await asyncio.gather(*[submit(id) for id in jobs[first:first + 16]])
    # Since when each job waits beside a machine that it may use and that has room for it.
    since, room = {}, None
    while now() - run.began < ENDS_S:
        # All of these jobs may use any machine: they name no zone and no type, and the team has no limit.
        rooms = [(m.name, m.spec["cpus"] - m.used()[0]) for m in run.cloud.machines.values()
                 if m.up and m.used()[0] + CPUS <= m.spec["cpus"] and m.used()[1] + MEMORY_GB <= m.spec["memory_gb"]]
        for id in jobs:
            if run.running(id) or not rooms:
                since.pop(id, None)
            else:
                since.setdefault(id, now())
        left = [id for id, at in since.items() if now() - at > MOST_WAIT_S]
        if left:
            answer = await run.poll(left[0])
            return (f"{len(left)} jobs have waited for {MOST_WAIT_S:.0f} s beside a machine with room, {left[0]} one of "
                    f"them; free CPUs by machine {rooms}; answer {answer}")
        if rooms != room:
            room = rooms
            run.note(event="room", free_cpus=rooms, waiting=len(since))
        await asyncio.sleep(0.25)
    return None


main(os.path.dirname(os.path.abspath(__file__)), case, capacity=capacity, zones=ZONES,
     types=[flavor("karoo32", 32, 64, 2.03, 0.7, 5, ZONES)], boot_s=2.0, teams={"boardops": (0.0, 0.0)}, report_s=3.0,
     lease_s=30.0, cancel_s=55.0, rps=200.0, write_rps=30.0, value_kb=4.0, txn_ops=8, cloud_rps=10.0, list_lag_s=5.0,
     ram_mb=136.0, sockets=2500)
