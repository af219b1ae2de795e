//! The state of one machine as its leader knows it, and what the machine may be used for.

use super::MachineTokens;
use crate::intern::{ImageIndex, JobIndex, MachineGroupIndex, TypeIndex, ZoneIndex};
use crate::jobs::{TaskKey, TaskMap, split_task};
use crate::times::with_clock_margin;
use crate::wire::TaskState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// After this many heartbeats in a row that don't show the effect of earlier replies, replies count as lost on the way
/// to the machine.
pub const MAX_MISSED_ACKNOWLEDGEMENTS: u32 = 2;

/// The phase of a machine's life.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Booting,
    Up,
    /// Empty and reserved for a transfer to another shard: it gets no tasks and is not returned to the cloud.
    Draining,
    /// Being deleted: marked in the state service first, then returned to the cloud.
    Terminating,
    /// Deleted.
    Gone,
}

/// How far an assigned attempt has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum AssignmentState {
    /// Assigned, but not sent: the machine's record does not name the job yet.
    Planned,
    /// The start may have reached the machine.
    Commanded,
    /// The machine fetches the task's image.
    Fetching,
    Running,
    /// The task saves its state before it stops.
    Saving,
}

impl AssignmentState {
    /// Returns whether the machine has carried out the start.
    pub fn has_started(self) -> bool {
        matches!(self, AssignmentState::Fetching | AssignmentState::Running | AssignmentState::Saving)
    }
}

/// An attempt of a task that this leader has assigned to a machine.
#[derive(Clone, Debug)]
pub struct Assignment {
    pub attempt: u64,
    pub state: AssignmentState,
    pub assigned_at: f64,
    pub running_since: f64,
    /// If the attempt has to stop: the time that it has to save its state, in seconds.
    pub stop_grace_s: Option<f64>,
    pub stop_sent_at: f64,
    /// When the start was last sent, by a push or in a reply.
    pub start_sent_at: f64,
    /// When the start was last sent in the reply to a heartbeat.
    pub start_replied_at: f64,
}

/// The kind of an attempt that the machine's heartbeat lists and that is not assigned to the machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UnassignedAttempt {
    /// The attempt has not ended and the machine is commanded to stop it. As long as it is listed, its task starts
    /// nowhere else.
    Orphaned(TaskState),
    /// The attempt has ended.
    Ended,
}

impl UnassignedAttempt {
    /// Returns whether the attempt has not ended.
    pub fn is_orphaned(self) -> bool {
        matches!(self, UnassignedAttempt::Orphaned(_))
    }
}

/// A listed attempt that has not ended, of a task that this leader doesn't know.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UnrecognizedAttempt {
    pub task: String,
    pub attempt: u64,
    pub state: TaskState,
}

impl UnrecognizedAttempt {
    /// Returns the job's id and the task's number, as given by the task's name.
    pub fn job(&self) -> Option<(&str, u32)> {
        split_task(&self.task)
    }
}

/// An image that a machine has or fetches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    pub image: ImageIndex,
    pub gb: f64,
    /// Whether the fetch is complete.
    pub ready: bool,
}

/// Durations by which the end of a lease or an incarnation is computed.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// How long a worker's lease lasts, in seconds of its own clock.
    pub lease_s: f64,
    /// How often a worker sends a heartbeat, in seconds.
    pub heartbeat_interval_s: f64,
}

impl LeaseTiming {
    /// Returns how many seconds after the last reply a lease is over by any clock and the worker's next incarnation has
    /// sent a heartbeat.
    fn certainly_over_s(self) -> f64 {
        with_clock_margin(self.lease_s) + self.heartbeat_interval_s
    }
}

