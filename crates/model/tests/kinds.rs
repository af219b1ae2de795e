//! Each kind of fault is strong enough to reveal a decision that is wrong on purpose: without the fault the wrong
//! decision passes, and with it it is seen.

use lupinspur_model::scenario::Team;
use lupinspur_model::{
    CONTROLLER_KINDS, KINDS, Kind, OWNER, Scenario, Trouble, USER_AND_MACHINE_KINDS, Work, Wrong, play,
};

/// Seeds that are played without the fault.
const SEEDS: u64 = 4;
/// Seeds that are played with it, until the wrong decision is seen.
const MOST_SEEDS: u64 = 12;

/// A wrong decision that is seen only where a kind of fault strikes.
struct Case {
    wrong: Wrong,
    /// How a run with the wrong decision ends.
    rule: &'static str,
    /// The kind that reveals it.
    faults: Vec<Trouble>,
    /// What happens besides, with the fault and without it.
    context: Vec<Trouble>,
    scenario: Scenario,
}

fn at(at: f64, kind: Kind, which: usize, for_s: f64) -> Trouble {
    Trouble { at, kind, which, for_s }
}

fn machines(begins: f64, kind: Kind, for_s: f64) -> Vec<Trouble> {
    (0..Scenario::default().machines).map(|m| at(begins, kind, m, for_s)).collect()
}

/// Nobody cancels unless the fault is that somebody does.
fn nobody_cancels() -> Scenario {
    Scenario { cancelled: 0.0, ..Scenario::default() }
}

/// Tasks run for a minute, and there are more than machines have room for.
fn long_tasks() -> Scenario {
    Scenario { work: Work::Long, jobs_for_s: 25.0, job_every_s: 0.5, room: false, ..nobody_cancels() }
}

fn teams_at_limit() -> Scenario {
    let team = |name: &str, cpus| Team { name: name.into(), cpus, cpus_max: 2.0 * cpus };
    let teams = vec![team("red", 12.0), team("blue", 16.0)];
    Scenario { teams, job_every_s: 0.6, services_cpus: 16.0, room: false, work: Work::Long, ..nobody_cancels() }
}

/// One cut zone: whoever becomes the leader meanwhile does not know what runs there.
fn cut_zone() -> Vec<Trouble> {
    vec![at(19.0, Kind::CutZone, 0, 15.0)]
}

fn all_controllers_end() -> Vec<Trouble> {
    (0..3).map(|n| at(20.0, Kind::Ends, n, 60.0)).collect()
}

/// A new leader takes for free what it cannot ask.
fn unresolved(faults: Vec<Trouble>, context: Vec<Trouble>) -> Case {
    Case { wrong: Wrong::Resolved, rule: "ran_twice", faults, context, scenario: Scenario::default() }
}

