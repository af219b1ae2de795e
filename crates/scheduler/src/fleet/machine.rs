//! One machine: what is known of it, and what it may be used for.

use crate::intern::{ImageIndex, JobIndex, MachineGroupIndex, TypeIndex, ZoneIndex};
use crate::jobs::{TaskKey, TaskMap, split_task};
use crate::times::with_clock_margin;
use crate::wire::TaskState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Reports that show nothing of what was answered before, after which a machine is taken not to hear.
pub const MAX_MISSED_ACKNOWLEDGEMENTS: u32 = 2;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Booting,
    Up,
    /// Empty, and set aside for another shard: it gets nothing, and is not returned.
    Draining,
    /// To be deleted: marked in the state service first, then returned.
    Terminating,
    Gone,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum AssignmentState {
    /// Chosen; the machine's record does not name the job yet.
    Planned,
    /// The start may have reached the machine.
    Commanded,
    Fetching,
    Running,
    Saving,
}

impl AssignmentState {
    /// Has its machine taken the start?
    pub fn has_started(self) -> bool {
        matches!(self, AssignmentState::Fetching | AssignmentState::Running | AssignmentState::Saving)
    }
}

#[derive(Clone, Debug)]
pub struct Assignment {
    pub attempt: u64,
    pub state: AssignmentState,
    pub assigned_at: f64,
    pub running_since: f64,
    /// Stop it, with this much time to save.
    pub stop_grace_s: Option<f64>,
    pub stop_sent_at: f64,
    /// The last time a start was sent, and the last time in the reply to a report.
    pub start_sent_at: f64,
    pub start_replied_at: f64,
}

/// An attempt that the machine still reports and that is not held.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UnassignedAttempt {
    /// It has not ended, and is told to stop. As long as it is listed its task starts nowhere else.
    Orphaned(TaskState),
    Ended,
}

impl UnassignedAttempt {
    pub fn is_orphaned(self) -> bool {
        matches!(self, UnassignedAttempt::Orphaned(_))
    }
}

/// An attempt that has not ended, of a task that nobody here knows.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UnrecognizedAttempt {
    pub task: String,
    pub attempt: u64,
    pub state: TaskState,
}

impl UnrecognizedAttempt {
    /// The job that its task's name tells, and the task's number.
    pub fn job(&self) -> Option<(&str, u32)> {
        split_task(&self.task)
    }
}

/// An image on a machine, or on its way to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    pub image: ImageIndex,
    pub gb: f64,
    pub ready: bool,
}

/// What the ends of leases and of incarnations are reckoned by.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// How long a worker's lease lasts, in seconds of its own clock.
    pub lease_s: f64,
    /// How often a worker sends a heartbeat, in seconds.
    pub heartbeat_interval_s: f64,
}

impl LeaseTiming {
    /// So many seconds after the last answer a lease is over by any clock, and the next incarnation was heard.
    fn surely_over_s(self) -> f64 {
        with_clock_margin(self.lease_s) + self.heartbeat_interval_s
    }
}

