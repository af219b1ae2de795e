//! Jobs with zone constraints lose machines.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, SERVICES, User, job};
use crate::rules::{RuleWatch, Zones};
use crate::settings::{FIRST_ZONE, Size};
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// The zone that loses all its machines.
const LOST: &str = FIRST_ZONE;
/// The other zones.
const OTHERS: [&str; 2] = ["b", "c"];
const MACHINES_IN_LOST: usize = 6;
const MACHINES_IN_OTHERS: usize = 5;
const LEASE_S: u64 = 9;
const CANCEL: Duration = Duration::from_secs(10);
const WITHIN: Duration = Duration::from_secs(40);

/// Two tasks fill a machine, so that no machine holds a whole job.
const LARGE_CPUS: f64 = 3.0;
const ONE_ZONE_TASKS: u32 = 3;
const SPREAD_TASKS: u32 = 4;
const SPREAD_IN_ONE_ZONE: usize = 2;
const SMALL_CPUS: f64 = 1.0;
const ONLY_HERE_TASKS: u32 = 2;

fn service_id(i: usize) -> String {
    format!("{SERVICES}{i:02}")
}

/// Returns the id of an array whose tasks run until the test ends them.
fn array_id(i: usize) -> String {
    format!("{LONG}{i:02}")
}

/// A job with a zone constraint.
struct Job {
    id: String,
    tasks: u32,
    cpus: f64,
    zones: Zones,
}

impl Job {
    fn new(id: String, tasks: u32, cpus: f64, zones: Zones) -> Job {
        Job { id, tasks, cpus, zones }
    }

    fn submission(&self) -> Value {
        let habit = if self.id.starts_with(SERVICES) { "standing" } else { "batch" };
        let mut submission = job(&self.id, habit, self.tasks);
        submission["cpus"] = json!(self.cpus);
        // Jobs of lower priority would leave a part of each machine free for a while.
        submission["precedence"] = json!("critical");
        match self.zones {
            Zones::Only(zone) => submission["field"] = json!(zone),
            Zones::One => submission["same_place"] = json!(true),
            Zones::AtMost(_) => submission["scatter"] = json!(true),
        }
        submission
    }
}

/// A cluster, a user, and the rule checker.
struct Scenario {
    cluster: Cluster,
    watch: RuleWatch,
    user: User,
}

impl Scenario {
    fn submit(&self, jobs: &[Job]) {
        for job in jobs {
            self.watch.restrict_zones(&job.id, job.zones);
            let submission = job.submission();
            self.user.ask_until(&self.cluster.listen, Method::Post, "/work", Some(&submission), |s, _| s == 201);
        }
    }

    fn wait_until_complete<'a>(&self, jobs: impl IntoIterator<Item = &'a Job>) {
        let jobs: Vec<&Job> = jobs.into_iter().collect();
        wait_until("not all tasks of the jobs run", WITHIN, || {
            self.watch.check(&self.cluster);
            jobs.iter().all(|job| self.cluster.running(&job.id) == job.tasks as usize)
        });
    }

    /// Adds machines and waits until they have seen the leader's fencing token.
    fn add_machines(&self, zone: &'static str, count: usize) {
        (0..count).for_each(|_| _ = self.cluster.machines.add(zone));
        wait_until("the new machines have not seen the leader's fencing token", WITHIN, || {
            lock(&self.cluster.workers).iter().filter(|w| !w.deleted).all(|w| w.token > 0)
        });
    }

    /// Ends machines at once, and their tasks with them.
    fn end_machines(&self, chosen: &[usize]) {
        let mut workers = lock(&self.cluster.workers);
        chosen.iter().for_each(|w| workers[*w].deleted = true);
    }

    /// Returns the machines of a zone.
    fn machines_in(&self, zone: &str) -> Vec<usize> {
        let workers = lock(&self.cluster.workers);
        (0..workers.len()).filter(|w| workers[*w].zone == zone && !workers[*w].deleted).collect()
    }

    /// Returns a machine with some but not all of this job's tasks.
    fn machine_with_part_of(&self, job: &Job) -> usize {
        let workers = lock(&self.cluster.workers);
        let of_job =
            |w: &usize| workers[*w].running_tasks().filter(|task| task.split('/').next() == Some(&job.id)).count();
        let part = |w: &usize| (1..job.tasks as usize).contains(&of_job(w));
        (0..workers.len()).find(part).expect("a machine with a part of the job")
    }

    /// Returns the zones in which tasks of a job run.
    fn zones_of(&self, job: &Job) -> BTreeSet<&'static str> {
        let workers = lock(&self.cluster.workers);
        let has_some =
            |w: &&crate::workers::Worker| w.running_tasks().any(|task| task.split('/').next() == Some(&job.id));
        workers.iter().filter(has_some).map(|w| w.zone).collect()
    }

    /// Lets the tasks of an array end, and waits until the array is reported as done.
    fn finish(&self, array: &Job) {
        for worker in lock(&self.cluster.workers).iter_mut().filter(|w| !w.deleted) {
            let tasks = worker.tasks.iter_mut().filter(|(task, _)| task.starts_with(&array.id));
            tasks.for_each(|(_, task)| task.service = false);
        }
        let path = format!("/work/{}", array.id);
        self.user.ask_until(&self.cluster.listen, Method::Get, &path, None, |s, v| s == 200 && v["bloom"] == "done");
        assert_eq!(
            self.watch.completed(&array.id),
            array.tasks as usize,
            "workers have completed all tasks of {}",
            array.id
        );
    }
}

