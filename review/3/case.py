"""A pipeline of 26 steps with two jobs each: the leader computes inherited deadlines for minutes and answers nothing."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig"))
import rig

FIRST, STEPS = 60, 24
BASE_S = 10.0
WATCHED_S = 75.0


def cpu_s(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def scenario(d, trouble):
    d.verbose = False
    if not d.wait(lambda: all(w.token > 0 for w in d.workers), 20):
        raise rig.CannotRun("the machines have no leader")
    count = 0

    def add(awaits, expected_s, **fields):
        nonlocal count
        count += 1
        job = d.job(f"req-{count:06d}", awaits=awaits, expected_s=expected_s, **fields)
        d.run_times[job["id"]] = 900.0
        if not d.submit(job):
            raise rig.CannotRun(f"{job['id']} is not accepted")
        return job["id"]

    # Each step has a short job and a longer one; both need both jobs of the step before. The longer jobs take 1 ms
    # more than the short one in the first step, and in each later step twice as much more; 2.3 hours in the last.
    step = [add(None, BASE_S) for _ in range(FIRST)]
    for number in range(STEPS):
        more_s = 0.001 * 2**number if trouble else 0.0
        step = [add(step, BASE_S), add(step, BASE_S + more_s)]
    leader = d.state.leader()
    # The last job of the pipeline has the deadline.
    last = d.job("req-000900", awaits=step, expected_s=8.0, precedence="urgent", harvest_s=36000.0)
    d.specs[last["id"]] = last
    if not d.submit(last, within=30.0):
        raise rig.CannotRun("the last job is not accepted")
    d.record(f"the pipeline is complete, the leader at its submission is {leader}")
    began, answered = rig.now(), {n: rig.now() for n in range(len(d.names))}
    while rig.now() - began < WATCHED_S:
        for node in range(len(d.names)):
            if d.ask(node, "GET", "/up", None, 1.0)[0] is not None:
                answered[node] = rig.now()
        time.sleep(1.0)
    for node, name in enumerate(d.names):
        process = d.processes[node]
        alive = process.poll() is None
        d.record(f"{name}: process {'runs' if alive else 'has ended'}, silent for {rig.now() - answered[node]:.0f} s, "
                 f"has used {cpu_s(process.pid) if alive else 0:.0f} s of processor time")
    silent = [name for node, name in enumerate(d.names) if rig.now() - answered[node] > WATCHED_S - 10.0]
    if silent:
        return f"{silent} answer nothing for {WATCHED_S - 10.0:.0f} s or more, without any fault in the deployment"
    return None


sys.exit(rig.main(FOLDER, rig.Deployment.zones, scenario))
