"""The answer to one direct start comes 3.5 s late. The task is stopped for a service later, and the service cancelled."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig import TROUBLE, CannotRun, Worker, asyncio, json, main, now  # noqa: E402

# What was sent, answered and run, in the folder of this case.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")

MOST_WAIT_S, ENDS_S = 90.0, 113.0
HELD_UP_S = 3.5
ARRAY, SERVICE = "req-001001", "req-001002"
prompt_answer = Worker.direct
held_up = []


async def late_answer(self, method, path, query, body):
    """The commands are carried out at once; the answer to the first start of the array is held up on its way."""
    answer = await prompt_answer(self, method, path, query, body)
    starts = [c["seed"] for c in json.loads(body or b"{}").get("tidings", []) if c["tiding"] == "run"]
    if TROUBLE and f"{ARRAY}/0" in starts and not held_up:
        held_up.append(self.name)
        self.run.note(event="answer held up", machine=self.name, starts=starts, seconds=HELD_UP_S)
        await asyncio.sleep(HELD_UP_S)
    return answer


Worker.direct = late_answer


def capacity(type_name, zone, spot):
    """One ordinary machine in each zone."""
    return 0 if spot else 1


async def case(run):
    task = f"{ARRAY}/0"
    await run.submit(run.job(ARRAY, breed="letter-print", herd="levelezes", precedence="idle", cpus=31.0, memory_gb=20.0,
                             field="buda-dc", run_s=300.0, expected_s=300.0))
    await run.wait_for("the array's task never ran", 40, lambda: run.running(ARRAY))
    if TROUBLE and not held_up:
        raise CannotRun("the start went in the reply to a report: no answer was held up")
    await asyncio.sleep(HELD_UP_S + 1.5)
    await run.submit(run.job(SERVICE, breed="slotdesk", herd="foglalas", habit="standing", precedence="critical", cpus=2.0,
                             memory_gb=2.0, field="buda-dc", expected_s=0.0))
    await run.wait_for("the service never ran", 30, lambda: run.running(SERVICE))
    await asyncio.sleep(1.0)
    await run.persist("POST", f"/work/{SERVICE}/withdraw", None, (200,))
    since = None
    while now() - run.began < ENDS_S:
        machines = [m for m in run.cloud.machines.values() if m.up and m.zone == "buda-dc" and not m.spot]
        idle = [m.name for m in machines if m.used()[0] + 31.0 <= m.spec["cpus"]]
        if run.running(ARRAY):
            return None
        since = (since or now()) if idle else None
        if since and now() - since > MOST_WAIT_S:
            answer = await run.poll(ARRAY)
            return (f"{task} has waited for {MOST_WAIT_S:.0f} s beside {idle}, where 32 of 32 CPUs are free and 31 are "
                    f"needed; answer {answer}")
        await asyncio.sleep(0.25)
    return None


main(RECORD, case, capacity=capacity, boot_s=2.0)
