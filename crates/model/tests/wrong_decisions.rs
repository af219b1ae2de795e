//! The checks on what machines and users observe each detect a deliberately wrong decision, with one shard and with
//! three.

use lupinspur_model::{FaultKind, InjectedFault, Scenario, Work, WrongDecision, play};

const SEEDS: u64 = 20;

fn is_detected(wrong: WrongDecision, scenario: &Scenario, faults: &[InjectedFault], rule: &str) {
    for cells in [1, 3] {
        let most_machines = if cells > 1 { 12 } else { 80 };
        let scenario = Scenario { cells, most_machines, ..scenario.clone() };
        let mut others = Vec::new();
        let sees = |seed| {
            let broken = play(&scenario, seed, faults, Some(wrong)).broken;
            let seen = broken.as_ref().is_some_and(|what| what.contains(rule));
            others.extend(broken.filter(|_| !seen));
            seen
        };
        assert!((0..SEEDS).any(sees), "{wrong:?} is not detected as {rule:?} over {cells} cells, but as {others:?}");
    }
}

fn fault(at: f64, kind: FaultKind, which: usize, for_s: f64) -> InjectedFault {
    InjectedFault { at, kind, which, for_s }
}

#[test]
fn a_job_that_is_left_waiting() {
    is_detected(
        WrongDecision::NeverPlacesSomeJobs,
        &Scenario { room: false, ..Scenario::default() },
        &[],
        "left_waiting",
    );
}

#[test]
fn a_cancelled_task_that_goes_on_after_its_machine_hung() {
    let faults: Vec<InjectedFault> =
        (0..4).map(|n| fault(15.0 + 6.0 * f64::from(n), FaultKind::CancelRunningJobs, 7, 4.0)).collect();
    is_detected(WrongDecision::IgnoresStopsAfterHang, &Scenario::default(), &faults, "resumed after a hang");
}

#[test]
fn a_start_that_is_commanded_after_a_confirmed_cancellation() {
    is_detected(WrongDecision::StartsCancelledJobs, &Scenario::default(), &[], "is commanded to start after");
}

#[test]
fn a_job_that_is_accepted_though_it_can_never_run() {
    let invalid = [fault(5.0, FaultKind::InvalidRequests, 0, 60.0)];
    is_detected(WrongDecision::SkipsAdmissionCheck, &Scenario::default(), &invalid, "can never run");
}

#[test]
fn a_job_that_is_accepted_though_it_lacks_a_field() {
    let invalid = [fault(5.0, FaultKind::InvalidRequests, 0, 60.0)];
    is_detected(WrongDecision::FillsInMissingFields, &Scenario::default(), &invalid, "lacks a field");
}

#[test]
fn a_job_that_nobody_submitted_gets_a_state() {
    let invalid = [fault(5.0, FaultKind::InvalidRequests, 0, 60.0)];
    is_detected(WrongDecision::InventsUnknownJobs, &Scenario::default(), &invalid, "invented");
}

#[test]
fn a_repeated_submission_answered_with_an_older_state() {
    let polls = [fault(0.0, FaultKind::PollAfterEvents, 0, 70.0)];
    is_detected(WrongDecision::AnswersResubmissionAsNew, &Scenario::default(), &polls, "went_back");
}

#[test]
fn one_zone_jobs_in_two_zones() {
    let scenario = Scenario { work: Work::OneZone, ..Scenario::default() };
    is_detected(WrongDecision::TreatsZonesAsOne, &scenario, &[], "wrong_place");
}
