//! One machine: what is known of it, and what it may be used for.

use crate::intern::{ImageIx, JobIx, RackIx, TypeIx, ZoneIx};
use crate::jobs::{TaskKey, TaskMap, split_task};
use crate::wire::TaskState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Reports that show nothing of what was answered before, after which a machine is taken not to hear.
pub const UNHEEDED: u32 = 2;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Booting,
    Up,
    /// Empty, and set aside for another cell: it gets nothing, and is not returned.
    Leaving,
    /// To be deleted: marked in the state service first, then returned.
    Retiring,
    Gone,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum HeldState {
    /// Chosen; the machine's record does not name the job yet.
    Planned,
    /// The start may have reached the machine.
    Commanded,
    Fetching,
    Running,
    Saving,
}

impl HeldState {
    /// Has its machine taken the start?
    pub fn begun(self) -> bool {
        matches!(self, HeldState::Fetching | HeldState::Running | HeldState::Saving)
    }
}

#[derive(Clone, Debug)]
pub struct Held {
    pub attempt: u64,
    pub state: HeldState,
    pub since: f64,
    pub running_since: f64,
    /// Stop it, with this much time to save.
    pub stop: Option<f64>,
    pub stop_sent: f64,
    /// The last time a start was sent, and the last time in the reply to a report.
    pub sent: f64,
    pub replied: f64,
}

/// An attempt that the machine still reports and that is not held.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Leftover {
    /// It has not ended, and is told to stop. As long as it is listed its task starts nowhere else.
    Orphaned(TaskState),
    Ended,
}

impl Leftover {
    pub fn is_orphaned(self) -> bool {
        matches!(self, Leftover::Orphaned(_))
    }
}

/// An attempt that has not ended, of a task that nobody here knows.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UnknownAttempt {
    pub task: String,
    pub attempt: u64,
    pub state: TaskState,
}

impl UnknownAttempt {
    /// The job that its task's name tells, and the task's number.
    pub fn job(&self) -> Option<(&str, u32)> {
        split_task(&self.task)
    }
}

/// An image on a machine, or on its way to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    pub image: ImageIx,
    pub gb: f64,
    pub ready: bool,
}

#[derive(Debug)]
pub struct Machine {
    pub name: std::sync::Arc<str>,
    pub addr: Option<SocketAddr>,
    pub ty: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub phase: Phase,
    pub born: f64,
    pub session: u64,
    pub seq: u64,
    /// Sessions up to this one are over for certain.
    pub dead_session: u64,
    pub reported_token: bool,
    /// The time until which an earlier owner's tasks may be on it, if unresolved.
    pub unresolved_until: Option<f64>,
    /// When the last renewal of its lease was sent by this owner.
    pub last_ok: Option<f64>,
    pub last_heard: f64,
    pub tasks: TaskMap<Held>,
    /// How many of them belong to services.
    pub services: usize,
    pub leftovers: TaskMap<(u64, Leftover)>,
    pub cpus_used: f64,
    pub cards_used: f64,
    pub memory_used: f64,
    /// Jobs that the stored record names.
    pub stored_jobs: BTreeSet<JobIx>,
    pub record_stored: bool,
    /// The rack whose value holds its record.
    pub rack: Option<RackIx>,
    /// Values besides its rack's that name it: written by earlier owners, or by a rack that
    /// was split. They go when its rack's value is stored.
    pub old_values: Vec<Arc<str>>,
    pub images: Vec<CachedImage>,
    pub notice_until: Option<f64>,
    pub cordoned: bool,
    /// Part of the on-demand base: services first, batch work only in what they leave.
    pub base: bool,
    pub fails: Vec<(JobIx, f64)>,
    pub quarantined_until: f64,
    /// Since when it is set aside for good.
    pub aside_since: f64,
    /// What runs there of jobs that nobody here knows: they are over, and it is to go.
    pub unknown: Vec<UnknownAttempt>,
    /// Jobs that the stored record names and that nobody here knows: while the machine is unresolved it may hold
    /// tasks of them, should they come to be known.
    pub unknown_jobs: Vec<Arc<str>>,
    /// Starts sent directly that got no answer yet: these attempts may still arrive.
    pub loose: TaskMap<u64>,
    pub direct_busy: bool,
    pub direct_not_before: f64,
    /// Direct calls that it left unanswered since it was last heard.
    pub unanswered: u32,
    /// A report is overdue: it is asked directly whether it is there.
    pub suspect: bool,
    /// Known by reports of an earlier owner's time alone: it counts for nothing before it shows that it
    /// hears us. A late copy of what a machine said that is long gone looks like this.
    pub unproven: bool,
    /// When this owner last answered a report of its present session.
    pub answered: Option<f64>,
    /// When its present session was first heard of.
    pub session_since: f64,
    /// Sessions in a row that ended though their reports were answered: the answers were lost.
    pub lost_sessions: u32,
    /// Reports of its own in a row that showed nothing of what the answers before had told it.
    pub unheeded: u32,
    /// It gets nothing new until then: by then it has shown whether answers reach it.
    pub trusted_from: f64,
    /// When this owner last answered a report of its own, or first heard of it.
    pub own_report: f64,
    /// It answers direct questions, and its own reports stay away: whoever waits for answers in vain
    /// asks one controller after the other. Until two of them come in time again.
    pub astray: bool,
    pub listed: bool,
    pub missing: u32,
    pub deleting: bool,
}