/// The state of one machine as this leader knows it. Times are in seconds of the steady clock.
#[derive(Debug)]
pub struct Machine {
    pub name: std::sync::Arc<str>,
    pub addr: Option<SocketAddr>,
    pub type_index: TypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
    pub phase: Phase,
    pub first_seen_at: f64,
    /// The incarnation of its worker process by the newest heartbeat; 0 before the first heartbeat.
    pub incarnation: u64,
    /// The sequence number of the newest heartbeat in its incarnation.
    pub sequence: u64,
    /// Incarnations up to and including this one are certainly over.
    pub expired_incarnation: u64,
    /// Whether its newest heartbeat shows this leader's token.
    pub reported_token: bool,
    /// If unreconciled: the time until which it may hold tasks of an earlier leader.
    pub reconcile_deadline: Option<f64>,
    /// When this leader last sent a reply that renews its lease.
    pub lease_renewed_at: Option<f64>,
    pub last_heartbeat_at: f64,
    pub assignments: TaskMap<Assignment>,
    /// Number of assignments of service tasks.
    pub service_tasks: usize,
    /// Listed attempts that are not assigned to it, by task, with their attempt numbers.
    pub unassigned: TaskMap<(u64, UnassignedAttempt)>,
    pub cpus_used: f64,
    pub accelerators_used: f64,
    /// In GB.
    pub memory_used: f64,
    /// Known jobs that its stored record names.
    pub stored_jobs: BTreeSet<JobIndex>,
    /// Whether its record is stored.
    pub record_stored: bool,
    /// The machine group whose value holds its record.
    pub machine_group: Option<MachineGroupIndex>,
    /// Keys of stored values other than its machine group's that name it, written by earlier leaders or by a machine
    /// group that was split. They are deleted when its machine group's value is stored.
    pub superseded_values: Vec<Arc<str>>,
    pub images: Vec<CachedImage>,
    /// When the cloud reclaims it, by a notice.
    pub reclaimed_at: Option<f64>,
    /// It gets no new tasks.
    pub cordoned: bool,
    /// Part of the on-demand base, on which services have precedence and batch work gets only the remaining capacity.
    pub in_on_demand_base: bool,
    /// Jobs whose tasks failed here recently, and when.
    pub recent_failures: Vec<(JobIndex, f64)>,
    /// It gets no new tasks until then; infinite if it is quarantined for good.
    pub quarantined_until: f64,
    /// Since when it is quarantined for good.
    pub quarantined_since: f64,
    /// Listed attempts of unknown jobs, which are over: the machine is commanded to stop them.
    pub unrecognized_attempts: Vec<UnrecognizedAttempt>,
    /// Ids of unknown jobs that its stored record names. They may become known later: while it is unreconciled, it may
    /// hold tasks of them.
    pub unrecognized_jobs: Vec<Arc<str>>,
    /// Attempts whose start was pushed and got no reply yet: these starts may still arrive.
    pub unacknowledged_starts: TaskMap<u64>,
    /// The fencing tokens that this leader has sent to it.
    pub tokens: MachineTokens,
    /// Whether a push to it is in flight.
    pub push_in_flight: bool,
    /// When the next push to it may be sent.
    pub push_not_before: f64,
    /// Number of pushes that it left unanswered since its last heartbeat.
    pub unanswered_pushes: u32,
    /// A heartbeat is overdue, so that it is probed.
    pub suspected: bool,
    /// Known only from heartbeats with an earlier leader's token. It doesn't count as a machine before it shows this
    /// leader's token, since these may be late copies of the heartbeats of a machine that is long gone.
    pub known_only_from_old_heartbeats: bool,
    /// When this leader last replied to a heartbeat of its current incarnation.
    pub heartbeat_answered_at: Option<f64>,
    /// When the first heartbeat of its current incarnation arrived.
    pub incarnation_since: f64,
    /// Number of incarnations in a row that ended although their heartbeats were answered: the replies were lost.
    pub unacknowledged_incarnations: u32,
    /// Number of heartbeats in a row, other than those in responses to pushes, that don't show the effect of earlier
    /// replies.
    pub missed_acknowledgements: u32,
    /// It gets no new tasks until then; by then it has shown whether replies reach it.
    pub commandable_from: f64,
    /// When this leader last replied to a heartbeat of the machine other than one in the response to a push, or
    /// received its first heartbeat.
    pub own_heartbeat_at: f64,
    /// It answers probes but sends no heartbeats by itself: a worker that gets no replies sends its heartbeats to one
    /// controller after the other. Cleared when two heartbeats arrive in time again.
    pub heartbeat_path_lost: bool,
    /// Whether the cloud has listed it.
    pub listed: bool,
    /// Number of cloud listings in a row that don't contain it.
    pub missed_listings: u32,
    /// Whether a request to delete it is in flight.
    pub deleting: bool,
}

