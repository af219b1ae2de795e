//! Nobody is left waiting beside a machine that fits.
//!
//! One leader with a few machines of three zones and jobs of all sorts: services and arrays, bound to a zone or to any one
//! zone, spread, kept off spot machines, some of which fail. Nothing goes wrong, and there is more work than room at times.
//! `DAYS=60 cargo test --test waiting` plays more days than the twelve of every run.

use lupinspur::fleet::Phase as MachinePhase;
use lupinspur::intern::DenseIndex;
use lupinspur::jobs::JobRecord;
use lupinspur::settings::Settings;
use lupinspur::shard::placement::fits;
use lupinspur::shard::{CloudCall, HeartbeatOutcome, LoadedState, PushOutcome, Shard};
use lupinspur::tuning::Tuning;
use lupinspur::wire::{Command, CommandKind, ExitReason, Heartbeat, JobRequest, TaskReport, TaskState};
use lupinspur_model::stored::types;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};

#[path = "common/settings.rs"]
mod settings;

const TEAMS: &str = r#"
[[cluster.teams]]
name = "red"
cpus = 32.0
cpus_max = 160.0
[[cluster.teams]]
name = "blue"
cpus = 64.0
"#;

const ZONES: [&str; 3] = ["a", "b", "c"];
const TOKEN: u64 = 10;
const REPORT_S: f64 = 3.0;
const STEP_S: f64 = 0.5;
const DAY_S: f64 = 400.0;
/// Jobs come until then.
const JOBS_UNTIL_S: f64 = 200.0;
/// A job of which nothing was started may wait for so long, in seconds, beside a machine that fits.
const LONGEST_S: f64 = 90.0;

/// A task on a worker: its attempt, and when it ends by itself.
struct Running {
    attempt: u64,
    ends_at: f64,
    state: TaskState,
    why: Option<ExitReason>,
}

struct Worker {
    zone: &'static str,
    spot: bool,
    seq: u64,
    token: u64,
    next_report: f64,
    tasks: BTreeMap<String, Running>,
}

