//! Runs one seed: injects its faults, ends them and checks the result.

use crate::answers::Answers;
use crate::cluster::Cluster;
use crate::direct::{Starts, repeat_answered};
use crate::http::lock;
use crate::options::Options;
use crate::plan::{Fault, Kind, MachineFault, plan};
use crate::rules::RuleWatch;
use crate::settings::Size;
use crate::users::{LIMIT, LIMITED, Users};
use crate::workers::{EXECUTED, Worker, Workers, commands_of};
use fastrand::Rng;
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const NODES: usize = 3;
const LEASE_S: u64 = 5;
const CANCEL: Duration = Duration::from_secs(13);
const LEADERSHIP_TTL: Duration = Duration::from_millis(1500);
const SUBMITTERS: u64 = 6;
/// Once all faults have ended, every job ends within this time and every controller reports its end.
const ENDS_WITHIN: Duration = Duration::from_secs(75);
/// How often copies of answered start commands arrive at the workers.
const COPIES_EVERY: Duration = Duration::from_millis(700);
/// Number of revisions after which a leader writes a new checkpoint.
const CHECKPOINT_REVISIONS: u64 = 2500;
/// Number of machines that may be rented per initial machine.
const RENTALS_PER_WORKER: usize = 4;

/// The result of a seed.
pub struct Outcome {
    seed: u64,
    faults: Vec<Fault>,
    submitted: usize,
    confirmed: usize,
    failovers: usize,
    /// Number of messages with commands that were delayed or whose responses were lost.
    held_up: usize,
    /// Number of start commands in copies of answered messages, executed or refused.
    copies: usize,
    /// Number of tasks that were started again after an end that no leader learned of.
    repeated: usize,
    took: Duration,
    problems: Vec<String>,
    /// Events that the run needs to be conclusive and that didn't occur.
    missing: Vec<&'static str>,
}

impl Outcome {
    /// Returns whether no rule was violated.
    pub fn is_good(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns whether the run is conclusive: all events that it should test occurred.
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
            "seed {}: {verdict}, {:.0} s, {} faults, {} failovers, {} commands delayed or unanswered, \
             {} starts copied, {} jobs, {} cancellations, {} tasks repeated",
            self.seed,
            self.took.as_secs_f64(),
            self.faults.len(),
            self.failovers,
            self.held_up,
            self.copies,
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

/// The action that ends an active fault.
enum Undo {
    Start(Vec<usize>),
    Resume(Vec<usize>),
    Accept(usize),
    Reconnect(usize),
    EndOutage,
    EndSlowRequests,
    EndLateTransactions,
    EndLostResponses,
    ReleaseJobReads,
    Restore(MachineFault, Vec<usize>),
}

/// Injects faults into a cluster and ends them when they are due.
struct FaultInjector<'a> {
    cluster: &'a mut Cluster,
    rng: Rng,
    /// Active faults, by the time at which they end.
    active: Vec<(Instant, Undo)>,
    /// Number of delayed start commands that were delivered.
    delivered: usize,
}

impl FaultInjector<'_> {
    fn run(&mut self, faults: &[Fault]) {
        let began = Instant::now();
        for fault in faults {
            self.end_due_faults_until(began + fault.at);
            if let Some(undo) = self.inject(fault.kind) {
                self.active.push((Instant::now() + fault.lasts, undo));
            }
        }
        let last = self.active.iter().map(|(ends, _)| *ends).max().unwrap_or(began);
        self.end_due_faults_until(last);
    }

    fn end_due_faults_until(&mut self, until: Instant) {
        loop {
            let next = (0..self.active.len()).min_by_key(|i| self.active[*i].0);
            let due = next.filter(|i| self.active[*i].0 <= until);
            let wait = |time: Instant| std::thread::sleep(time.saturating_duration_since(Instant::now()));
            let Some(index) = due else { return wait(until) };
            let (ends, undo) = self.active.swap_remove(index);
            wait(ends);
            self.end(undo);
        }
    }

    fn alive(&self) -> Vec<usize> {
        (0..NODES).filter(|node| self.cluster.nodes.0[*node].is_some()).collect()
    }

    fn leader(&self) -> Option<usize> {
        self.cluster.leader().filter(|node| self.cluster.nodes.0[*node].is_some())
    }

    fn kill(&mut self, nodes: Vec<usize>) -> Option<Undo> {
        nodes.iter().for_each(|node| self.cluster.kill(*node));
        (!nodes.is_empty()).then_some(Undo::Start(nodes))
    }