/// A zone first loses one machine, with parts of a service and of an array that have to run in a single zone: the lost
/// tasks must start again in the same zone, where the other tasks still run. Then the zone loses all machines: the two
/// jobs have to move as a whole, jobs that are spread may have at most half of their tasks in one zone, and jobs that
/// may run only in this zone have to wait until it has machines again.
#[test]
fn jobs_bound_to_zones_lose_machines() {
    let zones = [LOST].into_iter().chain(OTHERS).collect();
    let size = Size { cancel: CANCEL, zones, ..Size::of(1, MACHINES_IN_LOST, LEASE_S) };
    let cluster = Cluster::start("zones", size);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let scenario = Scenario { cluster, watch, user: User { client: Client::new(1, 4) } };
    scenario.add_machines(LOST, 0);
    // The other zones have no machines yet.
    let one_zone = [service_id(0), array_id(0)].map(|id| Job::new(id, ONE_ZONE_TASKS, LARGE_CPUS, Zones::One));
    scenario.submit(&one_zone);
    scenario.wait_until_complete(&one_zone);
    OTHERS.iter().for_each(|zone| scenario.add_machines(zone, MACHINES_IN_OTHERS));
    let spread = [Job::new(service_id(1), SPREAD_TASKS, LARGE_CPUS, Zones::AtMost(SPREAD_IN_ONE_ZONE))];
    let only_here = [service_id(2), array_id(1)].map(|id| Job::new(id, ONLY_HERE_TASKS, SMALL_CPUS, Zones::Only(LOST)));
    scenario.submit(&spread);
    scenario.submit(&only_here);
    let all = || one_zone.iter().chain(&spread).chain(&only_here);
    scenario.wait_until_complete(all());

    for job in &one_zone {
        let lost = scenario.machine_with_part_of(job);
        scenario.end_machines(&[lost]);
        assert!(scenario.cluster.running(&job.id) > 0, "some tasks of {} still run", job.id);
        scenario.wait_until_complete(all());
        assert_eq!(scenario.zones_of(job), BTreeSet::from([LOST]), "{} runs in its first zone alone", job.id);
    }

    scenario.end_machines(&scenario.machines_in(LOST));
    for job in one_zone.iter().chain(&only_here) {
        assert_eq!(scenario.cluster.running(&job.id), 0, "{} must not run in another zone", job.id);
    }
    scenario.wait_until_complete(one_zone.iter().chain(&spread));
    for job in &only_here {
        assert_eq!(scenario.cluster.running(&job.id), 0, "{} has no machine to run on", job.id);
    }
    scenario.add_machines(LOST, MACHINES_IN_LOST);
    scenario.wait_until_complete(all());
    scenario.finish(&one_zone[1]);
    scenario.finish(&only_here[1]);
    scenario.watch.check(&scenario.cluster);
}