impl Worker {
    fn report(&mut self, name: &str, now: f64) -> Heartbeat {
        self.seq += 1;
        for t in self.tasks.values_mut().filter(|t| t.state != TaskState::Exited && now >= t.ends_at) {
            (t.state, t.why) = (TaskState::Exited, t.why.take().or(Some(ExitReason::Done)));
        }
        let tasks = self.tasks.iter().map(|(name, t)| TaskReport {
            task: name.clone(),
            attempt: t.attempt,
            state: t.state,
            exit_reason: t.why.filter(|_| t.state == TaskState::Exited),
            saved: None,
        });
        Heartbeat {
            machine: name.into(),
            addr: "127.0.0.1:9".into(),
            type_name: "m32".into(),
            zone: self.zone.into(),
            spot: self.spot,
            incarnation: 1,
            sequence: self.seq,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    fn obey(&mut self, commands: &[Command], now: f64, jobs: &Submitted) {
        for c in commands {
            match c.kind {
                CommandKind::Start if !self.tasks.contains_key(&c.task) => {
                    let id = c.task.split('/').next().unwrap_or_default();
                    let (run_s, fails) = (jobs.run_s[id], jobs.fails_in.get(id) == Some(&self.zone));
                    let ends_at = now + if fails { 1.0 } else { run_s };
                    let why = fails.then_some(ExitReason::Error);
                    let task = Running { attempt: c.attempt, ends_at, state: TaskState::Running, why };
                    self.tasks.insert(c.task.clone(), task);
                }
                CommandKind::Start => {}
                CommandKind::Stop => {
                    let running = |t: &&mut Running| t.attempt == c.attempt && t.state != TaskState::Exited;
                    if let Some(t) = self.tasks.get_mut(&c.task).filter(running) {
                        (t.state, t.why) = (TaskState::Exited, Some(ExitReason::Stopped));
                    }
                }
                CommandKind::Forget => self.tasks.retain(|name, t| *name != c.task || t.attempt != c.attempt),
            }
        }
    }
}

/// What was submitted: how long its tasks run, and the zone in which they fail, if there is one.
#[derive(Default)]
struct Submitted {
    run_s: HashMap<String, f64>,
    fails_in: HashMap<String, &'static str>,
}

struct Day {
    shard: Shard,
    workers: BTreeMap<String, Worker>,
    jobs: Submitted,
    random: fastrand::Rng,
    revision: u64,
    /// Since when a job waits beside a machine that fits.
    beside_since: HashMap<String, f64>,
    longest: (f64, String),
}

impl Day {
    fn new(seed: u64) -> Day {
        let settings = Settings::parse(&settings::settings(TEAMS)).expect("settings");
        let tuning = Tuning { extra: 2, window_s: 4.0, hold_s: 15.0, leader_lease_s: 6.0 };
        let shard = Shard::new(&settings.params(), tuning, TOKEN, types(), LoadedState::default(), 0.0);
        let mut random = fastrand::Rng::with_seed(seed);
        let worker = |i: usize| {
            let worker = Worker {
                zone: ZONES[i % 3],
                spot: i >= 4,
                seq: 0,
                token: 0,
                next_report: random.f64() * REPORT_S,
                tasks: BTreeMap::new(),
            };
            (format!("host-{i:06}"), worker)
        };
        let workers = (0..9).map(worker).collect();
        Day {
            shard,
            workers,
            jobs: Submitted::default(),
            random,
            revision: TOKEN,
            beside_since: HashMap::new(),
            longest: (0.0, String::new()),
        }
    }

    fn submit(&mut self, n: usize, now: f64) {
        let random = &mut self.random;
        let id = format!("req-{n:06}");
        let service = random.f64() < 0.25;
        let one_of = |random: &mut fastrand::Rng, all: &[f64]| all[random.usize(..all.len())];
        let cpus = one_of(random, &[1.0, 2.0, 2.0, 4.0, 8.0, 16.0, 32.0]);
        let zone = (random.f64() < 0.2).then(|| ZONES[random.usize(..3)]);
        let bound = zone.is_some();
        let run_s = one_of(random, &[5.0, 20.0, 60.0, 120.0]);
        let estimate_s = run_s * one_of(random, &[0.5, 1.0, 2.0]);
        let image = (random.f64() < 0.5).then(|| format!("img-{}", random.usize(..4)));
        let job: JobRequest = serde_json::from_value(json!({
            "id": id, "breed": if service { "desk" } else { "letters" },
            "herd": if random.bool() { "red" } else { "blue" },
            "habit": if service { "standing" } else { "batch" },
            "precedence": if service { "critical" } else { ["urgent", "standard", "idle"][random.usize(..3)] },
            "seeds": random.u32(1..6), "cpus": if service { cpus.min(8.0) } else { cpus }, "cards": 0.0, "memory_gb": 0.1,
            "same_place": !bound && random.f64() < 0.15, "scatter": !bound && random.f64() < 0.15,
            "fallow": !service && random.f64() < 0.7, "field": zone, "bulb": image, "pull_gb": 1.0,
            "expected_s": if service { 0.0 } else { estimate_s }, "pressing_s": 0.0, "pressing_cost_s": 0.0}))
        .expect("a job");
        self.jobs.run_s.insert(id.clone(), if service { f64::INFINITY } else { run_s });
        if !service && random.f64() < 0.1 {
            self.jobs.fails_in.insert(id, ZONES[random.usize(..3)]);
        }
        self.revision += 1;
        self.shard.add_job(JobRecord::accepted(job, (now * 1000.0) as u64), self.revision, now);
    }

    fn write(&mut self, now: f64) {
        loop {
            let writes = self.shard.next_writes(8, 50_000, 8, now);
            if writes.is_empty() {
                return;
            }
            self.revision += 1;
            self.shard.on_writes_applied(writes, self.revision, now);
        }
    }

    fn direct(&mut self, now: f64) {
        while let Some(sent) = self.shard.next_push(now) {
            let name = self.shard.machines[sent.machine].name.to_string();
            let outcome = match self.workers.get_mut(&name) {
                None => PushOutcome::Unknown,
                Some(w) => {
                    w.token = w.token.max(sent.body.token);
                    let executed = sent.body.incarnation == 1;
                    if executed {
                        w.obey(&sent.body.commands, now, &self.jobs);
                    }
                    PushOutcome::Responded { executed, heartbeat: Some(w.report(&name, now)) }
                }
            };
            self.shard.on_push_outcome(&sent, outcome, now);
        }
    }

    fn reports(&mut self, now: f64) {
        for (name, w) in self.workers.iter_mut().filter(|(_, w)| now >= w.next_report) {
            w.next_report = now + REPORT_S * (0.75 + 0.5 * self.random.f64());
            let report = w.report(name, now);
            let HeartbeatOutcome::Reply(reply) = self.shard.on_heartbeat(&report, now) else { continue };
            w.token = w.token.max(reply.token);
            w.obey(&reply.commands, now, &self.jobs);
        }
    }

    /// The fleet stays as it is: nothing more is to be had, and what is returned is gone.
    fn cloud(&mut self, now: f64) {
        while let Some(launch) = self.shard.launches.pending.first().cloned() {
            self.shard.on_rental_refused(&launch, now);
        }
        while let Some(CloudCall::Delete(machines, names)) = self.shard.next_delete() {
            names.iter().for_each(|n| _ = self.workers.remove(n));
            self.shard.on_deleted(&machines);
        }
    }

    /// Jobs of which nothing was started and that a machine with room would take.
    fn waits_beside_room(&self, now: f64) -> Vec<String> {
        let s = &self.shard;
        let waits = |j: &&lupinspur::jobs::Job| j.is_open() && j.assigned + j.done == 0 && !j.is_failing_everywhere();
        let in_limit = |j: &lupinspur::jobs::Job| {
            let team = &s.teams[j.team.as_usize()];
            team.spec.cpus_max <= 0.0 || team.cpus_used + j.spec.cpus <= team.spec.cpus_max
        };
        let room = |j: &lupinspur::jobs::Job| {
            s.machines
                .iter()
                .any(|(_, m)| m.phase == MachinePhase::Up && m.is_usable(now, REPORT_S * 1.6) && fits(s, j, m))
        };
        let jobs = s.jobs.live.iter().map(|&j| &s.jobs[j]).filter(waits);
        jobs.filter(|j| in_limit(j) && room(j)).map(|j| j.id.to_string()).collect()
    }

    fn play(mut self) -> (f64, String) {
        let (mut now, mut submitted) = (0.1, 0);
        while now < DAY_S {
            if now > 2.0 && now < JOBS_UNTIL_S && self.random.f64() < 0.35 {
                self.submit(submitted, now);
                submitted += 1;
            }
            self.reports(now);
            // As the node does it, once a second or more often.
            self.shard.request_placement();
            self.shard.tick(now);
            self.write(now);
            self.direct(now);
            self.cloud(now);
            let waiting = self.waits_beside_room(now);
            self.beside_since.retain(|id, _| waiting.contains(id));
            for id in waiting {
                let waited = now - *self.beside_since.entry(id.clone()).or_insert(now);
                if waited > self.longest.0 {
                    self.longest = (waited, id);
                }
            }
            now += STEP_S;
        }
        self.longest
    }
}

/// Guards against jobs that are passed over: for a reason that is another job's, beside a machine where they failed
/// long ago, or because room is kept for what may never use it.
#[test]
fn nobody_is_left_waiting_beside_a_machine_that_fits() {
    let days = std::env::var("DAYS").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    for seed in 1..=days {
        let (longest, id) = Day::new(seed).play();
        assert!(longest <= LONGEST_S, "seed {seed}: {id} waited for {longest} s beside a machine that fits");
    }
}
