//! Bounds the time that lending a guarantee and returning it take without preemption: a simulated
//! cluster of fixed capacity, tasks that end by themselves, and starts in the ledger's fair-share order.

use hdrhistogram::Histogram;
use lupinspur_quota::{Amount, Ledger, Plan, TeamIndex, TeamLimits, Tree};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const CPUS: usize = 60;
const ONE: Amount = Amount { cpus: 1.0, gpus: 0.0 };
const A: TeamIndex = TeamIndex(0);
const B: TeamIndex = TeamIndex(1);
const C: TeamIndex = TeamIndex(2);

/// a and b are siblings, c belongs to another organisation; each is guaranteed a third of the cpus.
fn ledger() -> Ledger {
    let text = "generation = 1\n[[organisation]]\nname = \"north\"\nteams = [\"a\", \"b\"]\n\
                [[organisation]]\nname = \"south\"\nteams = [\"c\"]\n";
    let team = |n: &str| TeamLimits { name: n.into(), guarantee: Amount::new(20.0, 0.0), limit: Amount::NONE };
    let plan = Plan::parse(text).expect("TOML");
    Ledger::new(Tree::of(&plan, &["a", "b", "c"].map(team)).expect("a tree").0)
}

/// A simulated cluster of `CPUS` cpus; every task uses one.
struct Cluster {
    ledger: Ledger,
    /// The end time, in tenths of a second, and the team of each running task.
    running: Vec<(u64, TeamIndex)>,
    /// Task durations in tenths of a second, used in turn.
    lengths: Vec<u64>,
    started: usize,
}

impl Cluster {
    /// Starts tasks of the teams that ask, in fair-share order, until no cpu is free.
    fn place(&mut self, now: u64, asking: &[TeamIndex]) {
        while self.running.len() < CPUS {
            let position = |t: &TeamIndex| self.ledger.fair_share_position(*t, ONE);
            let first = asking.iter().min_by(|a, b| position(a).partial_cmp(&position(b)).expect("numbers"));
            let Some(&team) = first else { return };
            self.ledger.add_usage(team, ONE);
            self.running.push((now + self.lengths[self.started % self.lengths.len()], team));
            self.started += 1;
        }
    }

    fn end_by(&mut self, now: u64) {
        for (_, t) in self.running.extract_if(.., |h| h.0 <= now) {
            self.ledger.add_usage(t, ONE.times(-1.0));
        }
    }

    fn has(&self, t: TeamIndex) -> usize {
        self.running.iter().filter(|h| h.1 == t).count()
    }
}

/// While team a is idle, its sibling b borrows all of its third, and c none of it. When a asks
/// again, it has all of its guarantee back within the duration of the longest task.
#[test]
fn a_lender_has_its_guarantee_back_within_the_longest_task() {
    let mut lent = Histogram::<u64>::new(3).expect("a histogram");
    let mut back = Histogram::<u64>::new(3).expect("a histogram");
    let config = Config { cases: 128, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() };
    let (lent_in, back_in) = (std::cell::RefCell::new(&mut lent), std::cell::RefCell::new(&mut back));
    let run = |(lengths, idle_at): (Vec<u64>, u64)| {
        let longest = *lengths.iter().max().expect("some");
        let mut cluster = Cluster { ledger: ledger(), running: Vec::new(), lengths, started: 0 };
        let comes_back = idle_at + 2 * longest;
        let (mut all_lent, mut all_back) = (None, None);
        for now in 0..=comes_back + longest + 1 {
            cluster.end_by(now);
            let a_asks = now < idle_at || now >= comes_back;
            cluster.place(now, if a_asks { &[A, B, C] } else { &[B, C] });
            prop_assert!(cluster.has(C) <= 20, "team c of another organisation has {} cpus", cluster.has(C));
            if (idle_at..comes_back).contains(&now) && cluster.has(B) == 40 {
                all_lent.get_or_insert(now - idle_at);
            }
            if now >= comes_back && cluster.has(A) == 20 {
                all_back.get_or_insert(now - comes_back);
            }
        }
        let (lent_after, back_after) = (all_lent.unwrap_or(u64::MAX), all_back.unwrap_or(u64::MAX));
        prop_assert!(
            lent_after <= longest && back_after <= longest,
            "lent after {lent_after}, back after {back_after}, longest {longest}"
        );
        lent_in.borrow_mut().saturating_record(100 * lent_after / longest);
        back_in.borrow_mut().saturating_record(100 * back_after / longest);
        Ok(())
    };
    let lengths = prop::collection::vec(1u64..200, 40..90);
    TestRunner::new(config).run(&(lengths, 1u64..300), run).expect("within the longest task");
    for (what, h) in [("lent", &lent), ("taken back", &back)] {
        let at = |q| h.value_at_quantile(q);
        println!("{what}: p10 {} %, p50 {} %, p90 {} % of the longest task", at(0.1), at(0.5), at(0.9));
    }
    assert_eq!(lent.len(), back.len());
}
