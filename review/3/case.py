"""Two jobs with a mistake make the only machine of a zone unusable for all others, also after they are cancelled."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig"))
import rig

ZONE = "gyor-dc"
GOOD = "req-000400"
WAITS_S = 90.0


def scenario(d, trouble):
    machine = next(w for w in d.workers if w.zone == ZONE)
    if not d.wait(lambda: all(w.token > 0 for w in d.workers), 20):
        raise rig.CannotRun("the machines have no leader")
    # Each machine runs a replica of a critical service all the time.
    services = [d.job(f"req-00020{n}", breed="slotdesk", habit="standing", precedence="critical", cpus=1.0, field=zone,
                      expected_s=0.0, bulb="img-02") for n, zone in enumerate(d.zones)]
    if not all(d.submit(s) for s in services) or not d.wait(lambda: all(d.live(s["id"]) for s in services), 20):
        raise rig.CannotRun("not all services run")
    if trouble:
        # Their tasks fail wherever they start, until their users cancel them.
        wrong = [d.job(f"req-00030{n}", field=ZONE, cpus=2.0, expected_s=5.0) for n in range(2)]
        d.mistakes.update(job["id"] for job in wrong)
        if not all(d.submit(job) for job in wrong):
            raise rig.CannotRun("not accepted")
        failed = lambda id: any(e[1] == "end" and e[3].startswith(id + "/") for e in d.events)
        if not d.wait(lambda: all(failed(job["id"]) for job in wrong), 10):
            raise rig.CannotRun("the jobs with a mistake did not begin")
        time.sleep(1.0)
        if not all(d.cancel(job["id"]) for job in wrong):
            raise rig.CannotRun("not cancelled")
    # From now on the machine has 31 of 32 cpus free, and the team uses 3 of 936 cpus. Another critical service comes.
    if not d.submit(d.job(GOOD, breed="slotdesk", habit="standing", precedence="critical", cpus=1.0, field=ZONE,
                          expected_s=0.0, bulb="img-02")):
        raise rig.CannotRun("not accepted")
    since, state, began = rig.now(), "queued", False
    d.record("the trouble is over")
    while rig.now() - since < WAITS_S + 1.0 and not began:
        time.sleep(2.0)
        state = d.poll(GOOD) or state
        began = any(e[1] == "start" and e[3].startswith(GOOD + "/") for e in d.events)
    d.record(f"{rig.now() - since:.0f} s after the trouble {GOOD} is {state}, it has {'' if began else 'not '}begun")
    if machine.deleted:
        raise rig.CannotRun("the machine was returned")
    if not began:
        return f"{GOOD} is {state} for {WAITS_S:.0f} s while {machine.name} is up, well, and has 31 of 32 CPUs free"
    return None


sys.exit(rig.main(FOLDER, rig.Deployment.zones, scenario))
