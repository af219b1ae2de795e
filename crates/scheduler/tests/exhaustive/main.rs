//! Every order of events in a small deployment: leases, claims, tokens and confirmed cancellations. Each guard
//! taken out gives a shortest counterexample. `EXPLORE_STATES=5000000` visits more states than CI does.

mod deployment;
mod explore;

use deployment::{Deployment, Guard};
use explore::{Outcome, explore};

/// The state service refuses the leader alone, and then fails for all.
const REFUSED_THEN_DOWN: Deployment = Deployment {
    controllers: 2,
    seconds: 7,
    outages: 1,
    refusals: 1,
    restarts: 0,
    lost_answers: 0,
    late_transactions: 0,
    slow_renewals: false,
    without: None,
};

/// The same leader with transactions that come late.
const REFUSED_WITH_LATE_TRANSACTIONS: Deployment = Deployment { outages: 0, late_transactions: 1, ..REFUSED_THEN_DOWN };

/// A leader whose answers are lost, and that is started again.
const RESTARTED_WITH_LOST_ANSWERS: Deployment =
    Deployment { outages: 0, refusals: 0, restarts: 1, lost_answers: 1, ..REFUSED_THEN_DOWN };

/// One controller, and nothing goes wrong.
const ALONE: Deployment = Deployment { controllers: 1, seconds: 8, outages: 0, refusals: 0, ..REFUSED_THEN_DOWN };

fn most_states() -> usize {
    std::env::var("EXPLORE_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(30_000)
}

fn explored(deployment: Deployment) -> Outcome<deployment::Action> {
    let began = std::time::Instant::now();
    let outcome = explore(&deployment, most_states());
    println!(
        "{deployment:?}: {} states, complete: {}, {:.1} s, {:?}",
        outcome.states,
        outcome.complete,
        began.elapsed().as_secs_f64(),
        outcome.counterexample
    );
    outcome
}

/// Explores `deployment`; a violation is told with its shortest way.
fn holds(deployment: Deployment) {
    let outcome = explored(deployment);
    assert!(outcome.counterexample.is_none(), "{:?}", outcome.counterexample);
}

#[test]
fn a_leader_refused_alone_before_an_outage_breaks_nothing() {
    holds(REFUSED_THEN_DOWN);
}

#[test]
fn late_transactions_of_a_refused_leader_break_nothing() {
    holds(REFUSED_WITH_LATE_TRANSACTIONS);
}

#[test]
fn lost_answers_and_a_restart_break_nothing() {
    holds(RESTARTED_WITH_LOST_ANSWERS);
}

#[test]
fn each_guard_taken_out_has_a_counterexample() {
    for (guard, deployment) in [
        (Guard::ValidLease, REFUSED_THEN_DOWN),
        (Guard::CountsFromSending, Deployment { slow_renewals: true, ..REFUSED_THEN_DOWN }),
        (Guard::ClaimCondition, REFUSED_WITH_LATE_TRANSACTIONS),
        (Guard::RecordCondition, REFUSED_WITH_LATE_TRANSACTIONS),
        (Guard::StoredBeforeConfirmed, REFUSED_WITH_LATE_TRANSACTIONS),
        (Guard::ReadBeforeActing, RESTARTED_WITH_LOST_ANSWERS),
        (Guard::StopsInEachAnswer, ALONE),
        (Guard::SilentWhileUnsettled, RESTARTED_WITH_LOST_ANSWERS),
    ] {
        let outcome = explored(Deployment { without: Some(guard), ..deployment });
        assert!(outcome.counterexample.is_some(), "{guard:?}");
    }
}
