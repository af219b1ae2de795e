//! One seed: its faults are brought about, ended, and everything is judged.

use crate::answers::Answers;
use crate::cluster::Cluster;
use crate::direct::Starts;
use crate::http::lock;
use crate::options::Options;
use crate::plan::{Fault, Kind, MachineFault, plan};
use crate::rules::RuleWatch;
use crate::settings::Size;
use crate::users::{LIMIT, LIMITED, Users};
use crate::workers::{EXECUTED, Worker, commands_of};
use fastrand::Rng;
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const NODES: usize = 3;
const LEASE_S: u64 = 5;
const CANCEL: Duration = Duration::from_secs(13);
const LEADERSHIP_TTL: Duration = Duration::from_millis(1500);
const SUBMITTERS: u64 = 6;
/// Once all troubles are over, nothing waits for longer beside room, and everything is known.
const ENDS_WITHIN: Duration = Duration::from_secs(75);
/// Revisions after which a leader writes its checkpoint anew.
const MANY_CHANGES: u64 = 2500;
/// Machines that may be rented, for each that is there.
const RENTED_EACH: usize = 4;

/// What came of a seed.
pub struct Outcome {
    seed: u64,
    faults: Vec<Fault>,
    submitted: usize,
    confirmed: usize,
    takeovers: usize,
    /// Messages with commands that were held up, or whose answers were lost.
    held_up: usize,
    /// Tasks that were started once more after an end that no leader came to know.
    repeated: usize,
    took: Duration,
    problems: Vec<String>,
    /// What did not come about, so that the run shows nothing.
    missing: Vec<&'static str>,
}

impl Outcome {
    /// Nothing broke.
    pub fn is_good(&self) -> bool {
        self.problems.is_empty()
    }

    /// Did what it is about come to pass?
    pub fn counts(&self) -> bool {
        self.missing.is_empty()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match (self.is_good(), self.counts()) {
            (false, _) => "FAILED".to_owned(),
            (true, true) => "passed".to_owned(),
            (true, false) => format!("does not count (no {})", self.missing.join(", no ")),
        };
        write!(
            f,
            "seed {}: {verdict}, {:.0} s, {} faults, {} takeovers, {} commands held up or unanswered, {} jobs, \
             {} cancellations, {} tasks repeated",
            self.seed,
            self.took.as_secs_f64(),
            self.faults.len(),
            self.takeovers,
            self.held_up,
            self.submitted,
            self.confirmed,
            self.repeated
        )?;
        if !self.is_good() {
            self.faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))?;
            self.problems.iter().try_for_each(|problem| write!(f, "\n  {problem}"))?;
        }
        Ok(())
    }
}

/// How a fault that lasts is ended.
enum Undo {
    Begin(Vec<usize>),
    Continue(Vec<usize>),
    Serve(usize),
    Rejoin(usize),
    EndOutage,
    EndSlowRequests,
    EndLateTransactions,
    EndLostAnswers,
    ReadJobs,
    Restore(MachineFault, Vec<usize>),
}

/// The faults of one cluster: those to come, and those that last.
struct Faults<'a> {
    cluster: &'a mut Cluster,
    rng: Rng,
    lasting: Vec<(Instant, Undo)>,
    /// Messages with starts that were held up and arrived at last.
    delivered: usize,
}

