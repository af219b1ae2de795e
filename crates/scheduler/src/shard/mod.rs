//! One shard: a set of teams with their jobs, and a set of machines.
//!
//! Everything here decides and nothing here waits: events come in with the time,
//! and what is wanted comes out as writes, commands and cloud calls that the
//! node's loops carry out. Traces in tests/ drive it directly.

mod admission;
mod checkpointing;
mod cloud_calls;
mod commands;
mod consistency;
mod dependencies;
mod elastic;
mod failover;
mod graceful_eviction;
mod heartbeats;
mod large_jobs;
mod live_attempts;
mod machine_monitor;
mod machine_records;
mod machine_transfers;
mod moved_jobs;
mod permission;
pub mod placement;
mod quotas;
mod rebalancing;
mod responsiveness;
mod service_levels;
mod sizing;
mod starts;
mod summary;
mod task_failures;
mod task_reconciliation;
mod unrecognized_jobs;
mod writes;
mod zone_pinned;

pub use admission::{AdmissionError, check_admission, type_fits};
pub use checkpointing::{LoadedCheckpoint, parse_job_record};
pub use cloud_calls::CloudCall;
pub use commands::{PushOutcome, PushRequest};
pub use elastic::{ElasticReport, bound as elastic_bound};
pub use failover::LoadedState;
pub use heartbeats::HeartbeatOutcome;
pub use permission::{Forbidden, Lapsed};
pub use quotas::{LoadedQuotas, QuotaReport, Quotas, Row as QuotaRow, fits_values, team_limits};
pub use rebalancing::team_limits_by_name;
pub use service_levels::{ACCOUNTS_PREFIX, Prospect, inherited_totals};
pub use summary::Counts;
pub use writes::{PendingWrite, WritePurpose};

use crate::dependency_graph::DependencyGraph;
use crate::fleet::launch::Launches;
use crate::fleet::machine_groups::{MachineGroupRecord, MachineGroups};
use crate::fleet::mixture::{Mixture, Target};
use crate::fleet::zones::ZoneLists;
use crate::fleet::{Assignment, MachineRecord, Machines, Phase as MachinePhase, Types};
use crate::intern::{DenseIndex, JobIndex, MachineGroupIndex, MachineIndex, Names, TeamIndex, TypeIndex, ZoneIndex};
use crate::jobs::{Job, JobRecord, Jobs, Phase, TaskKey, TaskSlot};
use crate::params::{Team, Tuning};
use crate::wire::{JobState, Kind};
use lupinspur_service_levels::ServiceLevelTracker;
use lupinspur_service_levels::underserved::Underserved;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What the leader can say of a job that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobView {
    /// Its state, tasks done and tasks running.
    Visible(JobState, u64, u64),
    /// Its final state is being stored, and is stored or not: nothing can be told.
    Committing,
}

pub const EPSILON: f64 = 1e-6;

#[derive(Debug)]
pub struct TeamState {
    pub spec: Team,
    pub cpus_used: f64,
    pub accelerators_used: f64,
}

/// The fleet's stored value: zone lists and counts.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct FleetRecord {
    pub pools: Vec<PoolRecord>,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct PoolRecord {
    #[serde(rename = "type")]
    pub type_name: String,
    pub active: Vec<String>,
    pub preemptive: Vec<String>,
    pub target: usize,
    pub spot: usize,
    pub on_demand: usize,
}

/// The fleet rule for one machine type.
#[derive(Debug)]
pub struct Pool {
    pub zones: ZoneLists,
    pub target: Target,
    pub base: Target,
    pub mix: Mixture,
}

