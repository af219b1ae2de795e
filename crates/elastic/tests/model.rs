//! Property tests of elastic jobs on simulated machines with leader failover. Commands arrive late or
//! never, machines become unreachable, services start and end. Checked: no job exceeds its largest
//! size or is shrunk below its smallest, shrinks end within the bound, and sizes do not oscillate.

use lupinspur_elastic::{JobUsage, Plan, Pool, Sizes, Timing};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const TIMING: Timing = Timing {
    heartbeat_interval_s: 3.75,
    lease_s: 20.3,
    reply_timeout_s: 4.0,
    grace_s: 6.0,
    leader_lease_s: 4.0,
    recovery_s: 1.0,
    tick_s: 0.5,
};

fn plan() -> Plan {
    Plan::parse("settle_s = 2.0\nrest_s = 10.0\ngrace_s = 6.0\nstep = 0.5\n").expect("a plan")
}

/// A task on a machine: its real state and the leader's view of it.
#[derive(Debug, Clone)]
struct Task {
    job: usize,
    /// Seconds that it takes to save; more than its grace period means that it ignores the request.
    save_s: f64,
    /// When its machine ends it, if the command to stop has arrived.
    ends_at: Option<f64>,
    /// Whether the command to stop has arrived.
    stop_received: bool,
    /// Commands and replies to its machine are lost.
    unreachable: bool,
    /// When the leader's last reply to its machine was sent.
    last_reply_at: f64,
    /// When the leader decided to stop it.
    stop_decided_at: Option<f64>,
}

/// The simulated cluster and its leader.
struct World {
    now: f64,
    pool: Pool<usize, u32>,
    tasks: BTreeMap<u32, Task>,
    next: u32,
    capacity: u32,
    services: u32,
    sizes: Vec<Sizes>,
    /// Duration of each finished shrink, and whether the machine was unreachable.
    shrink_times: Vec<(f64, bool)>,
    /// Time of the last failover. Shrinks decided before it are decided again.
    failed_over_at: f64,
}

impl World {
    fn new(sizes: &[Sizes], capacity: u32) -> World {
        let mut pool = Pool::new(plan());
        sizes.iter().enumerate().for_each(|(j, s)| pool.add_job(j, *s));
        World {
            now: 0.0,
            pool,
            tasks: BTreeMap::new(),
            next: 0,
            capacity,
            services: 0,
            sizes: sizes.to_vec(),
            shrink_times: Vec::new(),
            failed_over_at: f64::MIN,
        }
    }

    fn held(&self, j: usize) -> JobUsage {
        let of = self.tasks.values().filter(|t| t.job == j);
        let (held, leaving) = of.fold((0, 0), |(h, l), t| (h + 1, l + u32::from(t.stop_decided_at.is_some())));
        JobUsage { unfinished: 1000, held, leaving }
    }

    fn free(&self) -> u32 {
        self.capacity.saturating_sub(self.tasks.len() as u32 + self.services)
    }

    fn start(&mut self, j: usize, save_s: f64, unreachable: bool) {
        let t = Task {
            job: j,
            save_s,
            ends_at: None,
            stop_received: false,
            unreachable,
            last_reply_at: self.now,
            stop_decided_at: None,
        };
        self.tasks.insert(self.next, t);
        self.next += 1;
    }

    /// Advances half a second: starts, growth, forced stops, and the machines' actions.
    fn tick(&mut self, saves: &[f64], unreachable: bool) {
        self.now += 0.5;
        for j in 0..self.sizes.len() {
            let (own, _) = self.pool.allowed_starts(j, self.held(j));
            // A job starts when its smallest size fits.
            if self.held(j).held > 0 || self.free() >= own {
                for _ in 0..own.min(self.free()) {
                    self.start(j, saves[j % saves.len()], unreachable);
                }
            }
        }
        let free = self.free();
        let waiting = (0..self.sizes.len()).any(|j| self.pool.allowed_starts(j, self.held(j)).0 > 0);
        let free = if waiting { 0 } else { free };
        let room: Vec<(usize, u32, JobUsage)> = (0..self.sizes.len()).map(|j| (j, free, self.held(j))).collect();
        self.pool.grow_into_idle(&room, self.now);
        for j in 0..self.sizes.len() {
            let (_, beyond) = self.pool.allowed_starts(j, self.held(j));
            for _ in 0..beyond.min(if waiting { 0 } else { self.free() }) {
                self.start(j, saves[j % saves.len()], unreachable);
            }
        }
        for t in self.pool.take_due_stops(self.now) {
            let now = self.now;
            if let Some(t) = self.tasks.get_mut(&t).filter(|t| !t.unreachable) {
                t.ends_at = Some(t.ends_at.map_or(now, |e| e.min(now)).max(now) + TIMING.reply_timeout_s / 2.0);
            }
        }
        let now = self.now;
        for t in self.tasks.values_mut() {
            if !t.unreachable {
                t.last_reply_at = now;
                if t.stop_decided_at.is_some() && !t.stop_received {
                    // The request to save arrives with the reply to a heartbeat at the latest.
                    (t.stop_received, t.ends_at) = (true, Some(now + TIMING.heartbeat_interval_s + t.save_s));
                }
            }
        }
        let over = |t: &Task| t.ends_at.is_some_and(|e| now >= e) || now - t.last_reply_at > TIMING.lease_s;
        let gone: Vec<u32> = self.tasks.iter().filter(|(_, t)| over(t)).map(|(i, _)| *i).collect();
        for i in gone {
            let t = self.tasks.remove(&i).expect("it was there");
            if let Some(took) = self.pool.on_task_ended(i, now) {
                self.shrink_times.push((took, t.unreachable));
            }
        }
    }

