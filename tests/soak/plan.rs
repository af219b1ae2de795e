//! Generates the schedule of faults from a seed.

use fastrand::Rng;
use std::fmt;
use std::time::Duration;

/// A fault in the messages between a machine and the controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineFault {
    Hangs,
    /// Replies to the machine's heartbeats and commands to it are lost.
    RepliesAndCommandsLost,
    CommandsLost,
    /// The machine's heartbeats are lost.
    HeartbeatsLost,
    RepliesCutShort,
    /// The machine can't reach the controller that leads when the fault begins.
    CutFromLeader,
    /// Commands are executed late and never answered.
    LateCommands(Duration),
    /// Start commands are delayed and arrive when the fault ends.
    StartsDelayed,
    StartsUnanswered,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    LeaderKilled,
    FollowerKilled,
    AllKilled,
    LeaderSuspended,
    AllSuspended,
    LeaderRefused,
    LeaderCutFromPeers,
    Outage,
    SlowRequests(Duration),
    LateTransactions {
        one_in: usize,
        by: Duration,
    },
    LostResponses {
        one_in: usize,
    },
    /// The revision advances by thousands, so that the leader writes a new checkpoint.
    ManyChanges,
    /// Reads of single job records are held: a new leader can't learn of dependencies that ended long ago.
    JobReadsHeld,
    Machines {
        fault: MachineFault,
        share: f64,
    },
}

/// A fault with its start time and duration.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at: Duration,
    pub lasts: Duration,
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:5.1} s for {:4.1} s: {:?}", self.at.as_secs_f64(), self.lasts.as_secs_f64(), self.kind)
    }
}

/// Time between the starts of two faults. Faults last longer than that, so that two or three overlap.
const START_INTERVAL_S: (f64, f64) = (0.4, 3.0);
/// Duration of a fault.
const DURATION_S: (f64, f64) = (1.0, 9.0);
/// A killed controller is restarted after this time.
const RESTART_AFTER: Duration = Duration::from_millis(50);
/// Share of the killed leaders after which the next leader receives no heartbeats from some machines for a while.
const UNREACHABLE_SHARE: f64 = 0.7;
/// Leaders are killed either in quick succession or after a calm period. A leader writes no checkpoint in its first
/// five seconds, so a calm period is long enough for one.
const KILL_INTERVAL_S: (f64, f64) = (3.0, 7.0);
const CALM_S: (f64, f64) = (8.0, 10.0);
/// The checkpoint is triggered this long before the leader is killed. Dependencies of jobs can be read only some time
/// (`READS_HELD_S`) after the failover, which itself takes `FAILOVER_S`.
const CHECKPOINT_BEFORE_S: f64 = 2.0;
const FAILOVER_S: f64 = 1.5;
const READS_HELD_S: (f64, f64) = (0.5, 2.5);
/// About when the next leader has received the heartbeats of the machines, replies and commands to some of them are
/// lost, for `UNREACHABLE_S`.
const HEARTBEATS_RECEIVED_AFTER_S: (f64, f64) = (1.6, 2.4);
const UNREACHABLE_S: (f64, f64) = (2.0, 4.0);

fn between(rng: &mut Rng, (from, to): (f64, f64)) -> f64 {
    from + rng.f64() * (to - from)
}

fn machine_fault(rng: &mut Rng) -> MachineFault {
    match rng.u32(0..9) {
        0 => MachineFault::Hangs,
        1 => MachineFault::RepliesAndCommandsLost,
        2 => MachineFault::CommandsLost,
        3 => MachineFault::HeartbeatsLost,
        4 => MachineFault::RepliesCutShort,
        5 => MachineFault::CutFromLeader,
        6 => MachineFault::StartsDelayed,
        7 => MachineFault::StartsUnanswered,
        _ => MachineFault::LateCommands(Duration::from_secs_f64(between(rng, (0.5, 6.0)))),
    }
}

fn kind(rng: &mut Rng) -> Kind {
    match rng.u32(0..20) {
        0 | 1 => Kind::LeaderKilled,
        2 => Kind::FollowerKilled,
        3 => Kind::AllKilled,
        4 | 5 => Kind::LeaderSuspended,
        6 => Kind::AllSuspended,
        7 => Kind::LeaderRefused,
        8 => Kind::LeaderCutFromPeers,
        9 => Kind::Outage,
        10 => Kind::SlowRequests(Duration::from_millis(rng.u64(20..300))),
        11 => Kind::LateTransactions { one_in: rng.usize(2..6), by: Duration::from_secs_f64(between(rng, (1.0, 7.0))) },
        12 => Kind::LostResponses { one_in: rng.usize(2..6) },
        _ => Kind::Machines { fault: machine_fault(rng), share: between(rng, (0.1, 0.7)) },
    }
}

/// Adds the faults around the kill of a leader: start commands in flight, and machines whose heartbeats the next leader
/// doesn't receive.
fn add_leader_kill(rng: &mut Rng, kill_at: f64, after_calm: bool, faults: &mut Vec<Fault>) {
    let mut add = |at: f64, lasts: f64, kind: Kind| {
        let (at, lasts) = (Duration::from_secs_f64(at.max(0.1)), Duration::from_secs_f64(lasts));
        faults.push(Fault { at, lasts, kind });
    };
    let fault = MachineFault::LateCommands(Duration::from_secs_f64(between(rng, (0.5, 4.0))));
    add(kill_at - 2.0, between(rng, (2.0, 4.0)), Kind::Machines { fault, share: 0.8 });
    if after_calm {
        add(kill_at - CHECKPOINT_BEFORE_S, 0.0, Kind::ManyChanges);
        add(kill_at, between(rng, READS_HELD_S) + FAILOVER_S, Kind::JobReadsHeld);
        let (received_after, lasts) = (between(rng, HEARTBEATS_RECEIVED_AFTER_S), between(rng, UNREACHABLE_S));
        for fault in [MachineFault::RepliesCutShort, MachineFault::CommandsLost] {
            add(kill_at + received_after, lasts, Kind::Machines { fault, share: 0.8 });
        }
    }
    if rng.f64() < UNREACHABLE_SHARE {
        let lasts = between(rng, (2.0, 7.0));
        for fault in [MachineFault::HeartbeatsLost, MachineFault::CommandsLost] {
            add(kill_at - 0.3, lasts, Kind::Machines { fault, share: 0.7 });
        }
    }
    add(kill_at, RESTART_AFTER.as_secs_f64(), Kind::LeaderKilled);
}

/// Returns the faults of a seed, ordered by start time.
pub fn plan(seed: u64, seconds: u64) -> Vec<Fault> {
    let mut rng = Rng::with_seed(seed);
    let end_s = seconds as f64;
    let mut faults = Vec::new();
    let mut at = 0.5;
    while at < end_s {
        let kind = kind(&mut rng);
        let ends_at_once = matches!(kind, Kind::LeaderKilled | Kind::FollowerKilled | Kind::AllKilled);
        let lasts = if ends_at_once { RESTART_AFTER } else { Duration::from_secs_f64(between(&mut rng, DURATION_S)) };
        faults.push(Fault { at: Duration::from_secs_f64(at), lasts, kind });
        at += between(&mut rng, START_INTERVAL_S);
    }
    let (mut kill_at, mut after_calm) = (between(&mut rng, CALM_S), true);
    while kill_at < end_s {
        add_leader_kill(&mut rng, kill_at, after_calm, &mut faults);
        after_calm = rng.bool();
        kill_at += between(&mut rng, if after_calm { CALM_S } else { KILL_INTERVAL_S });
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}
