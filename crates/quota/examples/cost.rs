//! What one decision costs in trees of 10, 1,000 and 10,000 teams, measured in one run, with
//! the distributions of nanoseconds; and how much the ratios are.
//!
//!     cargo run --release -p lupinspur-quota --example cost

use hdrhistogram::Histogram;
use lupinspur_quota::{Amount, BorrowedTask, Ledger, Plan, TeamIndex, TeamLimits, Tree};
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: u32 = 200_000;

/// Teams by tens below wards, wards by tens below trusts.
fn ledger(teams: usize) -> Ledger {
    let name = |i: usize| format!("t{i}");
    let mut text = "generation = 1\n".to_owned();
    for w in 0..teams.div_ceil(10) {
        let below: Vec<String> = (w * 10..((w + 1) * 10).min(teams)).map(name).collect();
        text += &format!("[[organisation]]\nname = \"w{w}\"\nwithin = \"o{}\"\nteams = {below:?}\n", w / 10);
    }
    for o in 0..teams.div_ceil(100) {
        text += &format!("[[organisation]]\nname = \"o{o}\"\ncpus_max = 100000.0\n");
    }
    let limits = |i: usize| TeamLimits { name: name(i), guarantee: Amount::new(10.0, 0.0), limit: Amount::NONE };
    let all: Vec<TeamLimits> = (0..teams).map(limits).collect();
    Ledger::new(Tree::of(&Plan::parse(&text).expect("TOML"), &all).expect("a tree").0)
}

fn main() {
    let mut first = None;
    for teams in [10usize, 1_000, 10_000] {
        let mut l = ledger(teams);
        let mut h = Histogram::<u64>::new(3).expect("a histogram");
        let need = Amount::new(1.0, 0.0);
        for i in 0..ROUNDS {
            let t = TeamIndex(i.wrapping_mul(2_654_435_761) % teams as u32);
            let began = Instant::now();
            let may = black_box(l.may_start(t, need)).is_ok();
            black_box(l.standing(t, need));
            if may {
                l.count(t, need);
                l.count(t, need.times(-1.0));
            }
            h.saturating_record(began.elapsed().as_nanos() as u64);
        }
        let (p50, p99) = (h.value_at_quantile(0.5), h.value_at_quantile(0.99));
        let base = *first.get_or_insert(p50.max(1));
        println!(
            "{teams:>6} teams: a start and an end p50 {p50} ns, p99 {p99} ns, {:.2} times that of 10",
            p50 as f64 / base as f64
        );
        // A parent that shrinks: every team holds a task, and half of it all has to go.
        let held: Vec<BorrowedTask<u32>> = (0..teams as u32)
            .map(|t| BorrowedTask {
                task: t,
                team: TeamIndex(t),
                need,
                loses: f64::from(t % 7),
                service: t % 5 == 0,
                priority: 2,
            })
            .collect();
        held.iter().for_each(|h| l.count(h.team, h.need));
        let mut tree = l.tree().clone();
        tree.levels[0].limit = Amount::new(teams as f64 / 2.0, 0.0);
        l.change(tree);
        let began = Instant::now();
        let gone = l.give_way(&held, &[]).len();
        println!(
            "{:>13} half of {teams} tasks chosen to give way ({gone}) in {:.2} ms",
            "",
            began.elapsed().as_secs_f64() * 1e3
        );
    }
}