    /// A service needs `n` tasks' capacity: the latest started surplus tasks are stopped. Returns how
    /// much is still missing.
    fn service(&mut self, n: u32) -> u32 {
        let mut missing = n.saturating_sub(self.free());
        let ids: Vec<u32> = self.tasks.keys().rev().copied().collect();
        for i in ids {
            let t = &self.tasks[&i];
            let (j, h) = (t.job, self.held(t.job));
            if missing == 0 || t.stop_decided_at.is_some() || self.pool.surplus(j, h) == 0 {
                continue;
            }
            let grace_s = self.pool.save_grace_s(t.save_s);
            self.pool.shrink(j, i, grace_s, h.held - h.leaving - 1, self.now);
            self.tasks.get_mut(&i).expect("it is there").stop_decided_at = Some(self.now);
            missing -= 1;
        }
        missing
    }

    /// Fails over to a new leader, which knows the tasks but not the shrinks.
    fn fail_over(&mut self) {
        let mut pool = Pool::new(plan());
        self.sizes.iter().enumerate().for_each(|(j, s)| pool.add_job(j, *s));
        self.pool = pool;
        self.failed_over_at = self.now;
        for t in self.tasks.values_mut().filter(|t| !t.stop_received) {
            t.stop_decided_at = None;
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Ticks(u8),
    Service(u32),
    ServiceGone(u32),
    Unreachable,
    Ends(prop::sample::Index),
    FailOver,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        6 => (1u8..30).prop_map(Step::Ticks),
        4 => (1u32..12).prop_map(Step::Service),
        2 => (1u32..12).prop_map(Step::ServiceGone),
        1 => Just(Step::Unreachable),
        2 => any::<prop::sample::Index>().prop_map(Step::Ends),
        1 => Just(Step::FailOver),
    ];
    prop::collection::vec(one, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(15), ..ProptestConfig::default() })]

    #[test]
    fn sizes_and_the_bound_hold(
        sizes in prop::collection::vec((1u32..8, 0u32..20), 1..4),
        capacity in 8u32..60,
        saves in prop::collection::vec(prop_oneof![Just(0.0), 0.0..5.0f64, Just(1000.0)], 1..4),
        steps in steps(),
    ) {
        let sizes: Vec<Sizes> = sizes.iter().map(|(s, more)| Sizes { smallest: *s, largest: s + more }).collect();
        let mut world = World::new(&sizes, capacity);
        let bound = TIMING.bound();
        for step in steps {
            let before: Vec<JobUsage> = (0..sizes.len()).map(|j| world.held(j)).collect();
            match step {
                Step::Ticks(n) => (0..n).for_each(|_| world.tick(&saves, false)),
                Step::Service(n) => {
                    world.service(n);
                    for (j, s) in sizes.iter().enumerate() {
                        let h = world.held(j);
                        let floor = s.smallest.min(before[j].held - before[j].leaving);
                        prop_assert!(h.held - h.leaving >= floor, "shrunk below its smallest size");
                    }
                    // The service takes only capacity that is free already.
                    world.services += n.min(world.free());
                }
                Step::ServiceGone(n) => world.services = world.services.saturating_sub(n),
                Step::Unreachable => world.tasks.values_mut().for_each(|t| t.unreachable = true),
                Step::Ends(which) => {
                    let ids: Vec<u32> = world.tasks.keys().copied().collect();
                    if !ids.is_empty() {
                        let i = *which.get(&ids);
                        world.tasks.remove(&i);
                        world.pool.on_task_ended(i, world.now);
                    }
                }
                Step::FailOver => world.fail_over(),
            }
            for (j, s) in sizes.iter().enumerate() {
                prop_assert!(world.held(j).held <= s.largest, "above its largest size");
            }
            prop_assert!(world.tasks.len() as u32 + world.services <= capacity.max(world.services));
            for (took, unreachable) in world.shrink_times.drain(..) {
                let most = if unreachable { bound.unreachable_s } else { bound.reachable_s };
                prop_assert!(took <= most, "a shrink took {took} s, the bound is {most} s, unreachable {unreachable}");
            }
        }
    }

    /// Without other events, jobs use all idle capacity and then keep their sizes.
    #[test]
    fn sizes_become_stable(sizes in prop::collection::vec((1u32..8, 0u32..20), 1..4), capacity in 30u32..80) {
        let sizes: Vec<Sizes> = sizes.iter().map(|(s, more)| Sizes { smallest: *s, largest: s + more }).collect();
        let mut world = World::new(&sizes, capacity);
        (0..400).for_each(|_| world.tick(&[0.0], false));
        let held: Vec<u32> = (0..sizes.len()).map(|j| world.held(j).held).collect();
        let all: u32 = sizes.iter().map(|s| s.largest).sum();
        prop_assert_eq!(held.iter().sum::<u32>(), all.min(capacity), "{:?}", held);
        let started = world.next;
        (0..200).for_each(|_| world.tick(&[0.0], false));
        prop_assert_eq!(world.next, started, "sizes oscillate");
    }
}