    fn suspend(&mut self, nodes: Vec<usize>) -> Option<Undo> {
        nodes.iter().for_each(|node| self.cluster.signal(*node, "-STOP"));
        (!nodes.is_empty()).then_some(Undo::Resume(nodes))
    }

    fn inject(&mut self, kind: Kind) -> Option<Undo> {
        let leader = self.leader();
        let store = self.cluster.store.clone();
        match kind {
            Kind::LeaderKilled => self.kill(leader.into_iter().collect()),
            Kind::FollowerKilled => {
                let others: Vec<usize> = self.alive().into_iter().filter(|node| Some(*node) != leader).collect();
                self.kill(others.into_iter().take(1).collect())
            }
            Kind::AllKilled => self.kill(self.alive()),
            Kind::LeaderSuspended => self.suspend(leader.into_iter().collect()),
            Kind::AllSuspended => self.suspend(self.alive()),
            Kind::LeaderRefused => leader.map(|node| {
                lock(&store).faults.refused.insert(node);
                Undo::Accept(node)
            }),
            Kind::LeaderCutFromPeers => leader.map(|node| {
                self.cluster.links.isolate(node, true);
                Undo::Reconnect(node)
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
            Kind::LostResponses { one_in } => {
                lock(&store).faults.lose_one_answer_in = one_in;
                Some(Undo::EndLostResponses)
            }
            Kind::ManyChanges => {
                lock(&store).revision += CHECKPOINT_REVISIONS;
                None
            }
            Kind::JobReadsHeld => {
                lock(&store).faults.job_reads_held = true;
                Some(Undo::ReleaseJobReads)
            }
            Kind::Machines { fault, share } => {
                let mut workers = lock(&self.cluster.workers);
                let chosen: Vec<usize> = (0..workers.len()).filter(|_| self.rng.f64() < share).collect();
                chosen.iter().for_each(|worker| set_fault(&mut workers[*worker], fault, leader, true));
                Some(Undo::Restore(fault, chosen))
            }
        }
    }

    fn end(&mut self, undo: Undo) {
        let store = self.cluster.store.clone();
        match undo {
            Undo::Start(nodes) => nodes.into_iter().for_each(|node| self.cluster.start_controller(node)),
            Undo::Resume(nodes) => {
                let alive = self.alive();
                nodes.iter().filter(|node| alive.contains(node)).for_each(|node| self.cluster.signal(*node, "-CONT"));
            }
            Undo::Accept(node) => _ = lock(&store).faults.refused.remove(&node),
            Undo::Reconnect(node) => self.cluster.links.isolate(node, false),
            Undo::EndOutage => lock(&store).set_outage(false),
            Undo::EndSlowRequests => lock(&store).faults.slow_requests = Duration::ZERO,
            Undo::EndLateTransactions => lock(&store).faults.delay_one_in = 0,
            Undo::ReleaseJobReads => lock(&store).faults.job_reads_held = false,
            Undo::EndLostResponses => lock(&store).faults.lose_one_answer_in = 0,
            Undo::Restore(fault, chosen) => {
                {
                    let mut workers = lock(&self.cluster.workers);
                    chosen.iter().for_each(|worker| set_fault(&mut workers[*worker], fault, None, false));
                }
                if fault == MachineFault::StartsDelayed {
                    for worker in chosen {
                        let delivered = self.cluster.deliver_held_starts(worker);
                        self.delivered += delivered.executed.len() + delivered.refused.len();
                    }
                }
            }
        }
    }
}

/// Switches a fault of a worker on or off.
fn set_fault(worker: &mut Worker, fault: MachineFault, leader: Option<usize>, on: bool) {
    match fault {
        MachineFault::Hangs => worker.hangs = on,
        MachineFault::RepliesAndCommandsLost => worker.drops_replies = on,
        MachineFault::CommandsLost => worker.drops_commands = on,
        MachineFault::HeartbeatsLost => worker.sends_no_heartbeats = on,
        MachineFault::RepliesCutShort => worker.reply_connections_break = on,
        MachineFault::CutFromLeader => worker.cut_from = leader.into_iter().collect(),
        MachineFault::LateCommands(by) => worker.command_delay = if on { by } else { Duration::ZERO },
        MachineFault::StartsDelayed => worker.starts = if on { Starts::HeldUp } else { Starts::Arrive },
        MachineFault::StartsUnanswered => worker.starts = if on { Starts::Unanswered } else { Starts::Arrive },
    }
}

/// Delivers copies of answered messages with starts to all workers. Returns the number of starts in them.
fn copy_answered_starts(workers: &Workers, duplicate_starts: &Mutex<Vec<String>>) -> usize {
    let count = lock(workers).len();
    let copied = (0..count).map(|worker| repeat_answered(workers, worker, duplicate_starts));
    copied.map(|delivered| delivered.executed.len() + delivered.refused.len()).sum()
}

/// Runs the faults of a seed, then checks the responses to users and the commands that workers executed.
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
    cluster.rentals.capacity.store(options.workers * RENTALS_PER_WORKER, Ordering::Relaxed);
    cluster.wait_for_leader();
    let answers = Answers::of(&cluster);
    let watch = RuleWatch::start(&cluster, CANCEL, &[(LIMITED, LIMIT)]);
    watch.allow_late_starts();
    let users = Users::new(&answers, &watch);
    let copies = AtomicUsize::new(0);
    let (workers, duplicate_starts) = (cluster.workers.clone(), cluster.duplicate_starts.clone());
    let delivered = std::thread::scope(|scope| {
        let users = &users;
        scope.spawn(|| {
            while !users.over.load(Ordering::Relaxed) {
                std::thread::sleep(COPIES_EVERY);
                copies.fetch_add(copy_answered_starts(&workers, &duplicate_starts), Ordering::Relaxed);
            }
        });
        (0..SUBMITTERS).for_each(|i| _ = scope.spawn(move || users.submit_jobs(seed * 1000 + i)));
        for (i, node) in (0..).zip(users.pollers()) {
            scope.spawn(move || users.keep_polling(node, seed * 1000 + 100 + i));
        }
        let mut injector =
            FaultInjector { cluster: &mut cluster, rng: Rng::with_seed(seed), active: Vec::new(), delivered: 0 };
        injector.run(&faults);
        users.over.store(true, Ordering::Relaxed);
        injector.delivered
    });
    let unfinished = users.until_all_ended(ENDS_WITHIN);
    let mut outcome = check(seed, faults, delivered, &cluster, &users, &watch);
    outcome.copies = copies.into_inner();
    if !unfinished.is_empty() {
        outcome
            .problems
            .push(format!("not every controller reports these jobs as ended after {ENDS_WITHIN:?}: {unfinished:?}"));
    }
    outcome.took = began.elapsed();
    drop(cluster);
    keep_logs(seed, options.keep.as_deref(), outcome.is_good());
    outcome
}

fn check(
    seed: u64,
    faults: Vec<Fault>,
    delivered: usize,
    cluster: &Cluster,
    users: &Users<'_>,
    watch: &RuleWatch,
) -> Outcome {
    let (repeated, mut problems): (Vec<String>, Vec<String>) =
        watch.violations().into_iter().partition(|violation| violation.ends_with("was started again after its end"));
    problems.extend(users.answers.violations());
    let duplicate_starts: BTreeSet<String> = lock(&cluster.duplicate_starts).iter().cloned().collect();
    for task in &duplicate_starts {
        problems.push(format!("ran_twice: {task} was started while it was on another machine"));
        problems.extend(commands_of(task));
    }
    let unfenced = lock(&cluster.store).unfenced.clone();
    if !unfenced.is_empty() {
        problems.push(format!("changed without the condition on the leadership record: {unfenced:?}"));
    }
    let at_workers: usize = lock(&cluster.workers).iter().map(|w| w.commands_held_up + w.starts_unanswered.len()).sum();
    let held_up = at_workers + delivered;
    let confirmed = users.confirmed.load(Ordering::Relaxed);
    let failovers = cluster.elections_won().iter().sum::<usize>().saturating_sub(1);
    let counts = [(failovers, "change of leader"), (held_up, "delayed command"), (confirmed, "cancellation")];
    let missing = counts.iter().filter(|(count, _)| *count == 0).map(|(_, what)| *what).collect();
    Outcome {
        seed,
        faults,
        submitted: users.submitted().len(),
        confirmed,
        failovers,
        held_up,
        copies: 0,
        repeated: repeated.len(),
        took: Duration::ZERO,
        problems,
        missing,
    }
}

/// Removes the logs of a run that passed, and keeps those of a failed run.
fn keep_logs(seed: u64, keep: Option<&Path>, is_good: bool) {
    let Some(folder) = keep.filter(|_| is_good) else { return };
    let of_seed = format!("lupinspur-soak-{seed}-");
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        if entry.file_name().to_string_lossy().starts_with(&of_seed) {
            let _ = std::fs::remove_file(entry.path());
        }
    }
}
