//! Each kind of fault is strong enough to reveal a decision that is wrong on purpose: without the fault the wrong
//! decision passes, with it it is seen, and with the right decision nothing is.

use lupinspur_model::scenario::Team;
use lupinspur_model::{
    CONTROLLER_KINDS, KINDS, Kind, LEADER, Scenario, Trouble, USER_AND_MACHINE_KINDS, Work, Wrong, play,
};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Cases that are played at the same time.
const THREADS: usize = 3;
/// Seeds that are played without the fault.
const SEEDS: u64 = 4;
/// Seeds that are played with it, until the wrong decision is seen.
const MAX_SEEDS: u64 = 12;

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

/// Many services, and nothing to move them to.
fn no_other_machines(machines: usize, job_every_s: f64) -> Scenario {
    let most_machines = machines;
    Scenario {
        machines,
        most_machines,
        job_every_s,
        jobs_for_s: 30.0,
        services_cpus: 60.0,
        room: false,
        ..nobody_cancels()
    }
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
    let leader = |kind, for_s| unresolved(vec![at(20.0, kind, LEADER, for_s)], cut_zone());
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
        context: vec![services(20.0), at(ends_at, Kind::Ends, LEADER, 40.0)],
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
            context: vec![at(20.0, Kind::Ends, LEADER, 40.0), at(30.0, Kind::Ends, LEADER, 40.0)],
            scenario: Scenario { job_every_s: 0.25, jobs_for_s: 60.0, ..long_tasks() },
        },
        case(Wrong::UnansweredNeverArrives, "ran_twice", vec![at(0.0, Kind::LateCommands, 0, 60.0)]),
        Case {
            scenario: long_tasks(),
            ..case(Wrong::UnansweredNeverArrives, "", vec![at(0.0, Kind::SlowLinks, 0, 60.0)])
        },
        Case {
            scenario: long_tasks(),
            ..case(Wrong::MissesRestarts, "left_waiting", machines(20.0, Kind::Restarts, 0.0))
        },
        Case {
            context: vec![services(20.0)],
            scenario: no_other_machines(9, 0.5),
            ..case(Wrong::RenewsBySending, "ran_cancelled", machines(18.0, Kind::Deaf, 80.0))
        },
        Case {
            context: vec![services(20.0)],
            scenario: no_other_machines(15, 0.3),
            ..case(Wrong::RenewsBySending, "ran_cancelled", zones(19.8, Kind::DeafZone, 80.0))
        },
        // Two zones are cut off: so many silent machines are not given up, and their leases are waited out.
        Case {
            context: vec![
                at(19.0, Kind::CutZone, 0, 18.0),
                at(19.0, Kind::CutZone, 1, 18.0),
                at(20.0, Kind::Ends, LEADER, 40.0),
            ],
            scenario: long_tasks(),
            ..case(Wrong::TakesOldTokens, "ran_twice", vec![at(1.0, Kind::CopiesForNextLeader, 0, 8.0)])
        },
        Case {
            scenario: Scenario { machines: 3, ..long_tasks() },
            ..case(Wrong::RentedAreEmpty, "ran_twice", vec![at(0.0, Kind::FastBoots, 0, 60.0)])
        },
        // The state service.
        case(Wrong::NeverLooksUp, "", vec![at(10.0, Kind::LostAnswers, 0, 20.0)]),
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

/// The first seed with which the wrong decision breaks the rule.
fn first_seen(case: &Case, seeds: u64, troubles: &[Trouble]) -> Option<u64> {
    let broken = |seed: &u64| play(&case.scenario, *seed, troubles, Some(case.wrong)).broken;
    (0..seeds).find(|seed| broken(seed).is_some_and(|b| b.contains(case.rule)))
}

/// Fails unless the wrong decision is seen with the kind of fault, and only with it.
fn assert_revealed(case: &Case) {
    let (kind, wrong, rule) = (case.faults[0].kind, case.wrong, case.rule);
    let without = first_seen(case, SEEDS, &case.context);
    assert_eq!(without, None, "{wrong:?} is seen as {rule:?} without {kind:?}");
    let all = [case.context.as_slice(), &case.faults].concat();
    let Some(seed) = first_seen(case, MAX_SEEDS, &all) else {
        panic!("{wrong:?} is not seen as {rule:?} with {kind:?}")
    };
    let right = play(&case.scenario, seed, &all, None).broken;
    assert_eq!(right, None, "{kind:?} breaks a rule without {wrong:?}, seed {seed}");
}

#[test]
fn each_kind_reveals_a_wrong_decision() {
    let cases = cases();
    let next = AtomicUsize::new(0);
    let assert_some = || {
        while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
            assert_revealed(case);
        }
    };
    std::thread::scope(|s| (0..THREADS).for_each(|_| _ = s.spawn(assert_some)));
}

/// No kind is left out unnoticed.
#[test]
fn each_kind_has_a_case() {
    let cases = cases();
    for kind in KINDS.iter().chain(&CONTROLLER_KINDS).chain(&USER_AND_MACHINE_KINDS) {
        assert!(cases.iter().any(|c| c.faults[0].kind == *kind), "{kind:?}");
    }
}