/// What this leader knows of one machine.
#[derive(Debug)]
pub struct Machine {
    pub name: std::sync::Arc<str>,
    pub addr: Option<SocketAddr>,
    pub type_index: TypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
    pub phase: Phase,
    pub first_seen_at: f64,
    pub incarnation: u64,
    pub sequence: u64,
    /// Incarnations up to this one are over for certain.
    pub expired_incarnation: u64,
    pub reported_token: bool,
    /// The time until which an earlier leader's tasks may be on it, if unresolved.
    pub reconcile_deadline: Option<f64>,
    /// When the last renewal of its lease was sent by this leader.
    pub lease_renewed_at: Option<f64>,
    pub last_heartbeat_at: f64,
    pub assignments: TaskMap<Assignment>,
    /// How many of them belong to services.
    pub service_tasks: usize,
    pub unassigned: TaskMap<(u64, UnassignedAttempt)>,
    pub cpus_used: f64,
    pub accelerators_used: f64,
    pub memory_used: f64,
    /// Jobs that the stored record names.
    pub stored_jobs: BTreeSet<JobIndex>,
    pub record_stored: bool,
    /// The machine group whose value holds its record.
    pub machine_group: Option<MachineGroupIndex>,
    /// Values besides its machine group's that name it: written by earlier leaders, or by a machine group that
    /// was split. They go when its machine group's value is stored.
    pub superseded_values: Vec<Arc<str>>,
    pub images: Vec<CachedImage>,
    pub reclaimed_at: Option<f64>,
    pub cordoned: bool,
    /// Part of the on-demand base: services first, batch work only in what they leave.
    pub in_on_demand_base: bool,
    pub recent_failures: Vec<(JobIndex, f64)>,
    pub quarantined_until: f64,
    /// Since when it is set aside for good.
    pub quarantined_since: f64,
    /// What runs there of jobs that nobody here knows: they are over, and it is to go.
    pub unrecognized_attempts: Vec<UnrecognizedAttempt>,
    /// Jobs that the stored record names and that nobody here knows: while the machine is unresolved it may hold
    /// tasks of them, should they come to be known.
    pub unrecognized_jobs: Vec<Arc<str>>,
    /// Starts sent directly that got no answer yet: these attempts may still arrive.
    pub unacknowledged_starts: TaskMap<u64>,
    pub push_in_flight: bool,
    pub push_not_before: f64,
    /// Direct calls that it left unanswered since it was last heard.
    pub unanswered_pushes: u32,
    /// A report is overdue: it is asked directly whether it is there.
    pub suspected: bool,
    /// Known by reports of an earlier leader's time alone: it counts for nothing before it shows that it
    /// hears us. A late copy of what a machine said that is long gone looks like this.
    pub heard_only_before_failover: bool,
    /// When this leader last answered a report of its present incarnation.
    pub heartbeat_answered_at: Option<f64>,
    /// When its present incarnation was first heard of.
    pub incarnation_since: f64,
    /// Incarnations in a row that ended though their reports were answered: the answers were lost.
    pub unacknowledged_incarnations: u32,
    /// Reports of its own in a row that showed nothing of what the answers before had told it.
    pub missed_acknowledgements: u32,
    /// It gets nothing new until then: by then it has shown whether answers reach it.
    pub commandable_from: f64,
    /// When this leader last answered a report of its own, or first heard of it.
    pub own_heartbeat_at: f64,
    /// It answers direct questions, and its own reports stay away: whoever waits for answers in vain
    /// asks one controller after the other. Until two of them come in time again.
    pub heartbeat_path_lost: bool,
    pub listed: bool,
    pub missed_listings: u32,
    pub deleting: bool,
}

impl Machine {
    pub fn new(name: std::sync::Arc<str>, ty: TypeIndex, zone: ZoneIndex, spot: bool, now: f64) -> Machine {
        Machine {
            name,
            addr: None,
            type_index: ty,
            zone,
            spot,
            phase: Phase::Booting,
            first_seen_at: now,
            incarnation: 0,
            sequence: 0,
            expired_incarnation: 0,
            reported_token: false,
            reconcile_deadline: None,
            lease_renewed_at: None,
            last_heartbeat_at: now,
            assignments: TaskMap::new(),
            service_tasks: 0,
            unassigned: TaskMap::new(),
            cpus_used: 0.0,
            accelerators_used: 0.0,
            memory_used: 0.0,
            stored_jobs: BTreeSet::new(),
            record_stored: false,
            machine_group: None,
            superseded_values: Vec::new(),
            images: Vec::new(),
            reclaimed_at: None,
            cordoned: false,
            in_on_demand_base: false,
            recent_failures: Vec::new(),
            quarantined_until: 0.0,
            quarantined_since: f64::MIN,
            unrecognized_attempts: Vec::new(),
            unrecognized_jobs: Vec::new(),
            unacknowledged_starts: TaskMap::new(),
            push_in_flight: false,
            push_not_before: 0.0,
            unanswered_pushes: 0,
            suspected: false,
            heard_only_before_failover: false,
            heartbeat_answered_at: None,
            incarnation_since: now,
            unacknowledged_incarnations: 0,
            missed_acknowledgements: 0,
            commandable_from: f64::MIN,
            own_heartbeat_at: now,
            heartbeat_path_lost: false,
            listed: false,
            missed_listings: 0,
            deleting: false,
        }
    }