impl Faults<'_> {
    fn run(&mut self, faults: &[Fault]) {
        let began = Instant::now();
        for fault in faults {
            self.end_those_due_until(began + fault.at);
            if let Some(undo) = self.bring_about(fault.kind) {
                self.lasting.push((Instant::now() + fault.lasts, undo));
            }
        }
        let last = self.lasting.iter().map(|l| l.0).max().unwrap_or(began);
        self.end_those_due_until(last);
    }

    fn end_those_due_until(&mut self, until: Instant) {
        loop {
            let next = (0..self.lasting.len()).min_by_key(|i| self.lasting[*i].0);
            let due = next.filter(|i| self.lasting[*i].0 <= until);
            let wait = |t: Instant| std::thread::sleep(t.saturating_duration_since(Instant::now()));
            let Some(i) = due else { return wait(until) };
            let (ends, undo) = self.lasting.swap_remove(i);
            wait(ends);
            self.end(undo);
        }
    }

    fn alive(&self) -> Vec<usize> {
        (0..NODES).filter(|i| self.cluster.nodes.0[*i].is_some()).collect()
    }

    fn leader(&self) -> Option<usize> {
        self.cluster.leader().filter(|i| self.cluster.nodes.0[*i].is_some())
    }

    fn kill(&mut self, nodes: Vec<usize>) -> Option<Undo> {
        nodes.iter().for_each(|i| self.cluster.kill(*i));
        (!nodes.is_empty()).then_some(Undo::Begin(nodes))
    }

    fn stand_still(&mut self, nodes: Vec<usize>) -> Option<Undo> {
        nodes.iter().for_each(|i| self.cluster.signal(*i, "-STOP"));
        (!nodes.is_empty()).then_some(Undo::Continue(nodes))
    }

    fn bring_about(&mut self, kind: Kind) -> Option<Undo> {
        let leader = self.leader();
        let store = self.cluster.store.clone();
        match kind {
            Kind::LeaderEnds => self.kill(leader.into_iter().collect()),
            Kind::AnotherEnds => {
                let others: Vec<usize> = self.alive().into_iter().filter(|i| Some(*i) != leader).collect();
                self.kill(others.into_iter().take(1).collect())
            }
            Kind::AllEnd => self.kill(self.alive()),
            Kind::LeaderStandsStill => self.stand_still(leader.into_iter().collect()),
            Kind::AllStandStill => self.stand_still(self.alive()),
            Kind::LeaderRefused => leader.map(|i| {
                lock(&store).faults.refused.insert(i);
                Undo::Serve(i)
            }),
            Kind::LeaderCutFromPeers => leader.map(|i| {
                self.cluster.links.isolate(i, true);
                Undo::Rejoin(i)
            }),
            Kind::Outage => {
                lock(&store).set_outage(true);
                Some(Undo::EndOutage)
            }
            Kind::SlowRequests(each) => {
                lock(&store).faults.slow_requests = each;
                Some(Undo::EndSlowRequests)
            }
            Kind::LateTransactions { one_in, by } => {
                let faults = &mut lock(&store).faults;
                (faults.delay_one_in, faults.late_by) = (one_in, by);
                Some(Undo::EndLateTransactions)
            }
            Kind::LostAnswers { one_in } => {
                lock(&store).faults.lose_one_answer_in = one_in;
                Some(Undo::EndLostAnswers)
            }
            Kind::ManyChanges => {
                lock(&store).revision += MANY_CHANGES;
                None
            }
            Kind::JobReadsHeld => {
                lock(&store).faults.job_reads_held = true;
                Some(Undo::ReadJobs)
            }
            Kind::Machines { fault, share } => {
                let mut workers = lock(&self.cluster.workers);
                let chosen: Vec<usize> = (0..workers.len()).filter(|_| self.rng.f64() < share).collect();
                chosen.iter().for_each(|w| set(&mut workers[*w], fault, leader, true));
                Some(Undo::Restore(fault, chosen))
            }
        }
    }

    fn end(&mut self, undo: Undo) {
        let store = self.cluster.store.clone();
        match undo {
            Undo::Begin(nodes) => nodes.into_iter().for_each(|i| self.cluster.start_controller(i)),
            Undo::Continue(nodes) => {
                let alive = self.alive();
                nodes.iter().filter(|i| alive.contains(i)).for_each(|i| self.cluster.signal(*i, "-CONT"));
            }
            Undo::Serve(i) => _ = lock(&store).faults.refused.remove(&i),
            Undo::Rejoin(i) => self.cluster.links.isolate(i, false),
            Undo::EndOutage => lock(&store).set_outage(false),
            Undo::EndSlowRequests => lock(&store).faults.slow_requests = Duration::ZERO,
            Undo::EndLateTransactions => lock(&store).faults.delay_one_in = 0,
            Undo::ReadJobs => lock(&store).faults.job_reads_held = false,
            Undo::EndLostAnswers => lock(&store).faults.lose_one_answer_in = 0,
            Undo::Restore(fault, chosen) => {
                {
                    let mut workers = lock(&self.cluster.workers);
                    chosen.iter().for_each(|w| set(&mut workers[*w], fault, None, false));
                }
                if fault == MachineFault::StartsHeldUp {
                    for w in chosen {
                        let delivered = self.cluster.deliver_held_starts(w);
                        self.delivered += delivered.executed.len() + delivered.refused.len();
                    }
                }
            }
        }
    }
}