pub struct Shard {
    pub token: u64,
    pub began_at: f64,
    pub jobs: Jobs,
    pub dependencies: DependencyGraph,
    /// The stored records are being read: what they doom was doomed some time ago.
    loading_records: bool,
    pub machines: Machines,
    pub types: Types,
    pub teams: Vec<TeamState>,
    pub quotas: Option<Quotas>,
    /// What each class and team asked for and was served.
    pub service_level_tracker: ServiceLevelTracker,
    /// Who has sunk below the floor, as of the last look.
    pub underserved: Underserved,
    /// Where arrays may be elastic: their sizes.
    elastic: Option<elastic::ElasticPool>,
    elastic_resized_at: f64,
    /// Something that was to be placed found no place in the last pass.
    pub(crate) others_waiting: bool,
    service_levels: service_levels::ServiceLevelReporter,
    checkpointer: checkpointing::Checkpointer,
    live_attempts: live_attempts::LiveAttemptIndex,
    pub team_names: Names<TeamIndex>,
    pub pools: BTreeMap<TypeIndex, Pool>,
    pub launches: Launches,
    pub tuning: Tuning,
    /// Whether the state service answers: while it does not, nothing that needs a
    /// write afterwards is begun.
    pub state_service_writable: bool,
    /// No earlier leader recorded any machine.
    is_first_leader: bool,
    ticked_at: f64,
    /// When it last began to act again after a pause.
    resumed_at: f64,
    /// When a tick last came late: the processor had more to do than it could.
    late_tick_at: f64,
    /// The stages of this failover that were not told yet: when all was known, when the first
    /// task was started.
    failover_stages: failover::FailoverStages,
    failover_log: failover::FailoverLog,
    /// Most machines were asked whether they are there, and did not answer.
    pub(crate) suspected_partition: bool,
    /// Has the cloud told this leader which machines there are?
    pub(crate) machine_list_read: bool,
    /// When all machines of a zone were last asked whether they are there.
    zones_probed_at: BTreeMap<ZoneIndex, f64>,
    /// The time of day at the steady clock's zero, in milliseconds.
    pub day_ms: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    /// The time of day of any controller is within this of the true one.
    time_bound_s: f64,
    value_bytes: usize,
    attempts: u64,
    moved_jobs: moved_jobs::MovedJobs,
    /// What stands to be written, and on which versions.
    write_queue: writes::WriteQueue,
    pub(crate) machine_groups: MachineGroups,
    pub(crate) placement_due: bool,
    /// Cpus set apart for batch work that is late, see placement.
    pub(crate) late_credit: f64,
    /// So many services at limits were looked up before, in the order of their turns.
    pub(crate) limits_examined: usize,
    large_jobs: large_jobs::LargeJobReservations,
    consistency: consistency::ConsistencyChecker,
    /// Machines between this shard and others.
    transfers: machine_transfers::MachineTransfers,
    /// Pairs of a job and a machine that were looked at: what placing costs.
    pub pairs_examined: u64,
    pub counts: Counts,
    machines_checked_at: f64,
    /// Where the next search for tasks to move goes on.
    eviction_cursor: MachineIndex,
    pub(crate) service_cpus: f64,
    placement_requested_at: f64,
    fleet_sized_at: f64,
    evicted_at: f64,
    machines_to_delete: BTreeSet<MachineIndex>,
    fleet_to_restore: Option<FleetRecord>,
    machines_to_restore: Vec<(String, MachineRecord)>,
    groups_to_restore: Vec<(MachineGroupIndex, MachineGroupRecord, u64)>,
    merged_groups: Vec<(String, MachineGroupRecord, u64)>,
}

/// Stops a job's tasks gently enough to save.
const STOP_GRACE_MARGIN_S: f64 = 2.0;
/// Longer between two ticks, and this leader was not entitled to act in between.
const PROCESS_PAUSE_S: f64 = 1.0;
/// Ticks come ten times a second and more often: one so late waited for the processor.
const LATE_TICK_S: f64 = 0.6;
/// Ticks come as often as there is something to place; machines change more slowly.
const MACHINE_CHECK_INTERVAL_S: f64 = 0.09;
/// How often waiting work is looked at where nothing else changes.
const PLACEMENT_RETRY_INTERVAL_S: f64 = 5.0;

impl Shard {
    /// Takes in a job that the state service holds.
    pub fn add_job(&mut self, record: JobRecord, version: u64, now: f64) -> Option<JobIndex> {
        let key = crate::jobs::job_key(&record.job.id);
        if self.moved_jobs.is_outdated(&key, version) {
            return None;
        }
        self.write_queue.raise_version(key, version);
        if let Some(j) = self.jobs.find(&record.job.id) {
            // Our own write, whose answer comes later or never: nobody else ends jobs of ours.
            if self.jobs[j].end_write_sent && self.jobs[j].desired_phase == record.phase {
                self.on_end_committed(j, record.phase, now);
            }
            return Some(j);
        }
        let Some(team) = self.team_names.find(&record.job.team) else {
            log::error!("job {} names unknown team {}", record.job.id, record.job.team);
            self.mark_unreadable_record(&crate::jobs::job_key(&record.job.id));
            return None;
        };
        if record.job.kind == Kind::Service {
            self.service_cpus = self.service_cpus.max(record.job.cpus);
        }
        self.placement_due = true;
        let j = self.jobs.add(record, team, now);
        self.record_job_size(j);
        self.checkpoint_job(j, now);
        self.track_elastic_job(j);
        self.register_dependencies(j, now);
        self.enqueue_tracking(j);
        self.resolve_unrecognized_job(j, now);
        Some(j)
    }

