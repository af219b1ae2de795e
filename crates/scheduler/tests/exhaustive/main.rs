//! Explores every order of events in a model of a small deployment, with leases, leadership records, fencing tokens and
//! confirmed cancellations. For each removed guard the exploration must find a counterexample.
//! `EXPLORE_STATES=5000000` visits more states than CI does.

mod deployment;
mod explore;

use deployment::{Deployment, Guard};
use explore::{Outcome, explore};

/// The state service refuses the requests of the leader only, and has an outage for all controllers.
const REFUSED_THEN_DOWN: Deployment = Deployment {
    controllers: 2,
    seconds: 7,
    outages: 1,
    refusals: 1,
    restarts: 0,
    lost_responses: 0,
    delayed_transactions: 0,
    slow_renewals: false,
    without: None,
};

/// The leader's requests are refused, and one transaction is delayed.
const REFUSED_WITH_DELAYED_TRANSACTION: Deployment =
    Deployment { outages: 0, delayed_transactions: 1, ..REFUSED_THEN_DOWN };

/// The state service's response to the leader is lost, and the leader is restarted.
const RESTARTED_WITH_LOST_RESPONSE: Deployment =
    Deployment { outages: 0, refusals: 0, restarts: 1, lost_responses: 1, ..REFUSED_THEN_DOWN };

/// One controller and no faults.
const ONE_CONTROLLER_NO_FAULTS: Deployment =
    Deployment { controllers: 1, seconds: 8, outages: 0, refusals: 0, ..REFUSED_THEN_DOWN };

fn max_states() -> usize {
    std::env::var("EXPLORE_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(30_000)
}

fn run_exploration(deployment: Deployment) -> Outcome<deployment::Action> {
    let started_at = std::time::Instant::now();
    let outcome = explore(&deployment, max_states());
    println!(
        "{deployment:?}: {} states, complete: {}, {:.1} s, {:?}",
        outcome.states,
        outcome.complete,
        started_at.elapsed().as_secs_f64(),
        outcome.counterexample
    );
    outcome
}

/// Asserts that no invariant is violated; a failure shows a shortest sequence of actions.
fn assert_no_violation(deployment: Deployment) {
    let outcome = run_exploration(deployment);
    assert!(outcome.counterexample.is_none(), "an invariant is violated: {:?}", outcome.counterexample);
}

#[test]
fn a_leader_refused_alone_before_an_outage_breaks_nothing() {
    assert_no_violation(REFUSED_THEN_DOWN);
}

#[test]
fn late_transactions_of_a_refused_leader_break_nothing() {
    assert_no_violation(REFUSED_WITH_DELAYED_TRANSACTION);
}

#[test]
fn lost_answers_and_a_restart_break_nothing() {
    assert_no_violation(RESTARTED_WITH_LOST_RESPONSE);
}

#[test]
fn each_guard_taken_out_has_a_counterexample() {
    for (guard, deployment) in [
        (Guard::ValidLease, REFUSED_THEN_DOWN),
        (Guard::LeaseCountedFromSend, Deployment { slow_renewals: true, ..REFUSED_THEN_DOWN }),
        (Guard::LeadershipCondition, REFUSED_WITH_DELAYED_TRANSACTION),
        (Guard::RecordVersionCondition, REFUSED_WITH_DELAYED_TRANSACTION),
        (Guard::StoredBeforeConfirmed, REFUSED_WITH_DELAYED_TRANSACTION),
        (Guard::ReadBeforeActing, RESTARTED_WITH_LOST_RESPONSE),
        (Guard::StopInEveryReply, ONE_CONTROLLER_NO_FAULTS),
        (Guard::NoStateWhileOutcomeUnknown, RESTARTED_WITH_LOST_RESPONSE),
    ] {
        let outcome = run_exploration(Deployment { without: Some(guard), ..deployment });
        assert!(outcome.counterexample.is_some(), "no counterexample was found without the guard {guard:?}");
    }
}
