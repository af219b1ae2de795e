//! Which faults come when, by a seed.

use fastrand::Rng;
use std::fmt;
use std::time::Duration;

/// Where a machine's messages fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineFault {
    Hangs,
    /// Answers and commands to it are lost.
    Deaf,
    DeafToCommands,
    /// Its reports reach nobody.
    Mute,
    AnswersBreak,
    /// It reaches the leader of this moment no more.
    CutFromLeader,
    /// Commands are carried out late and never answered.
    LateCommands(Duration),
    /// Starts are held up, and arrive at the end of the fault.
    StartsHeldUp,
    StartsUnanswered,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    LeaderEnds,
    AnotherEnds,
    AllEnd,
    LeaderStandsStill,
    AllStandStill,
    LeaderRefused,
    LeaderCutFromPeers,
    Outage,
    SlowRequests(Duration),
    LateTransactions {
        one_in: usize,
        by: Duration,
    },
    LostAnswers {
        one_in: usize,
    },
    /// Other keys change thousands of times: the leader writes its checkpoint anew.
    ManyChanges,
    /// Reads of single records of jobs take so long: a new leader does not learn of needs that ended long ago.
    JobReadsHeld,
    Machines {
        fault: MachineFault,
        share: f64,
    },
}

/// A fault, and when it begins and ends.
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

/// Between the beginnings of two faults. They last longer, so that two or three overlap.
const NEXT_AFTER_S: (f64, f64) = (0.4, 3.0);
const LASTS_S: (f64, f64) = (1.0, 9.0);
/// What ends comes back at once.
const BACK_AFTER: Duration = Duration::from_millis(50);
/// Of so many of these ends some machines can't be heard by the next leader for a while.
const OUT_OF_REACH_SHARE: f64 = 0.7;
/// Leaders end in quick series, or after a calm, in which they write a checkpoint: not in their first five seconds.
const NEXT_END_AFTER_S: (f64, f64) = (3.0, 7.0);
const CALM_S: (f64, f64) = (8.0, 10.0);
/// The checkpoint is written so long before the end, and needs of jobs are read only a while after the failover.
const CHECKPOINT_BEFORE_S: f64 = 2.0;
const TAKEN_OVER_AFTER_S: f64 = 1.5;
const READS_HELD_S: (f64, f64) = (0.5, 2.5);
/// About when the next leader has heard the machines, some of them hear nothing any more.
const HEARD_AFTER_S: (f64, f64) = (1.6, 2.4);
const HEAR_NOTHING_S: (f64, f64) = (2.0, 4.0);

fn between(rng: &mut Rng, (from, to): (f64, f64)) -> f64 {
    from + rng.f64() * (to - from)
}

fn machine_fault(rng: &mut Rng) -> MachineFault {
    match rng.u32(0..9) {
        0 => MachineFault::Hangs,
        1 => MachineFault::Deaf,
        2 => MachineFault::DeafToCommands,
        3 => MachineFault::Mute,
        4 => MachineFault::AnswersBreak,
        5 => MachineFault::CutFromLeader,
        6 => MachineFault::StartsHeldUp,
        7 => MachineFault::StartsUnanswered,
        _ => MachineFault::LateCommands(Duration::from_secs_f64(between(rng, (0.5, 6.0)))),
    }
}

fn kind(rng: &mut Rng) -> Kind {
    match rng.u32(0..20) {
        0 | 1 => Kind::LeaderEnds,
        2 => Kind::AnotherEnds,
        3 => Kind::AllEnd,
        4 | 5 => Kind::LeaderStandsStill,
        6 => Kind::AllStandStill,
        7 => Kind::LeaderRefused,
        8 => Kind::LeaderCutFromPeers,
        9 => Kind::Outage,
        10 => Kind::SlowRequests(Duration::from_millis(rng.u64(20..300))),
        11 => Kind::LateTransactions { one_in: rng.usize(2..6), by: Duration::from_secs_f64(between(rng, (1.0, 7.0))) },
        12 => Kind::LostAnswers { one_in: rng.usize(2..6) },
        _ => Kind::Machines { fault: machine_fault(rng), share: between(rng, (0.1, 0.7)) },
    }
}

/// What a change of leader meets: starts that are on their way, and machines that the next leader cannot hear.
fn around_an_end(rng: &mut Rng, ends_at: f64, after_calm: bool, faults: &mut Vec<Fault>) {
    let mut add = |at: f64, lasts: f64, kind: Kind| {
        let (at, lasts) = (Duration::from_secs_f64(at.max(0.1)), Duration::from_secs_f64(lasts));
        faults.push(Fault { at, lasts, kind });
    };
    let fault = MachineFault::LateCommands(Duration::from_secs_f64(between(rng, (0.5, 4.0))));
    add(ends_at - 2.0, between(rng, (2.0, 4.0)), Kind::Machines { fault, share: 0.8 });
    if after_calm {
        add(ends_at - CHECKPOINT_BEFORE_S, 0.0, Kind::ManyChanges);
        add(ends_at, between(rng, READS_HELD_S) + TAKEN_OVER_AFTER_S, Kind::JobReadsHeld);
        let (heard, lasts) = (between(rng, HEARD_AFTER_S), between(rng, HEAR_NOTHING_S));
        for fault in [MachineFault::AnswersBreak, MachineFault::DeafToCommands] {
            add(ends_at + heard, lasts, Kind::Machines { fault, share: 0.8 });
        }
    }
    if rng.f64() < OUT_OF_REACH_SHARE {
        let lasts = between(rng, (2.0, 7.0));
        for fault in [MachineFault::Mute, MachineFault::DeafToCommands] {
            add(ends_at - 0.3, lasts, Kind::Machines { fault, share: 0.7 });
        }
    }
    add(ends_at, BACK_AFTER.as_secs_f64(), Kind::LeaderEnds);
}

/// The faults of this seed, in the order of their beginnings.
pub fn plan(seed: u64, seconds: u64) -> Vec<Fault> {
    let mut rng = Rng::with_seed(seed);
    let end = seconds as f64;
    let mut faults = Vec::new();
    let mut at = 0.5;
    while at < end {
        let kind = kind(&mut rng);
        let ends_at_once = matches!(kind, Kind::LeaderEnds | Kind::AnotherEnds | Kind::AllEnd);
        let lasts = if ends_at_once { BACK_AFTER } else { Duration::from_secs_f64(between(&mut rng, LASTS_S)) };
        faults.push(Fault { at: Duration::from_secs_f64(at), lasts, kind });
        at += between(&mut rng, NEXT_AFTER_S);
    }
    let (mut ends_at, mut after_calm) = (between(&mut rng, CALM_S), true);
    while ends_at < end {
        around_an_end(&mut rng, ends_at, after_calm, &mut faults);
        after_calm = rng.bool();
        ends_at += between(&mut rng, if after_calm { CALM_S } else { NEXT_END_AFTER_S });
    }
    faults.sort_by_key(|f| f.at);
    faults
}
