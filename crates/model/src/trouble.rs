//! What goes wrong, and decisions that are wrong on purpose.

use fastrand::Rng;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// What goes wrong. `which` is a controller or a machine, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A controller ends, and is back after a moment.
    Ends,
    /// It stands still while its clock runs on.
    StandsStill,
    /// It loses the state service and the other controllers, and keeps its workers.
    Alone,
    /// It loses its workers only.
    LosesWorkers,
    /// It is silent to everybody.
    Silent,
    /// The state service is down for all.
    Outage,
    /// Answers to commits are lost, and some commits come late.
    LateCommits,
    /// Direct commands are held back, and come late.
    LateCommands,
    Hangs,
    /// A machine's process ends and is back at once, with a new session.
    Restarts,
    /// A machine is gone.
    Dies,
    /// What is said to a machine does not reach it, in answers, in commands, or in either.
    DeafToAnswers,
    DeafToCommands,
    Deaf,
    /// The same for a whole zone.
    DeafZone,
    /// A zone is cut off.
    CutZone,
    /// Copies of reports come late, some after more than a lease.
    Copies,
    /// Whatever runs there fails.
    Faulty,
    /// The state service refuses a controller, which the other controllers still reach.
    RefusedByState,
    /// Transactions get no answer and are executed 2 to 12 s later, after newer ones of the same controller.
    LateWrites,
    /// Transactions are executed at once, and only their answers are lost.
    LostAnswers,
    /// The state service takes seconds for each answer.
    SlowState,
    /// A controller gives up what it owns.
    StepsDown,
    /// All controllers end; the one that is named is back within a second.
    AllEnd,
    /// All controllers end, and none is back before the time is over.
    AllAway,
    /// A controller's zone is cut off together with it.
    CutZoneWithController,
    /// Users cancel all services that run, spread over the time.
    CancelServices,

    // What machines, reports and users do: `USER_AND_MACHINE_KINDS`.
    /// A machine reaches no controller, while direct commands reach it.
    Mute,
    /// The same for a whole zone.
    MuteZone,
    /// Copies of reports are kept, and reach every controller as soon as a new leader begins.
    CopiesForNextLeader,
    /// Users cancel `which % 8 + 1` running jobs within a fifth of a second; their machines hang for `for_s`.
    CancelNow,
    /// Half of the jobs that end are cancelled within a second of the end.
    CancelAtEnd,
    /// Users ask every controller right after a job was accepted, ended or cancelled, and repeat its submission;
    /// one accepted job in four is cancelled at once.
    CloseLooks,
    /// Users submit jobs that cannot run or lack a field, cancel jobs that are done, and ask about unknown jobs.
    OddRequests,
    /// Rented machines are up within two seconds, most of them before the answer to their rental comes.
    FastBoots,
    /// Other keys of the state service change thousands of times: a leader writes its checkpoint anew.
    ManyChanges,
    /// Messages between controllers and machines take up to two seconds, and images up to twenty seconds more.
    SlowLinks,
}

pub const KINDS: [Kind; 18] = [
    Kind::Ends,
    Kind::StandsStill,
    Kind::Alone,
    Kind::LosesWorkers,
    Kind::Silent,
    Kind::Outage,
    Kind::LateCommits,
    Kind::LateCommands,
    Kind::Hangs,
    Kind::Restarts,
    Kind::Dies,
    Kind::DeafToAnswers,
    Kind::DeafToCommands,
    Kind::Deaf,
    Kind::DeafZone,
    Kind::CutZone,
    Kind::Copies,
    Kind::Faulty,
];

/// Those of controllers and of what they send to the state service.
pub const CONTROLLER_KINDS: [Kind; 9] = [
    Kind::RefusedByState,
    Kind::LateWrites,
    Kind::LostAnswers,
    Kind::SlowState,
    Kind::StepsDown,
    Kind::AllEnd,
    Kind::AllAway,
    Kind::CutZoneWithController,
    Kind::CancelServices,
];

/// As the number of a controller, `LEADER + cell`: whichever owns that cell when the trouble begins.
pub const LEADER: usize = 1_000_000;
/// As the number of a controller: the one that `LEADER` meant last.
pub const SAME_LEADER: usize = 2_000_000;