    /// Heartbeats order by incarnation and sequence; whatever is older may have been held back for minutes. One of a
    /// machine that is gone, or of an incarnation that is over for certain, never counts again.
    pub fn is_newer_heartbeat(&self, incarnation: u64, sequence: u64) -> bool {
        self.phase != Phase::Gone
            && incarnation > self.expired_incarnation
            && (incarnation, sequence) > (self.incarnation, self.sequence)
    }

    /// Takes over the address that a heartbeat names, if it is one.
    pub fn update_address(&mut self, address: &str) {
        if let Ok(parsed) = address.parse() {
            self.addr = Some(parsed);
        }
    }

    /// Does this incarnation follow another one that was heard?
    pub fn is_new_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation != 0 && incarnation > self.incarnation
    }

    /// An incarnation that lasts for longer than a lease has been answered. One that is over may have been
    /// over for a while before that is heard.
    pub fn forgive_long_incarnation(&mut self, is_over: bool, timing: LeaseTiming, now: f64) {
        let unanswered_lasts_s = if is_over { timing.lease_s * 2.0 } else { timing.surely_over_s() };
        if self.incarnation != 0 && now - self.incarnation_since > unanswered_lasts_s {
            self.unacknowledged_incarnations = 0;
        }
    }

    /// Its lease has ended although its heartbeats were answered, or although it was there all the time and
    /// its heartbeats went round in search of an answer: hearing it proves nothing. By direct
    /// questions alone no lease is renewed: those that ended just after an outage once looked deaf.
    pub fn ended_though_answered(&self, timing: LeaseTiming, now: f64) -> bool {
        let was_answered = |answered_at: f64| now - answered_at < timing.lease_s / 2.0;
        self.heartbeat_path_lost || self.heartbeat_answered_at.is_some_and(was_answered)
    }

    /// Of two incarnations in a row the later was heard for as long as an incarnation lasts, nearly: late copies of
    /// earlier ones, which come one after the other, prove nothing.
    pub fn proves_lost_acknowledgements(&self, timing: LeaseTiming, now: f64) -> bool {
        self.unacknowledged_incarnations == 0 || now - self.incarnation_since >= timing.lease_s / 2.0
    }

    /// One more incarnation ended unacknowledged: from the second in a row on, the machine gets nothing new until
    /// it has shown that answers reach it.
    pub fn count_unacknowledged_incarnation(&mut self, timing: LeaseTiming, now: f64) {
        self.unacknowledged_incarnations += 1;
        if self.unacknowledged_incarnations > 1 {
            self.commandable_from = now + timing.surely_over_s();
        }
    }

    /// An incarnation's lease runs from its beginning, which was before its first heartbeat. Nothing changes where
    /// the incarnation is the one that was known.
    pub fn begin_incarnation(&mut self, incarnation: u64, now: f64) {
        if self.incarnation == 0 {
            self.own_heartbeat_at = now;
        }
        if incarnation > self.incarnation {
            self.incarnation_since = now;
            self.heartbeat_answered_at = None;
            self.lease_renewed_at = Some(self.lease_renewed_at.map_or(now, |renewed_at| renewed_at.max(now)));
        }
    }

    /// This is its newest heartbeat.
    pub fn record_heartbeat(&mut self, incarnation: u64, sequence: u64, now: f64) {
        self.incarnation = incarnation;
        self.sequence = sequence;
        self.last_heartbeat_at = now;
    }

    /// It has shown that it is there and answers.
    pub fn clear_suspicion(&mut self) {
        self.suspected = false;
        self.unanswered_pushes = 0;
    }

    /// Was this task told to stop, and will it be gone soon? One whose start had no answer and may still be on
    /// its way has no end that can be waited for.
    pub fn is_stopping(&self, key: &TaskKey, assignment: &Assignment) -> bool {
        let may_come_late = !self.push_in_flight && self.unacknowledged_starts.contains_key(key);
        assignment.stop_grace_s.is_some() && (assignment.state.has_started() || !may_come_late)
    }

    /// Was this start withdrawn before it got an answer? It may be carried out until the incarnation ends, or the
    /// machine is deleted.
    pub fn is_lost_start(&self, key: &TaskKey, assignment: &Assignment) -> bool {
        let unanswered = !self.push_in_flight && self.unacknowledged_starts.contains_key(key);
        assignment.stop_grace_s.is_some() && assignment.state == AssignmentState::Commanded && unanswered
    }

    /// Was a start withdrawn and lost before this time?
    pub fn lost_start_before(&self, time: f64) -> bool {
        self.assignments.iter().any(|(k, h)| self.is_lost_start(k, h) && h.assigned_at < time)
    }

    /// Is nothing on it, lost starts aside?
    pub fn is_empty(&self) -> bool {
        self.assignments.iter().all(|(k, h)| self.is_lost_start(k, h))
    }

    /// Set aside for good, because several jobs failed here.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined_until == f64::INFINITY
    }

    /// Does what we say reach it, as far as it has shown? Its reports prove nothing of that.
    pub fn can_receive_commands(&self, now: f64) -> bool {
        self.missed_acknowledgements < MAX_MISSED_ACKNOWLEDGEMENTS
            && !self.heartbeat_path_lost
            && now >= self.commandable_from
    }

    /// Something of ours was lost on the way to it, and it has not shown since that it hears.
    pub fn command_path_in_doubt(&self) -> bool {
        self.unacknowledged_incarnations > 1 || self.missed_acknowledgements > 0
    }

    pub fn is_reconciled(&self) -> bool {
        self.reconcile_deadline.is_none()
    }

    /// Left only because it is not needed now: it takes tasks again where it is.
    pub fn could_be_uncordoned(&self, now: f64, heartbeat_timeout_s: f64) -> bool {
        self.cordoned && self.accepts_tasks(now, heartbeat_timeout_s)
    }

    /// May new tasks be started on it?
    pub fn is_usable(&self, now: f64, heartbeat_timeout_s: f64) -> bool {
        !self.cordoned && self.accepts_tasks(now, heartbeat_timeout_s)
    }

    fn accepts_tasks(&self, now: f64, heartbeat_timeout_s: f64) -> bool {
        self.phase == Phase::Up
            && self.is_reconciled()
            && self.reported_token
            && self.can_receive_commands(now)
            && !self.suspected
            && self.reclaimed_at.is_none()
            && now >= self.quarantined_until
            && now - self.last_heartbeat_at < heartbeat_timeout_s
    }

    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.images.iter().any(|i| i.image == image && i.ready)
    }

    /// GB to fetch until this image is there. Fetches at the same time share the
    /// rate, so those under way count in full.
    pub fn remaining_fetch_gb(&self, image: ImageIndex, gb: f64) -> f64 {
        let under_way: f64 = self.images.iter().filter(|i| !i.ready).map(|i| i.gb).sum();
        match self.images.iter().find(|i| i.image == image) {
            Some(i) if i.ready => 0.0,
            Some(_) => under_way,
            None => under_way + gb,
        }
    }

    /// The most recently used images stay within the cache.
    pub fn touch_image(&mut self, image: ImageIndex, gb: f64, cache_gb: f64) {
        let ready = self.has_image(image);
        self.images.retain(|i| i.image != image);
        self.images.push(CachedImage { image, gb, ready });
        let mut total: f64 = self.images.iter().map(|i| i.gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).gb;
        }
    }

    /// A task that needs this image runs or ran: it is there.
    pub fn mark_image_ready(&mut self, image: ImageIndex, gb: f64) {
        match self.images.iter_mut().find(|i| i.image == image) {
            Some(i) => i.ready = true,
            None => self.images.push(CachedImage { image, gb, ready: true }),
        }
    }
}
