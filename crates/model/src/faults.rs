//! Kinds of injected faults, and deliberately wrong decisions that prove that the checks detect them.

use fastrand::Rng;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// What goes wrong. `which` is a controller or a machine, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Kind")]
pub enum FaultKind {
    /// A controller ends, and is back after a moment.
    #[serde(rename = "ends")]
    ControllerRestarts,
    /// It stands still while its clock runs on.
    #[serde(rename = "stands_still")]
    ControllerPauses,
    /// It loses the state service and the other controllers, and keeps its workers.
    #[serde(rename = "alone")]
    ControllerLosesStateAndPeers,
    /// It loses its workers only.
    #[serde(rename = "loses_workers")]
    ControllerLosesWorkers,
    /// It is silent to everybody.
    #[serde(rename = "silent")]
    ControllerPartitioned,
    /// The state service is down for all.
    #[serde(rename = "outage")]
    StateServiceOutage,
    /// Answers to commits are lost, and some commits come late.
    #[serde(rename = "late_commits")]
    UnreliableCommits,
    /// Direct commands are held back, and come late.
    #[serde(rename = "late_commands")]
    CommandsDelayed,
    #[serde(rename = "hangs")]
    MachineHangs,
    /// A machine's process ends and is back at once, with a new session.
    #[serde(rename = "restarts")]
    MachineRestarts,
    /// A machine is gone.
    #[serde(rename = "dies")]
    MachineDies,
    /// What is said to a machine does not reach it, in answers, in commands, or in either.
    #[serde(rename = "deaf_to_answers")]
    HeartbeatRepliesLost,
    #[serde(rename = "deaf_to_commands")]
    CommandsLost,
    #[serde(rename = "deaf")]
    RepliesAndCommandsLost,
    /// The same for a whole zone.
    #[serde(rename = "deaf_zone")]
    ZoneRepliesAndCommandsLost,
    /// A zone is cut off.
    #[serde(rename = "cut_zone")]
    ZonePartitioned,
    /// Copies of reports come late, some after more than a lease.
    #[serde(rename = "copies")]
    HeartbeatsDuplicated,
    /// Whatever runs there fails.
    #[serde(rename = "faulty")]
    TasksFail,
    /// The state service refuses a controller, which the other controllers still reach.
    #[serde(rename = "refused_by_state")]
    StateServiceRefuses,
    /// Transactions get no answer and are executed 2 to 12 s later, after newer ones of the same controller.
    #[serde(rename = "late_writes")]
    WritesDelayed,
    /// Transactions are executed at once, and only their answers are lost.
    #[serde(rename = "lost_answers")]
    WriteResponsesLost,
    /// The state service takes seconds for each answer.
    #[serde(rename = "slow_state")]
    SlowStateService,
    /// A controller gives up what it owns.
    #[serde(rename = "steps_down")]
    LeaderStepsDown,
    /// All controllers end; the one that is named is back within a second.
    #[serde(rename = "all_end")]
    AllControllersRestart,
    /// All controllers end, and none is back before the time is over.
    #[serde(rename = "all_away")]
    AllControllersDown,
    /// A controller's zone is cut off together with it.
    #[serde(rename = "cut_zone_with_controller")]
    ZoneAndControllerPartitioned,
    /// Users cancel all services that run, spread over the time.
    CancelServices,

    // Faults of machines, heartbeats and users: `USER_AND_MACHINE_FAULT_KINDS`.
    /// A machine reaches no controller, while direct commands reach it.
    #[serde(rename = "mute")]
    HeartbeatsLost,
    /// The same for a whole zone.
    #[serde(rename = "mute_zone")]
    ZoneHeartbeatsLost,
    /// Copies of reports are kept, and reach every controller as soon as a new leader begins.
    #[serde(rename = "copies_for_next_leader")]
    HeartbeatCopiesForNextLeader,
    /// Users cancel `which % 8 + 1` running jobs within a fifth of a second; their machines hang for `for_s`.
    #[serde(rename = "cancel_now")]
    CancelRunningJobs,
    /// Half of the jobs that end are cancelled within a second of the end.
    #[serde(rename = "cancel_at_end")]
    CancelEndingJobs,
    /// Users ask every controller right after a job was accepted, ended or cancelled, and repeat its submission;
    /// one accepted job in four is cancelled at once.
    #[serde(rename = "close_looks")]
    PollAfterEvents,
    /// Users submit jobs that cannot run or lack a field, cancel jobs that are done, and ask about unknown jobs.
    #[serde(rename = "odd_requests")]
    InvalidRequests,
    /// Rented machines are up within two seconds, most of them before the answer to their rental comes.
    FastBoots,
    /// Other keys of the state service change thousands of times: a leader writes its checkpoint anew.
    #[serde(rename = "many_changes")]
    ManyStateChanges,
    /// Messages between controllers and machines take up to two seconds, and images up to twenty seconds more.
    #[serde(rename = "slow_links")]
    SlowNetwork,