impl Machine {
    /// Returns a booting machine that is first seen now.
    pub fn new(name: std::sync::Arc<str>, type_index: TypeIndex, zone: ZoneIndex, spot: bool, now: f64) -> Machine {
        Machine {
            name,
            addr: None,
            type_index,
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
            tokens: MachineTokens::default(),
            push_in_flight: false,
            push_not_before: 0.0,
            unanswered_pushes: 0,
            suspected: false,
            known_only_from_old_heartbeats: false,
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

    /// Returns whether a heartbeat is newer than the newest one so far. Heartbeats are ordered by incarnation and
    /// sequence; an older one may have been delayed for minutes. A heartbeat of a machine that is gone, or of an
    /// incarnation that is certainly over, is never accepted.
    pub fn is_newer_heartbeat(&self, incarnation: u64, sequence: u64) -> bool {
        self.phase != Phase::Gone
            && incarnation > self.expired_incarnation
            && (incarnation, sequence) > (self.incarnation, self.sequence)
    }

    /// Sets the address from a heartbeat, if it is valid.
    pub fn update_address(&mut self, address: &str) {
        if let Ok(parsed) = address.parse() {
            self.addr = Some(parsed);
        }
    }

    /// Returns whether this incarnation follows another one that has sent a heartbeat.
    pub fn is_new_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation != 0 && incarnation > self.incarnation
    }

    /// Resets the count of unacknowledged incarnations if the current one has lasted longer than a lease, since replies
    /// must have reached it. The limit is longer for an incarnation that is over, since it may have ended some time
    /// before the first heartbeat of the next.
    pub fn reset_after_long_incarnation(&mut self, is_over: bool, timing: LeaseTiming, now: f64) {
        let max_unanswered_s = if is_over { timing.lease_s * 2.0 } else { timing.certainly_over_s() };
        if self.incarnation != 0 && now - self.incarnation_since > max_unanswered_s {
            self.unacknowledged_incarnations = 0;
        }
    }

    /// Returns whether the current incarnation ended although its heartbeats were answered, or although it was up all
    /// the time and sent its heartbeats to one controller after the other: in both cases replies are lost. Without this
    /// condition, incarnations that end just after an outage would count as well, since probes alone renew no lease.
    pub fn lease_ended_although_answered(&self, timing: LeaseTiming, now: f64) -> bool {
        let was_answered = |answered_at: f64| now - answered_at < timing.lease_s / 2.0;
        self.heartbeat_path_lost || self.heartbeat_answered_at.is_some_and(was_answered)
    }

    /// Returns whether the end of the current incarnation shows that replies are lost. After another unacknowledged
    /// incarnation, it does so only if this one lasted for half a lease or more: delayed copies of heartbeats of
    /// earlier incarnations, which arrive in quick succession, show nothing.
    pub fn proves_lost_acknowledgements(&self, timing: LeaseTiming, now: f64) -> bool {
        self.unacknowledged_incarnations == 0 || now - self.incarnation_since >= timing.lease_s / 2.0
    }

    /// Counts one more incarnation that ended unacknowledged. From the second in a row on, the machine gets no new
    /// tasks until it has had time to show that replies reach it.
    pub fn count_unacknowledged_incarnation(&mut self, timing: LeaseTiming, now: f64) {
        self.unacknowledged_incarnations += 1;
        if self.unacknowledged_incarnations > 1 {
            self.commandable_from = now + timing.certainly_over_s();
        }
    }

    /// Begins a new incarnation at its first heartbeat; the incarnation that is already known changes nothing. The
    /// lease of an incarnation runs from its beginning, which is before its first heartbeat.
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

    /// Records the newest heartbeat.
    pub fn record_heartbeat(&mut self, incarnation: u64, sequence: u64, now: f64) {
        self.incarnation = incarnation;
        self.sequence = sequence;
        self.last_heartbeat_at = now;
    }

    /// Clears the suspicion against a machine that has answered.
    pub fn clear_suspicion(&mut self) {
        self.suspected = false;
        self.unanswered_pushes = 0;
    }

    /// Returns whether this task is being stopped and will end soon. The end of a task whose start got no reply, and
    /// may still arrive, can't be predicted.
    pub fn is_stopping(&self, key: &TaskKey, assignment: &Assignment) -> bool {
        let may_arrive_late = !self.push_in_flight && self.unacknowledged_starts.contains_key(key);
        assignment.stop_grace_s.is_some() && (assignment.state.has_started() || !may_arrive_late)
    }

    /// Returns whether this start was withdrawn before it got a reply. It may still be carried out until the
    /// incarnation ends or the machine is deleted.
    pub fn is_lost_start(&self, key: &TaskKey, assignment: &Assignment) -> bool {
        let unanswered = !self.push_in_flight && self.unacknowledged_starts.contains_key(key);
        assignment.stop_grace_s.is_some() && assignment.state == AssignmentState::Commanded && unanswered
    }

    /// Returns whether the machine has a lost start that was assigned before this time.
    pub fn lost_start_before(&self, time: f64) -> bool {
        self.assignments
            .iter()
            .any(|(key, assignment)| self.is_lost_start(key, assignment) && assignment.assigned_at < time)
    }

    /// Returns whether it has no assignments other than lost starts.
    pub fn is_empty(&self) -> bool {
        self.assignments.iter().all(|(key, assignment)| self.is_lost_start(key, assignment))
    }

    /// Returns whether it is quarantined for good, because several jobs failed on it.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined_until == f64::INFINITY
    }

