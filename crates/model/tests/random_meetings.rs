//! Two to four troubles within seconds of one another, around a change of leader, by seeds.
//! `MEETINGS=2000 cargo test --release -p lupinspur-model --test random_meetings` plays more of them, from
//! `MEETING_SEED` on, over `MEETING_CELLS` cells.

use fastrand::Rng;
use lupinspur_model::{CONTROLLER_KINDS, KINDS, Kind, OWNER, SAME_OWNER, Scenario, Trouble, play};
use std::sync::atomic::{AtomicU64, Ordering};

/// Meetings over one cell and over three that are played unless more are asked for.
const MEETINGS: u64 = 16;
/// The troubles of a meeting begin within this.
const WITHIN_S: f64 = 6.0;
const FIRST_AT_S: f64 = 15.0;
const LAST_AT_S: f64 = 40.0;
const LONGEST_S: f64 = 55.0;

/// By which a leader changes.
const CHANGES: [Kind; 7] = [
    Kind::Ends,
    Kind::StepsDown,
    Kind::RefusedByState,
    Kind::Alone,
    Kind::StandsStill,
    Kind::AllEnd,
    Kind::CutZoneWithController,
];

fn from_env(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise)
}

/// A change of leader, cancellations and one to three other troubles, all within seconds.
fn meeting(seed: u64, cells: u32) -> Vec<Trouble> {
    let mut rng = Rng::with_seed(seed);
    let begins = FIRST_AT_S + rng.f64() * (LAST_AT_S - FIRST_AT_S);
    let kinds: Vec<Kind> = KINDS.into_iter().chain(CONTROLLER_KINDS).collect();
    let leader = OWNER + rng.usize(0..cells as usize);
    let change = Trouble {
        at: begins + rng.f64() * WITHIN_S,
        kind: CHANGES[rng.usize(0..CHANGES.len())],
        which: leader,
        for_s: 0.2 + rng.f64() * LONGEST_S,
    };
    let cancels =
        Trouble { at: begins + rng.f64() * WITHIN_S, kind: Kind::CancelServices, which: 0, for_s: rng.f64() * 5.0 };
    let mut troubles = vec![change, cancels];
    for _ in 0..rng.usize(1..4) {
        let which = match rng.u8(0..4) {
            0 => leader,
            1 => SAME_OWNER,
            _ => rng.usize(0..64),
        };
        troubles.push(Trouble {
            at: begins + rng.f64() * WITHIN_S,
            kind: kinds[rng.usize(0..kinds.len())],
            which,
            for_s: 0.2 + rng.f64() * LONGEST_S,
        });
    }
    troubles
}

/// What was broken in these meetings, with its troubles.
fn broken(cells: u32, first: u64, meetings: u64) -> Vec<String> {
    let scenario = Scenario { cells, most_machines: if cells > 1 { 24 } else { 80 }, ..Scenario::default() };
    let next = AtomicU64::new(first);
    let play_some = || {
        let mut broken = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + meetings {
                return broken;
            }
            let troubles = meeting(seed, cells);
            if let Some(what) = play(&scenario, seed, &troubles, None).broken {
                broken.push(format!("{cells} cells, seed {seed}: {what}; {troubles:?}"));
            }
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    std::thread::scope(|s| {
        let all: Vec<_> = (0..threads).map(|_| s.spawn(play_some)).collect();
        all.into_iter().flat_map(|t| t.join().expect("played")).collect()
    })
}

fn no_meeting_breaks_a_rule(cells: u32) {
    let meetings = from_env("MEETINGS", MEETINGS);
    let broken = broken(cells, from_env("MEETING_SEED", 1), meetings);
    println!("{meetings} meetings over {cells} cells");
    assert!(broken.is_empty(), "{} of {meetings}: {broken:#?}", broken.len());
}

#[test]
fn no_meeting_breaks_a_rule_over_one_cell() {
    no_meeting_breaks_a_rule(1);
}

#[test]
fn no_meeting_breaks_a_rule_over_cells() {
    no_meeting_breaks_a_rule(from_env("MEETING_CELLS", 3) as u32);
}