/// The kinds that concern machines, reports and users, which [`KINDS`] does not have: the storms that are played
/// with a seed would otherwise be others.
pub const USER_AND_MACHINE_KINDS: [Kind; 9] = [
    Kind::Mute,
    Kind::MuteZone,
    Kind::CopiesForNextLeader,
    Kind::CancelNow,
    Kind::CancelAtEnd,
    Kind::CloseLooks,
    Kind::OddRequests,
    Kind::FastBoots,
    Kind::SlowLinks,
];

/// One trouble: what, to whom, from when on and for how long, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    #[serde(rename = "at_s")]
    #[garde(range(min = 0.0, max = 36000.0))]
    pub at: f64,
    #[garde(skip)]
    pub kind: Kind,
    /// The number of a controller, a machine or a zone, by the kind; past the last it begins anew.
    #[serde(default)]
    #[garde(skip)]
    pub which: usize,
    /// A process that ends is back after a tenth of this.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub for_s: f64,
}

/// So many troubles of any kind while jobs are submitted.
pub(crate) fn random(seed: u64, n: usize, within_s: f64) -> Vec<Trouble> {
    // Not the draws that the world makes with this seed.
    let mut rng = Rng::with_seed(!seed);
    let mut one = || Trouble {
        at: rng.f64() * (within_s - 10.0).max(0.0),
        kind: KINDS[rng.usize(0..KINDS.len())],
        which: rng.usize(..),
        for_s: 0.2 + rng.f64() * 35.0,
    };
    (0..n).map(|_| one()).collect()
}

/// A deliberately wrong decision, by which the checks show that they see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wrong {
    /// What earlier owners' machines may hold is thought to be known at once.
    Resolved,
    /// Limits are four times what they are.
    Limits,
    /// Spot machines pass for others.
    Spot,
    /// Nothing is ever told to stop.
    Stops,
    /// A job is called done before it is.
    Done,
    /// A cancelled job is called what it was.
    Back,
    /// Questions about one job are not answered.
    Silent,
    /// Each cell may use the whole of every limit.
    Shares,
    /// An owner acts for 30 s past its lease.
    ActsPastLease,

    // What machines, reports and users see.
    /// Jobs whose number ends in 7 are never placed.
    LeavesWaiting,
    /// A machine that has hung ignores commands to stop.
    IgnoresStopsAfterHang,
    /// An owner commands starts of jobs whose cancellation was confirmed.
    StartsCancelled,
    /// Submissions are not judged before they are accepted.
    Unjudged,
    /// A field that a submission lacks is filled in.
    FillsIn,
    /// A repeated submission is always answered as if the job was new.
    RepeatedAsNew,
    /// All machines pass for ones of the same zone.
    Zones,
    /// A question about a job that nobody submitted is answered with a state.
    Invents,

    // Those that only one kind of fault reveals.
    /// A cancellation is confirmed before it is stored.
    ConfirmsUnstored,
    /// Machines execute direct commands whatever their token.
    IgnoresTokens,
    /// An owner never gives a silent machine up.
    NeverGivesUp,
    /// A machine that has not reported for some seconds passes for one whose session is over.
    TakesSilenceForEnd,
    /// Tasks whose user asked to cancel them pass for gone.
    CancelledIsGone,
    /// A copy of a report passes for the newest one.
    TakesOldReports,
    /// A task that failed passes for one that is done.
    ErrorsAreDone,
    /// A machine's new session passes for the one before, and what ran in that for what runs on.
    MissesRestarts,
    /// A machine's lease is renewed by the sending of a report, whether an answer comes or not.
    RenewsBySending,
    /// A transaction without an answer passes for one that was not executed, and what it wrote is not read.
    NeverLooksUp,
    /// A late copy of a report to an earlier owner passes for a report to this one.
    TakesOldTokens,
    /// A machine passes for empty when the answer to its rental comes.
    RentedAreEmpty,
    /// A start without an answer passes for one that never arrives.
    UnansweredNeverArrives,
    /// A running task of a job whose needs were not read yet passes for gone.
    UnreadIsOpen,
}