    /// Returns whether commands reach it, as far as it has shown. That its heartbeats arrive is no proof of that.
    pub fn can_receive_commands(&self, now: f64) -> bool {
        self.missed_acknowledgements < MAX_MISSED_ACKNOWLEDGEMENTS
            && !self.heartbeat_path_lost
            && now >= self.commandable_from
    }

    /// Returns whether replies were lost on the way to it, and it has not shown since that replies arrive.
    pub fn command_path_in_doubt(&self) -> bool {
        self.unacknowledged_incarnations > 1 || self.missed_acknowledgements > 0
    }

    /// Returns whether all tasks on it are known.
    pub fn is_reconciled(&self) -> bool {
        self.reconcile_deadline.is_none()
    }

    /// Returns whether it is cordoned, but would accept tasks if it were not.
    pub fn could_be_uncordoned(&self, now: f64, heartbeat_timeout_s: f64) -> bool {
        self.cordoned && self.accepts_tasks(now, heartbeat_timeout_s)
    }

    /// Returns whether new tasks may be started on it.
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

    /// Returns whether the image is completely fetched.
    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.images.iter().any(|cached| cached.image == image && cached.ready)
    }

    /// Returns the GB to fetch until this image is complete. Concurrent fetches share the bandwidth, so all of them
    /// count in full.
    pub fn remaining_fetch_gb(&self, image: ImageIndex, gb: f64) -> f64 {
        let being_fetched_gb: f64 = self.images.iter().filter(|cached| !cached.ready).map(|cached| cached.gb).sum();
        match self.images.iter().find(|cached| cached.image == image) {
            Some(cached) if cached.ready => 0.0,
            Some(_) => being_fetched_gb,
            None => being_fetched_gb + gb,
        }
    }

    /// Makes this image the most recently used one, and evicts the least recently used images that exceed the cache.
    pub fn touch_image(&mut self, image: ImageIndex, gb: f64, cache_gb: f64) {
        let ready = self.has_image(image);
        self.images.retain(|cached| cached.image != image);
        self.images.push(CachedImage { image, gb, ready });
        let mut total_gb: f64 = self.images.iter().map(|cached| cached.gb).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            total_gb -= self.images.remove(0).gb;
        }
    }

    /// Marks this image as completely fetched.
    pub fn mark_image_ready(&mut self, image: ImageIndex, gb: f64) {
        match self.images.iter_mut().find(|cached| cached.image == image) {
            Some(cached) => cached.ready = true,
            None => self.images.push(CachedImage { image, gb, ready: true }),
        }
    }
}