impl Machine {
    pub fn new(name: std::sync::Arc<str>, ty: TypeIx, zone: ZoneIx, spot: bool, now: f64) -> Machine {
        Machine {
            name,
            addr: None,
            ty,
            zone,
            spot,
            phase: Phase::Booting,
            born: now,
            session: 0,
            seq: 0,
            dead_session: 0,
            reported_token: false,
            unresolved_until: None,
            last_ok: None,
            last_heard: now,
            tasks: TaskMap::new(),
            services: 0,
            leftovers: TaskMap::new(),
            cpus_used: 0.0,
            cards_used: 0.0,
            memory_used: 0.0,
            stored_jobs: BTreeSet::new(),
            record_stored: false,
            rack: None,
            old_values: Vec::new(),
            images: Vec::new(),
            notice_until: None,
            cordoned: false,
            base: false,
            fails: Vec::new(),
            quarantined_until: 0.0,
            aside_since: f64::MIN,
            unknown: Vec::new(),
            unknown_jobs: Vec::new(),
            loose: TaskMap::new(),
            direct_busy: false,
            direct_not_before: 0.0,
            unanswered: 0,
            suspect: false,
            unproven: false,
            answered: None,
            session_since: now,
            lost_sessions: 0,
            unheeded: 0,
            trusted_from: f64::MIN,
            own_report: now,
            astray: false,
            listed: false,
            missing: 0,
            deleting: false,
        }
    }

    /// Was this task told to stop, and will it be gone soon? One whose start had no answer and may still be on
    /// its way has no end that can be waited for.
    pub fn is_leaving(&self, key: &TaskKey, held: &Held) -> bool {
        let may_come_late = !self.direct_busy && self.loose.contains_key(key);
        held.stop.is_some() && (held.state.begun() || !may_come_late)
    }

    /// Was this start withdrawn before it got an answer? It may be carried out until the session ends, or the
    /// machine is deleted.
    pub fn is_lost(&self, key: &TaskKey, held: &Held) -> bool {
        let unanswered = !self.direct_busy && self.loose.contains_key(key);
        held.stop.is_some() && held.state == HeldState::Commanded && unanswered
    }

    /// Was a start withdrawn and lost before this time?
    pub fn lost_start_before(&self, time: f64) -> bool {
        self.tasks.iter().any(|(k, h)| self.is_lost(k, h) && h.since < time)
    }

    /// Is nothing on it, lost starts aside?
    pub fn is_empty(&self) -> bool {
        self.tasks.iter().all(|(k, h)| self.is_lost(k, h))
    }

    /// Set aside for good, because several jobs failed here.
    pub fn faulty(&self) -> bool {
        self.quarantined_until == f64::INFINITY
    }

    /// Does what we say reach it, as far as it has shown? Its reports prove nothing of that.
    pub fn hears(&self, now: f64) -> bool {
        self.unheeded < UNHEEDED && !self.astray && now >= self.trusted_from
    }

    /// Something of ours was lost on the way to it, and it has not shown since that it hears.
    pub fn doubted(&self) -> bool {
        self.lost_sessions > 1 || self.unheeded > 0
    }

    pub fn resolved(&self) -> bool {
        self.unresolved_until.is_none()
    }

    /// Left only because it is not needed now: it takes tasks again where it is.
    pub fn could_stay(&self, now: f64, silent_s: f64) -> bool {
        self.cordoned && self.takes(now, silent_s)
    }

    /// May new tasks be started on it?
    pub fn usable(&self, now: f64, silent_s: f64) -> bool {
        !self.cordoned && self.takes(now, silent_s)
    }

    fn takes(&self, now: f64, silent_s: f64) -> bool {
        self.phase == Phase::Up
            && self.resolved()
            && self.reported_token
            && self.hears(now)
            && !self.suspect
            && self.notice_until.is_none()
            && now >= self.quarantined_until
            && now - self.last_heard < silent_s
    }

    pub fn has_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|i| i.image == image && i.ready)
    }

    /// GB to fetch until this image is there. Fetches at the same time share the
    /// rate, so those under way count in full.
    pub fn to_fetch_gb(&self, image: ImageIx, gb: f64) -> f64 {
        let under_way: f64 = self.images.iter().filter(|i| !i.ready).map(|i| i.gb).sum();
        match self.images.iter().find(|i| i.image == image) {
            Some(i) if i.ready => 0.0,
            Some(_) => under_way,
            None => under_way + gb,
        }
    }

    /// The most recently used images stay within the cache.
    pub fn used_image(&mut self, image: ImageIx, gb: f64, cache_gb: f64) {
        let ready = self.has_image(image);
        self.images.retain(|i| i.image != image);
        self.images.push(CachedImage { image, gb, ready });
        let mut total: f64 = self.images.iter().map(|i| i.gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).gb;
        }
    }

    /// A task that needs this image runs or ran: it is there.
    pub fn image_ready(&mut self, image: ImageIx, gb: f64) {
        match self.images.iter_mut().find(|i| i.image == image) {
            Some(i) => i.ready = true,
            None => self.images.push(CachedImage { image, gb, ready: true }),
        }
    }
}