/// A job that was shrunk does not grow again for `rest_s`, so that a service that starts and ends
/// repeatedly does not make its size oscillate.
#[test]
fn after_a_shrink_a_job_does_not_grow_for_a_while() {
    let mut world = World::new(&[Sizes { smallest: 2, largest: 10 }], 12);
    (0..40).for_each(|_| world.tick(&[0.0], false));
    assert_eq!(world.held(0).held, 10);
    assert_eq!(world.service(6), 0);
    assert_eq!((world.held(0).leaving, world.pool.wanted(0)), (4, Some(6)), "two were free already");
    (0..10).for_each(|_| world.tick(&[0.0], false));
    assert_eq!(world.held(0).held, 6, "it gave up four tasks and does not grow again at once");
    (0..40).for_each(|_| world.tick(&[0.0], false));
    assert_eq!(world.held(0).held, 10, "the service did not start, so the job grows again after `rest_s`");
}

/// The job with the smallest fraction of its largest size grows first, so that no job starves another.
#[test]
fn the_job_with_the_smallest_fraction_grows_first() {
    let sizes = [Sizes { smallest: 1, largest: 20 }, Sizes { smallest: 1, largest: 20 }];
    let mut world = World::new(&sizes, 22);
    (0..100).for_each(|_| world.tick(&[0.0], false));
    let held = [world.held(0).held, world.held(1).held];
    assert!(held[0].abs_diff(held[1]) <= 1 && held.iter().sum::<u32>() == 22, "{held:?}");
}

#[test]
fn the_faults_of_a_file_are_reported_with_their_paths() {
    let text = "settle_s = -1.0\nstep = 2.0\n[[class]]\nname = \"a\"\nsmallest = 5\nlargest = 4\n\
        [[class]]\nname = \"a\"\nsmallest = 0\nlargest = 4\n";
    let paths: Vec<String> = Plan::parse(text).expect_err("faults").into_iter().map(|f| f.path).collect();
    assert_eq!(paths, ["class[0].smallest", "class[1].name", "class[1].smallest", "settle_s", "step"]);
    assert_eq!(Plan::parse("grace = 3\n").expect_err("unknown")[0].path, "line 1");
    let p = Plan::parse("[[class]]\nname = \"a\"\nsmallest = 5\nlargest = 40\n").expect("a plan");
    assert_eq!(p.default_of("a", 12), Some(Sizes { smallest: 5, largest: 12 }));
    assert_eq!(p.default_of("a", 3), Some(Sizes { smallest: 3, largest: 3 }));
    assert_eq!(p.default_of("b", 3), None);
}

/// `UPDATE_SCHEMA=1 cargo test -p lupinspur-elastic` regenerates the file.
#[test]
fn the_published_schema_is_that_of_the_program() {
    let at = |n: &str| [env!("CARGO_MANIFEST_DIR"), "..", "..", "deploy", n].iter().collect::<std::path::PathBuf>();
    let schema = serde_json::to_string_pretty(&Plan::schema()).expect("JSON") + "\n";
    if std::env::var_os("UPDATE_SCHEMA").is_some() {
        std::fs::write(at("elastic.schema.json"), &schema).expect("written");
    }
    assert_eq!(std::fs::read_to_string(at("elastic.schema.json")).expect("a schema"), schema);
    Plan::parse(&std::fs::read_to_string(at("elastic.toml")).expect("an example")).expect("a plan");
}
