//! Measures the latency of one quota decision in trees of 10, 1,000 and 10,000 teams. Prints
//! the median and 99th percentile in nanoseconds, and the ratio of each median to that of 10 teams.
//!
//!     cargo run --release -p lupinspur-quota --example cost

use hdrhistogram::Histogram;
use lupinspur_quota::{Amount, BorrowedTask, Ledger, Plan, TeamIndex, TeamLimits, Tree};
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: u32 = 200_000;

/// Builds a tree of three levels: ten teams in each ward, ten wards in each trust.
fn ledger(teams: usize) -> Ledger {
    let name = |i: usize| format!("t{i}");
    let mut text = "generation = 1\n".to_owned();
    for ward in 0..teams.div_ceil(10) {
        let below: Vec<String> = (ward * 10..((ward + 1) * 10).min(teams)).map(name).collect();
        text += &format!("[[organisation]]\nname = \"w{ward}\"\nwithin = \"o{}\"\nteams = {below:?}\n", ward / 10);
    }
    for trust in 0..teams.div_ceil(100) {
        text += &format!("[[organisation]]\nname = \"o{trust}\"\ncpus_max = 100000.0\n");
    }
    let limits = |i: usize| TeamLimits { name: name(i), guarantee: Amount::new(10.0, 0.0), limit: Amount::NONE };
    let all: Vec<TeamLimits> = (0..teams).map(limits).collect();
    Ledger::new(Tree::of(&Plan::parse(&text).expect("TOML"), &all).expect("a tree").0)
}

fn main() {
    let mut smallest_tree_p50 = None;
    for teams in [10usize, 1_000, 10_000] {
        let mut ledger = ledger(teams);
        let mut latency_ns = Histogram::<u64>::new(3).expect("a histogram");
        let need = Amount::new(1.0, 0.0);
        for i in 0..ROUNDS {
            let team = TeamIndex(i.wrapping_mul(2_654_435_761) % teams as u32);
            let started_at = Instant::now();
            let may = black_box(ledger.may_start(team, need)).is_ok();
            black_box(ledger.fair_share_position(team, need));
            if may {
                ledger.add_usage(team, need);
                ledger.add_usage(team, need.times(-1.0));
            }
            latency_ns.saturating_record(started_at.elapsed().as_nanos() as u64);
        }
        let (p50, p99) = (latency_ns.value_at_quantile(0.5), latency_ns.value_at_quantile(0.99));
        let base = *smallest_tree_p50.get_or_insert(p50.max(1));
        println!(
            "{teams:>6} teams: one start and one end take p50 {p50} ns, p99 {p99} ns; p50 is {:.2} times that of 10 teams",
            p50 as f64 / base as f64
        );
        // The root limit drops to half of what is in use, so half of the tasks must be preempted.
        let held: Vec<BorrowedTask<u32>> = (0..teams as u32)
            .map(|t| BorrowedTask {
                task: t,
                team: TeamIndex(t),
                need,
                lost_work_s: f64::from(t % 7),
                service: t % 5 == 0,
                priority: 2,
            })
            .collect();
        held.iter().for_each(|task| ledger.add_usage(task.team, task.need));
        let mut tree = ledger.tree().clone();
        tree.levels[0].limit = Amount::new(teams as f64 / 2.0, 0.0);
        ledger.replace_tree(tree);
        let started_at = Instant::now();
        let preempted = ledger.preempt_over_limit(&held, &[]).len();
        println!(
            "{:>13} {preempted} of {teams} tasks selected for preemption in {:.2} ms",
            "",
            started_at.elapsed().as_secs_f64() * 1e3
        );
    }
}