fn cases() -> Vec<Case> {
    let leader = |kind, for_s| unresolved(vec![at(20.0, kind, OWNER, for_s)], cut_zone());
    let case = |wrong, rule, faults| Case { wrong, rule, faults, context: vec![], scenario: nobody_cancels() };
    let flood = || Scenario { work: Work::OneTask, job_every_s: 0.25, cancelled: 0.0, ..Scenario::default() };
    let services = |begins: f64| at(begins, Kind::CancelServices, 0, 1.0);
    let zones = |begins, kind, for_s| (0..3).map(|z| at(begins, kind, z, for_s)).collect::<Vec<_>>();
    let silent = |faults| Case {
        wrong: Wrong::TakesSilenceForEnd,
        rule: "ran_twice",
        faults,
        context: vec![],
        scenario: long_tasks(),
    };
    let unstored = |kind, begins, for_s, ends_at| Case {
        wrong: Wrong::ConfirmsUnstored,
        rule: "",
        faults: vec![at(begins, kind, 0, for_s)],
        context: vec![services(20.0), at(ends_at, Kind::Ends, OWNER, 40.0)],
        scenario: nobody_cancels(),
    };
    let cancelled = |kind, which, for_s| case(Wrong::Stops, "ran_cancelled", vec![at(20.0, kind, which, for_s)]);
    vec![
        // Changes of leader.
        leader(Kind::Ends, 60.0),
        leader(Kind::StandsStill, 12.0),
        leader(Kind::Alone, 12.0),
        leader(Kind::LosesWorkers, 20.0),
        leader(Kind::Silent, 12.0),
        leader(Kind::RefusedByState, 12.0),
        leader(Kind::StepsDown, 1.0),
        leader(Kind::AllEnd, 20.0),
        leader(Kind::AllAway, 6.0),
        leader(Kind::CutZoneWithController, 15.0),
        // Machines.
        unresolved(cut_zone(), all_controllers_end()),
        unresolved(machines(19.0, Kind::Hangs, 14.0), all_controllers_end()),
        silent(machines(15.0, Kind::Mute, 15.0)),
        silent(zones(15.0, Kind::MuteZone, 15.0)),
        silent(machines(15.0, Kind::DeafToAnswers, 15.0)),
        case(Wrong::NeverGivesUp, "left_waiting", machines(20.0, Kind::Dies, 0.0)),
        case(Wrong::ErrorsAreDone, "not_done", machines(10.0, Kind::Faulty, 20.0)),
        Case {
            wrong: Wrong::CancelledIsGone,
            rule: "quota",
            faults: machines(19.0, Kind::DeafToCommands, 12.0),
            context: vec![at(20.0, Kind::CancelNow, 7, 0.0)],
            scenario: teams_at_limit(),
        },
        case(Wrong::TakesOldReports, "ran_twice", vec![at(5.0, Kind::Copies, 0, 50.0)]),
        Case {
            wrong: Wrong::IgnoresTokens,
            rule: "ran_twice",
            faults: vec![at(10.0, Kind::LateCommands, 0, 40.0)],
            context: vec![at(20.0, Kind::Ends, OWNER, 40.0), at(30.0, Kind::Ends, OWNER, 40.0)],
            scenario: Scenario { job_every_s: 0.25, jobs_for_s: 60.0, ..long_tasks() },
        },
        // The state service.
        unstored(Kind::Outage, 20.0, 10.0, 29.0),
        unstored(Kind::LateWrites, 18.0, 15.0, 21.5),
        unstored(Kind::LateCommits, 18.0, 15.0, 21.5),
        unstored(Kind::SlowState, 18.0, 15.0, 22.2),
        // Users.
        cancelled(Kind::CancelServices, 0, 1.0),
        cancelled(Kind::CancelNow, 7, 0.0),
        Case {
            scenario: flood(),
            ..case(Wrong::ConfirmsUnstored, "went_back", vec![at(5.0, Kind::CancelAtEnd, 0, 60.0)])
        },
        case(Wrong::RepeatedAsNew, "went_back", vec![at(0.0, Kind::CloseLooks, 0, 70.0)]),
        case(Wrong::Unjudged, "accepted", vec![at(5.0, Kind::OddRequests, 0, 60.0)]),
    ]
}

/// The kinds for which no wrong decision is known that they alone reveal.
const REVEAL_NOTHING_YET: [Kind; 7] = [
    Kind::Restarts,
    Kind::Deaf,
    Kind::DeafZone,
    Kind::LostAnswers,
    Kind::CopiesForNextLeader,
    Kind::FastBoots,
    Kind::SlowLinks,
];

/// Does the wrong decision break the rule with one of the seeds?
fn is_seen(case: &Case, seeds: u64, troubles: &[Trouble]) -> bool {
    let broken = |seed| play(&case.scenario, seed, troubles, Some(case.wrong)).broken;
    (0..seeds).filter_map(broken).any(|b| b.contains(case.rule))
}

#[test]
fn each_kind_reveals_a_wrong_decision() {
    for case in cases() {
        let (kind, wrong) = (case.faults[0].kind, case.wrong);
        let rule = case.rule;
        assert!(!is_seen(&case, SEEDS, &case.context), "{wrong:?} is seen as {rule:?} without {kind:?}");
        let all = [case.context.as_slice(), &case.faults].concat();
        assert!(is_seen(&case, MOST_SEEDS, &all), "{wrong:?} is not seen as {rule:?} with {kind:?}");
    }
}

/// No kind is left out unnoticed.
#[test]
fn each_kind_has_a_case_or_is_listed() {
    let cases = cases();
    for kind in KINDS.iter().chain(&CONTROLLER_KINDS).chain(&USER_AND_MACHINE_KINDS) {
        let has_case = cases.iter().any(|c| c.faults[0].kind == *kind);
        assert!(has_case != REVEAL_NOTHING_YET.contains(kind), "{kind:?}");
    }
}