    /// What a user may be told of a job, if it is known here.
    pub fn job_view(&self, id: &str) -> Option<JobView> {
        let ix = self.jobs.find(id)?;
        let j = &self.jobs[ix];
        // Another node may have read the final phase already, and told it: a slow answer
        // to our write once made a cancelled job "queued" again. One that is cancelled with a job
        // that it needs may be told neither as it was, long after that one's user was told, nor as
        // cancelled before that is stored. After a failover that holds until all that it needs is read.
        let open = j.phase == Phase::Open;
        if open
            && (j.end_write_sent
                || j.moving_away
                || j.cascade_cancelled_at.is_some()
                || self.waits_for_unread_dependency(ix))
        {
            return Some(JobView::Committing);
        }
        Some(JobView::Visible(j.state(), u64::from(j.done), u64::from(j.running)))
    }

    /// A user wants the job cancelled. The answer waits until that is stored.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(j) = self.jobs.find(id) else { return false };
        let job = &mut self.jobs[j];
        // On its way to another shard: that one cancels it, if it gets there.
        if job.moving_away {
            return true;
        }
        if job.desired_phase == Phase::Open {
            job.desired_phase = Phase::Cancelled;
            self.write_queue.mark_end_due(j);
            self.stop_all(j);
        }
        // Its user waits for the answer now, whatever else it is cancelled for.
        let doomed = &mut self.jobs[j].cascade_cancelled_at;
        *doomed = doomed.map(|_| f64::MIN);
        true
    }

    /// The time of day by the steady clock, in milliseconds.
    pub(crate) fn day_now_ms(&self, now: f64) -> u64 {
        (self.day_ms + now * 1000.0) as u64
    }

    /// A machine heard within this is surely still there.
    pub(crate) fn recent_heartbeat_s(&self) -> f64 {
        self.report_s * 1.6
    }

    /// How long a machine has been silent, not counting what this leader could not hear
    /// because it was not entitled to answer.
    pub(crate) fn heartbeat_age(&self, machine: &crate::fleet::Machine, now: f64) -> f64 {
        now - machine.last_heartbeat_at.max(self.resumed_at)
    }

    /// How long this machine has sent this leader no report by itself, counted in the same way.
    pub(crate) fn own_heartbeat_age(&self, machine: &crate::fleet::Machine, now: f64) -> f64 {
        now - machine.own_heartbeat_at.max(self.resumed_at)
    }

    /// Is no worker heard at all, though several should report? Of a machine that the cloud does not list
    /// nobody hears anything: after all machines had died, each leader took itself for the one that is cut off,
    /// and none stayed for long enough to rent others.
    pub fn is_partitioned_from_workers(&self, now: f64) -> bool {
        // Those that were asked because their reports are overdue say nothing, and nobody else
        // said anything just now either: that tells sooner than the last one's silence.
        let limit = if self.suspected_partition { self.report_s / 2.0 + 1.0 } else { self.report_s * 1.25 + 2.0 };
        let mut expected = 0;
        for (_, m) in self.machines.iter().filter(|(_, m)| m.phase == MachinePhase::Up) {
            expected += usize::from(!self.machine_list_read || m.listed && m.missed_listings == 0);
            if self.heartbeat_age(m, now) < limit {
                return false;
            }
        }
        expected >= 3 && now - self.began_at > self.report_s * 1.25 + 2.0
    }

    pub fn tick(&mut self, now: f64) {
        if now - self.ticked_at > LATE_TICK_S {
            self.late_tick_at = now;
        }
        if now - self.ticked_at > PROCESS_PAUSE_S {
            self.resumed_at = now;
        }
        self.ticked_at = now;
        self.update_service_levels(now);
        self.sweep(now);
        self.check_consistency(now);
        self.resize_elastic_jobs(now);
        if now - self.machines_checked_at >= MACHINE_CHECK_INTERVAL_S {
            self.machines_checked_at = now;
            self.check_machines(now);
        }
        // Time alone changes what waiting work may take.
        if self.others_waiting && now - self.placement_requested_at >= PLACEMENT_RETRY_INTERVAL_S {
            self.placement_requested_at = now;
            self.placement_due = true;
        }
        if now - self.fleet_sized_at >= 0.5 && self.types.known() {
            self.fleet_sized_at = now;
            self.size_fleet(now);
            self.compact_groups();
            self.preempt_over_quota();
            self.log_failover_stages(now);
        }
        self.place_waiting(now);
    }

    /// Places what waits, if anything changed that it could be waiting for.
    pub fn place_waiting(&mut self, now: f64) {
        if std::mem::take(&mut self.placement_due) {
            crate::shard::placement::place(self, now);
        }
    }

    /// Backed-off jobs and returning machines deserve another look now and then.
    pub fn request_placement(&mut self) {
        self.placement_due = true;
    }
}