    // Faults of repeated messages: `REPEATED_MESSAGE_FAULT_KINDS`.
    /// Direct commands with starts that were executed and answered arrive once more, a tenth of a second to over a
    /// lease later.
    #[serde(rename = "repeated_commands")]
    CommandsRepeated,
}

/// Kinds from which random faults are drawn. The list and its order stay as they are, because a seed selects from it.
pub const FAULT_KINDS: [FaultKind; 18] = [
    FaultKind::ControllerRestarts,
    FaultKind::ControllerPauses,
    FaultKind::ControllerLosesStateAndPeers,
    FaultKind::ControllerLosesWorkers,
    FaultKind::ControllerPartitioned,
    FaultKind::StateServiceOutage,
    FaultKind::UnreliableCommits,
    FaultKind::CommandsDelayed,
    FaultKind::MachineHangs,
    FaultKind::MachineRestarts,
    FaultKind::MachineDies,
    FaultKind::HeartbeatRepliesLost,
    FaultKind::CommandsLost,
    FaultKind::RepliesAndCommandsLost,
    FaultKind::ZoneRepliesAndCommandsLost,
    FaultKind::ZonePartitioned,
    FaultKind::HeartbeatsDuplicated,
    FaultKind::TasksFail,
];

/// Kinds of faults of controllers and of their requests to the state service.
pub const CONTROLLER_FAULT_KINDS: [FaultKind; 9] = [
    FaultKind::StateServiceRefuses,
    FaultKind::WritesDelayed,
    FaultKind::WriteResponsesLost,
    FaultKind::SlowStateService,
    FaultKind::LeaderStepsDown,
    FaultKind::AllControllersRestart,
    FaultKind::AllControllersDown,
    FaultKind::ZoneAndControllerPartitioned,
    FaultKind::CancelServices,
];

/// Value of [`InjectedFault::which`]: `LEADER + shard` stands for the leader of that shard when the fault begins.
pub const LEADER: usize = 1_000_000;
/// Value of [`InjectedFault::which`]: the controller that `LEADER` stood for in the last fault that used it.
pub const SAME_LEADER: usize = 2_000_000;

/// Kinds of faults of machines, heartbeats and users. They are not in [`FAULT_KINDS`], because a longer list would
/// change the random faults of every seed.
pub const USER_AND_MACHINE_FAULT_KINDS: [FaultKind; 9] = [
    FaultKind::HeartbeatsLost,
    FaultKind::ZoneHeartbeatsLost,
    FaultKind::HeartbeatCopiesForNextLeader,
    FaultKind::CancelRunningJobs,
    FaultKind::CancelEndingJobs,
    FaultKind::PollAfterEvents,
    FaultKind::InvalidRequests,
    FaultKind::FastBoots,
    FaultKind::SlowNetwork,
];

/// Kinds of faults by which a request that was executed and answered arrives again. They are in a list of their own for
/// the same reason.
pub const REPEATED_MESSAGE_FAULT_KINDS: [FaultKind; 1] = [FaultKind::CommandsRepeated];

/// One trouble: what, to whom, from when on and for how long, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Trouble")]
pub struct InjectedFault {
    #[serde(rename = "at_s")]
    #[garde(range(min = 0.0, max = 36000.0))]
    pub at: f64,
    #[garde(skip)]
    pub kind: FaultKind,
    /// The number of a controller, a machine or a zone, by the kind; past the last it begins anew.
    #[serde(default)]
    #[garde(skip)]
    pub which: usize,
    /// A process that ends is back after a tenth of this.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub for_s: f64,
}

