//! Each count of what machines, reports and users see is met by a decision that is wrong on purpose, with one shard
//! and with three.

use lupinspur_model::{Kind, Scenario, Trouble, Work, Wrong, play};

const SEEDS: u64 = 20;

fn is_seen(wrong: Wrong, scenario: &Scenario, troubles: &[Trouble], rule: &str) {
    for cells in [1, 3] {
        let most_machines = if cells > 1 { 12 } else { 80 };
        let scenario = Scenario { cells, most_machines, ..scenario.clone() };
        let mut others = Vec::new();
        let sees = |seed| {
            let broken = play(&scenario, seed, troubles, Some(wrong)).broken;
            let seen = broken.as_ref().is_some_and(|what| what.contains(rule));
            others.extend(broken.filter(|_| !seen));
            seen
        };
        assert!((0..SEEDS).any(sees), "{wrong:?} is not seen as {rule:?} over {cells} cells, but as {others:?}");
    }
}

fn trouble(at: f64, kind: Kind, which: usize, for_s: f64) -> Trouble {
    Trouble { at, kind, which, for_s }
}

#[test]
fn a_job_that_is_left_waiting() {
    is_seen(Wrong::LeavesWaiting, &Scenario { room: false, ..Scenario::default() }, &[], "left_waiting");
}

#[test]
fn a_cancelled_task_that_goes_on_after_its_machine_hung() {
    let troubles: Vec<Trouble> = (0..4).map(|n| trouble(15.0 + 6.0 * f64::from(n), Kind::CancelNow, 7, 4.0)).collect();
    is_seen(Wrong::IgnoresStopsAfterHang, &Scenario::default(), &troubles, "went on after it hung");
}

#[test]
fn a_start_that_is_commanded_after_a_confirmed_cancellation() {
    is_seen(Wrong::StartsCancelled, &Scenario::default(), &[], "is commanded to start after");
}

#[test]
fn a_job_that_is_accepted_though_it_can_never_run() {
    let odd = [trouble(5.0, Kind::OddRequests, 0, 60.0)];
    is_seen(Wrong::Unjudged, &Scenario::default(), &odd, "can never run");
}

#[test]
fn a_job_that_is_accepted_though_it_lacks_a_field() {
    let odd = [trouble(5.0, Kind::OddRequests, 0, 60.0)];
    is_seen(Wrong::FillsIn, &Scenario::default(), &odd, "lacks a field");
}

#[test]
fn a_job_that_nobody_submitted_gets_a_state() {
    let odd = [trouble(5.0, Kind::OddRequests, 0, 60.0)];
    is_seen(Wrong::Invents, &Scenario::default(), &odd, "invented");
}

#[test]
fn a_repeated_submission_that_hears_an_older_state() {
    let looks = [trouble(0.0, Kind::CloseLooks, 0, 70.0)];
    is_seen(Wrong::RepeatedAsNew, &Scenario::default(), &looks, "went_back");
}

#[test]
fn one_zone_jobs_in_two_zones() {
    let scenario = Scenario { work: Work::OneZone, ..Scenario::default() };
    is_seen(Wrong::Zones, &scenario, &[], "wrong_place");
}