fn set(worker: &mut Worker, fault: MachineFault, leader: Option<usize>, on: bool) {
    match fault {
        MachineFault::Hangs => worker.hangs = on,
        MachineFault::Deaf => worker.drops_replies = on,
        MachineFault::DeafToCommands => worker.drops_commands = on,
        MachineFault::Mute => worker.sends_no_heartbeats = on,
        MachineFault::AnswersBreak => worker.reply_connections_break = on,
        MachineFault::CutFromLeader => worker.cut_from = leader.into_iter().collect(),
        MachineFault::LateCommands(by) => worker.command_delay = if on { by } else { Duration::ZERO },
        MachineFault::StartsHeldUp => worker.starts = if on { Starts::HeldUp } else { Starts::Arrive },
        MachineFault::StartsUnanswered => worker.starts = if on { Starts::Unanswered } else { Starts::Arrive },
    }
}

/// Plays the faults of this seed, and judges what users and workers saw.
pub fn play(seed: u64, options: &Options) -> Outcome {
    let began = Instant::now();
    lock(&EXECUTED).clear();
    let faults = plan(seed, options.seconds);
    let size = Size {
        cancel: CANCEL,
        leadership_ttl: LEADERSHIP_TTL,
        cuttable: true,
        teams: vec![(LIMITED, LIMIT as f64)],
        ..Size::of(NODES, options.workers, LEASE_S)
    };
    let mut cluster = Cluster::start(&format!("soak-{seed}"), size);
    cluster.rentals.capacity.store(options.workers * RENTED_EACH, Ordering::Relaxed);
    cluster.wait_for_leader();
    let answers = Answers::of(&cluster);
    let watch = RuleWatch::start(&cluster, CANCEL, &[(LIMITED, LIMIT)]);
    watch.allow_late_starts();
    let users = Users::new(&answers, &watch);
    let delivered = std::thread::scope(|scope| {
        let users = &users;
        (0..SUBMITTERS).for_each(|i| _ = scope.spawn(move || users.submit_jobs(seed * 1000 + i)));
        for (i, node) in (0..).zip(users.askers()) {
            scope.spawn(move || users.poll_until_over(node, seed * 1000 + 100 + i));
        }
        let mut playing =
            Faults { cluster: &mut cluster, rng: Rng::with_seed(seed), lasting: Vec::new(), delivered: 0 };
        playing.run(&faults);
        users.over.store(true, Ordering::Relaxed);
        playing.delivered
    });
    let left = users.until_all_ended(ENDS_WITHIN);
    let mut outcome = judge(seed, faults, delivered, &cluster, &users, &watch);
    if !left.is_empty() {
        outcome.problems.push(format!("not told to have ended after {ENDS_WITHIN:?} by every controller: {left:?}"));
    }
    outcome.took = began.elapsed();
    drop(cluster);
    keep_logs(seed, options.keep.as_deref(), outcome.is_good());
    outcome
}

fn judge(
    seed: u64,
    faults: Vec<Fault>,
    delivered: usize,
    cluster: &Cluster,
    users: &Users<'_>,
    watch: &RuleWatch,
) -> Outcome {
    let (repeated, mut problems): (Vec<String>, Vec<String>) =
        watch.violations().into_iter().partition(|b| b.ends_with("was started again after its end"));
    problems.extend(users.answers.violations());
    let duplicate_starts: BTreeSet<String> = lock(&cluster.duplicate_starts).iter().cloned().collect();
    for task in &duplicate_starts {
        problems.push(format!("ran_twice: {task} was started while it was on another machine"));
        problems.extend(commands_of(task));
    }
    let unfenced = lock(&cluster.store).unfenced.clone();
    if !unfenced.is_empty() {
        problems.push(format!("changed without a claim: {unfenced:?}"));
    }
    let at_workers: usize = lock(&cluster.workers).iter().map(|w| w.commands_held_up + w.starts_unanswered.len()).sum();
    let held_up = at_workers + delivered;
    let confirmed = users.confirmed.load(Ordering::Relaxed);
    let takeovers = cluster.elections_won().iter().sum::<usize>().saturating_sub(1);
    let counts = [(takeovers, "change of leader"), (held_up, "command held up"), (confirmed, "cancellation")];
    let missing = counts.iter().filter(|(count, _)| *count == 0).map(|(_, what)| *what).collect();
    Outcome {
        seed,
        faults,
        submitted: users.submitted().len(),
        confirmed,
        takeovers,
        held_up,
        repeated: repeated.len(),
        took: Duration::ZERO,
        problems,
        missing,
    }
}

/// Logs of runs that passed go; those of the others stay.
fn keep_logs(seed: u64, keep: Option<&Path>, is_good: bool) {
    let Some(folder) = keep.filter(|_| is_good) else { return };
    let of_seed = format!("lupinspur-soak-{seed}-");
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        if entry.file_name().to_string_lossy().starts_with(&of_seed) {
            let _ = std::fs::remove_file(entry.path());
        }
    }
}