/// Draws `count` random faults of [`FAULT_KINDS`] that begin while jobs are submitted.
pub(crate) fn random_faults(seed: u64, count: usize, within_s: f64) -> Vec<InjectedFault> {
    // A different random sequence than that of the simulated cluster with this seed.
    let mut rng = Rng::with_seed(!seed);
    let mut one = || InjectedFault {
        at: rng.f64() * (within_s - 10.0).max(0.0),
        kind: FAULT_KINDS[rng.usize(0..FAULT_KINDS.len())],
        which: rng.usize(..),
        for_s: 0.2 + rng.f64() * 35.0,
    };
    (0..count).map(|_| one()).collect()
}

/// A deliberately wrong decision. Tests prove with it that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WrongDecision {
    /// A new leader takes the machines for reconciled at once, whatever may run on them.
    SkipsReconciliation,
    /// The limits of teams are raised to four times their values.
    RaisesLimits,
    /// Spot machines are taken for on-demand machines.
    TreatsSpotAsOnDemand,
    /// Machines ignore all stop commands.
    IgnoresStops,
    /// A running job is reported as done.
    ReportsDoneEarly,
    /// A cancelled job is reported as running afterwards.
    ReportsCancelledAsRunning,
    /// Polls of jobs whose number ends in 3 are not answered.
    LeavesPollsUnanswered,
    /// Each shard uses the whole limit of every team.
    IgnoresLimitShares,
    /// A leader acts for 30 s past its lease.
    ActsPastLease,

    // Decisions detected by what machines and users observe.
    /// Jobs whose number ends in 7 are never placed.
    NeverPlacesSomeJobs,
    /// A machine that was hanging ignores stop commands.
    IgnoresStopsAfterHang,
    /// A leader sends start commands for a job whose cancellation was confirmed.
    StartsCancelledJobs,
    /// Submissions are accepted without the admission check.
    SkipsAdmissionCheck,
    /// Missing fields of a submission are filled in.
    FillsInMissingFields,
    /// A repeated submission is always answered as if the job were new.
    AnswersResubmissionAsNew,
    /// All machines are taken for machines of the same zone.
    TreatsZonesAsOne,
    /// A poll of a job that was never submitted is answered with a state.
    InventsUnknownJobs,

    // Decisions detected only with one kind of fault.
    /// A cancellation is confirmed before it is stored.
    ConfirmsUnstoredCancellation,
    /// Machines execute pushed commands with any fencing token.
    IgnoresFencingTokens,
    /// A leader never declares a machine lost.
    NeverDeclaresMachinesLost,
    /// The incarnation of a machine is taken to be over after some seconds without a heartbeat.
    TreatsSilenceAsIncarnationEnd,
    /// Tasks are taken for gone once a user has requested their cancellation.
    TreatsCancelledTasksAsGone,
    /// A duplicated heartbeat is taken for the newest one.
    AcceptsStaleHeartbeats,
    /// A failed task is reported as done.
    ReportsErrorsAsDone,
    /// A machine's new incarnation is taken for the previous one, with its tasks still running.
    MissesMachineRestarts,
    /// A machine renews its lease when it sends a heartbeat, whether it gets a reply or not.
    RenewsLeaseBySending,
    /// A transaction without a response is taken for not executed, and the keys that it wrote are not read.
    NeverReadsInDoubtWrites,
    /// A duplicate of a heartbeat to an earlier leader is taken for a heartbeat to this one.
    AcceptsStaleTokens,
    /// A machine is taken for empty when the response to its rental arrives.
    TreatsRentedAsEmpty,
    /// A start command without a response is taken for one that never arrives.
    TreatsUnansweredStartsAsLost,
    /// Running tasks of a job are taken for gone while its dependencies have not been read.
    TreatsUnreadDependenciesAsOpen,
    /// Machines forget ended attempts without having seen a newer fencing token than that of their starts.
    ForgetsUnfencedAttempts,
}
