//! Jobs that are bound to zones lose machines there.

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

/// The zone that is lost, and those that are there beside it.
const LOST: &str = FIRST_ZONE;
const OTHERS: [&str; 2] = ["b", "c"];
const MACHINES_IN_LOST: usize = 6;
const MACHINES_IN_OTHERS: usize = 5;
const LEASE_S: u64 = 9;
const CANCEL: Duration = Duration::from_secs(10);
const WITHIN: Duration = Duration::from_secs(40);

/// Two to a machine: no machine holds a whole job.
const LARGE_CPUS: f64 = 3.0;
const ONE_ZONE_TASKS: u32 = 3;
const SPREAD_TASKS: u32 = 4;
const SPREAD_IN_ONE_ZONE: usize = 2;
const SMALL_CPUS: f64 = 1.0;
const ONLY_HERE_TASKS: u32 = 2;

fn service_id(i: usize) -> String {
    format!("{SERVICES}{i:02}")
}

/// An array whose tasks run until the test ends them.
fn array_id(i: usize) -> String {
    format!("{LONG}{i:02}")
}

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
        // Others leave some room of each machine free, for a while.
        submission["precedence"] = json!("critical");
        match self.zones {
            Zones::Only(zone) => submission["field"] = json!(zone),
            Zones::One => submission["same_place"] = json!(true),
            Zones::AtMost(_) => submission["scatter"] = json!(true),
        }
        submission
    }
}

/// A cluster, its jobs, and who watches where these are.
struct Scene {
    cluster: Cluster,
    watch: RuleWatch,
    user: User,
}

impl Scene {
    fn submit(&self, jobs: &[Job]) {
        for job in jobs {
            self.watch.bound(&job.id, job.zones);
            let submission = job.submission();
            self.user.until(&self.cluster.listen, Method::Post, "/work", Some(&submission), |s, _| s == 201);
        }
    }

    fn wait_whole<'a>(&self, jobs: impl IntoIterator<Item = &'a Job>) {
        let jobs: Vec<&Job> = jobs.into_iter().collect();
        wait_until("jobs are not whole", WITHIN, || {
            self.watch.check(&self.cluster);
            jobs.iter().all(|job| self.cluster.running(&job.id) == job.tasks as usize)
        });
    }

    /// More machines, which report at once.
    fn add_machines(&self, zone: &'static str, count: usize) {
        (0..count).for_each(|_| _ = self.cluster.machines.add(zone));
        wait_until("new machines hear nothing of the leader", WITHIN, || {
            lock(&self.cluster.workers).iter().filter(|w| !w.deleted).all(|w| w.token > 0)
        });
    }

    /// Machines end at once, with all that is on them.
    fn end_machines(&self, chosen: &[usize]) {
        let mut workers = lock(&self.cluster.workers);
        chosen.iter().for_each(|w| workers[*w].deleted = true);
    }

    /// Machines of a zone.
    fn machines_in(&self, zone: &str) -> Vec<usize> {
        let workers = lock(&self.cluster.workers);
        (0..workers.len()).filter(|w| workers[*w].zone == zone && !workers[*w].deleted).collect()
    }

    /// A machine with some of this job's tasks, and not all.
    fn machine_with_part_of(&self, job: &Job) -> usize {
        let workers = lock(&self.cluster.workers);
        let of_job = |w: &usize| workers[*w].on_it().filter(|task| task.split('/').next() == Some(&job.id)).count();
        let part = |w: &usize| (1..job.tasks as usize).contains(&of_job(w));
        (0..workers.len()).find(part).expect("no machine has room for the whole job")
    }

    /// Zones in which tasks of a job are.
    fn zones_of(&self, job: &Job) -> BTreeSet<&'static str> {
        let workers = lock(&self.cluster.workers);
        let has_some = |w: &&crate::workers::Worker| w.on_it().any(|task| task.split('/').next() == Some(&job.id));
        workers.iter().filter(has_some).map(|w| w.zone).collect()
    }

    /// The tasks of an array come to their ends, and its user is told so.
    fn finish(&self, array: &Job) {
        for worker in lock(&self.cluster.workers).iter_mut().filter(|w| !w.deleted) {
            let tasks = worker.tasks.iter_mut().filter(|(task, _)| task.starts_with(&array.id));
            tasks.for_each(|(_, task)| task.service = false);
        }
        let path = format!("/work/{}", array.id);
        self.user.until(&self.cluster.listen, Method::Get, &path, None, |s, v| s == 200 && v["bloom"] == "done");
        assert_eq!(self.watch.completed(&array.id), array.tasks as usize, "{} is called done", array.id);
    }
}

/// A zone loses one machine, with a part of a service and of an array that run in one zone: the rest of each is
/// there, and what was lost stays there, too. Then it loses all: both move as a whole, what is spread has at most
/// half in one zone, and what may run only there waits until machines are there again.
#[test]
fn jobs_bound_to_zones_lose_machines() {
    let zones = [LOST].into_iter().chain(OTHERS).collect();
    let size = Size { cancel: CANCEL, zones, ..Size::of(1, MACHINES_IN_LOST, LEASE_S) };
    let cluster = Cluster::start("zones", size);
    let watch = RuleWatch::start(&cluster, CANCEL, &[]);
    let scene = Scene { cluster, watch, user: User { client: Client::new(1, 4) } };
    scene.add_machines(LOST, 0);
    // There is no room elsewhere yet.
    let one_zone = [service_id(0), array_id(0)].map(|id| Job::new(id, ONE_ZONE_TASKS, LARGE_CPUS, Zones::One));
    scene.submit(&one_zone);
    scene.wait_whole(&one_zone);
    OTHERS.iter().for_each(|zone| scene.add_machines(zone, MACHINES_IN_OTHERS));
    let spread = [Job::new(service_id(1), SPREAD_TASKS, LARGE_CPUS, Zones::AtMost(SPREAD_IN_ONE_ZONE))];
    let only_here = [service_id(2), array_id(1)].map(|id| Job::new(id, ONLY_HERE_TASKS, SMALL_CPUS, Zones::Only(LOST)));
    scene.submit(&spread);
    scene.submit(&only_here);
    let all = || one_zone.iter().chain(&spread).chain(&only_here);
    scene.wait_whole(all());

    for job in &one_zone {
        let lost = scene.machine_with_part_of(job);
        scene.end_machines(&[lost]);
        assert!(scene.cluster.running(&job.id) > 0, "nothing of {} is left", job.id);
        scene.wait_whole(all());
        assert_eq!(scene.zones_of(job), BTreeSet::from([LOST]), "{} moved", job.id);
    }

    scene.end_machines(&scene.machines_in(LOST));
    for job in one_zone.iter().chain(&only_here) {
        assert_eq!(scene.cluster.running(&job.id), 0, "{} is elsewhere, too", job.id);
    }
    scene.wait_whole(one_zone.iter().chain(&spread));
    for job in &only_here {
        assert_eq!(scene.cluster.running(&job.id), 0, "{} has no machine", job.id);
    }
    scene.add_machines(LOST, MACHINES_IN_LOST);
    scene.wait_whole(all());
    scene.finish(&one_zone[1]);
    scene.finish(&only_here[1]);
    scene.watch.check(&scene.cluster);
}
