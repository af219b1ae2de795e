//! Each kind of fault reveals a deliberately wrong decision: without the fault the wrong decision passes, with the
//! fault it is detected, and with the correct decision no rule is violated.

use lupinspur_model::scenario::Team;
use lupinspur_model::{
    CONTROLLER_FAULT_KINDS, FAULT_KINDS, FaultKind, InjectedFault, LEADER, REPEATED_MESSAGE_FAULT_KINDS, Scenario,
    USER_AND_MACHINE_FAULT_KINDS, Work, WrongDecision, play,
};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Cases that run at the same time.
const THREADS: usize = 3;
/// Number of seeds without the fault.
const SEEDS: u64 = 4;
/// Largest number of seeds with the fault until the wrong decision is detected.
const MAX_SEEDS: u64 = 12;

/// A wrong decision that is detected only with one kind of fault.
struct Case {
    wrong: WrongDecision,
    /// The rule that a run with the wrong decision violates.
    rule: &'static str,
    /// Faults of the kind that reveals it.
    faults: Vec<InjectedFault>,
    /// Other faults, injected in both cases.
    context: Vec<InjectedFault>,
    scenario: Scenario,
}

fn at(at: f64, kind: FaultKind, which: usize, for_s: f64) -> InjectedFault {
    InjectedFault { at, kind, which, for_s }
}

fn machines(begins: f64, kind: FaultKind, for_s: f64) -> Vec<InjectedFault> {
    (0..Scenario::default().machines).map(|m| at(begins, kind, m, for_s)).collect()
}

/// Users cancel jobs only because of an injected fault.
fn no_cancellations() -> Scenario {
    Scenario { cancelled: 0.0, ..Scenario::default() }
}

/// Tasks run for a minute, and there are more than machines have capacity for.
fn long_tasks() -> Scenario {
    Scenario { work: Work::Long, jobs_for_s: 25.0, job_every_s: 0.5, room: false, ..no_cancellations() }
}

/// Many services, and no machines to rent for them.
fn no_other_machines(machines: usize, job_every_s: f64) -> Scenario {
    let most_machines = machines;
    Scenario {
        machines,
        most_machines,
        job_every_s,
        jobs_for_s: 30.0,
        services_cpus: 60.0,
        room: false,
        ..no_cancellations()
    }
}

fn teams_at_limit() -> Scenario {
    let team = |name: &str, cpus| Team { name: name.into(), cpus, cpus_max: 2.0 * cpus };
    let teams = vec![team("red", 12.0), team("blue", 16.0)];
    Scenario { teams, job_every_s: 0.6, services_cpus: 16.0, room: false, work: Work::Long, ..no_cancellations() }
}

/// One partitioned zone: a leader that begins meanwhile does not know which tasks run there.
fn partitioned_zone() -> Vec<InjectedFault> {
    vec![at(19.0, FaultKind::ZonePartitioned, 0, 15.0)]
}

fn all_controllers_end() -> Vec<InjectedFault> {
    (0..3).map(|n| at(20.0, FaultKind::ControllerRestarts, n, 60.0)).collect()
}

/// A new leader takes machines that it cannot reach for free.
fn unreconciled(faults: Vec<InjectedFault>, context: Vec<InjectedFault>) -> Case {
    Case {
        wrong: WrongDecision::SkipsReconciliation,
        rule: "ran_twice",
        faults,
        context,
        scenario: Scenario::default(),
    }
}

fn cases() -> Vec<Case> {
    let leader = |kind, for_s| unreconciled(vec![at(20.0, kind, LEADER, for_s)], partitioned_zone());
    let case = |wrong, rule, faults| Case { wrong, rule, faults, context: vec![], scenario: no_cancellations() };
    let flood = || Scenario { work: Work::OneTask, job_every_s: 0.25, cancelled: 0.0, ..Scenario::default() };
    let services = |begins: f64| at(begins, FaultKind::CancelServices, 0, 1.0);
    let zones = |begins, kind, for_s| (0..3).map(|z| at(begins, kind, z, for_s)).collect::<Vec<_>>();
    let silent = |faults| Case {
        wrong: WrongDecision::TreatsSilenceAsIncarnationEnd,
        rule: "ran_twice",
        faults,
        context: vec![],
        scenario: long_tasks(),
    };
    let unstored = |kind, begins, for_s, ends_at| Case {
        wrong: WrongDecision::ConfirmsUnstoredCancellation,
        rule: "",
        faults: vec![at(begins, kind, 0, for_s)],
        context: vec![services(20.0), at(ends_at, FaultKind::ControllerRestarts, LEADER, 40.0)],
        scenario: no_cancellations(),
    };
    let cancelled =
        |kind, which, for_s| case(WrongDecision::IgnoresStops, "ran_cancelled", vec![at(20.0, kind, which, for_s)]);
    vec![
        // Changes of leader.
        leader(FaultKind::ControllerRestarts, 60.0),
        leader(FaultKind::ControllerPauses, 12.0),
        leader(FaultKind::ControllerLosesStateAndPeers, 12.0),
        leader(FaultKind::ControllerLosesWorkers, 20.0),
        leader(FaultKind::ControllerPartitioned, 12.0),
        leader(FaultKind::StateServiceRefuses, 12.0),
        leader(FaultKind::LeaderStepsDown, 1.0),
        leader(FaultKind::AllControllersRestart, 20.0),
        leader(FaultKind::AllControllersDown, 6.0),
        leader(FaultKind::ZoneAndControllerPartitioned, 15.0),
        // Machines.
        unreconciled(partitioned_zone(), all_controllers_end()),
        unreconciled(machines(19.0, FaultKind::MachineHangs, 14.0), all_controllers_end()),
        silent(machines(15.0, FaultKind::HeartbeatsLost, 15.0)),
        silent(zones(15.0, FaultKind::ZoneHeartbeatsLost, 15.0)),
        silent(machines(15.0, FaultKind::HeartbeatRepliesLost, 15.0)),
        case(WrongDecision::NeverDeclaresMachinesLost, "left_waiting", machines(20.0, FaultKind::MachineDies, 0.0)),
        case(WrongDecision::ReportsErrorsAsDone, "not_done", machines(10.0, FaultKind::TasksFail, 20.0)),
        Case {
            wrong: WrongDecision::TreatsCancelledTasksAsGone,
            rule: "quota",
            faults: machines(19.0, FaultKind::CommandsLost, 12.0),
            context: vec![at(20.0, FaultKind::CancelRunningJobs, 7, 0.0)],
            scenario: teams_at_limit(),
        },
        case(
            WrongDecision::AcceptsStaleHeartbeats,
            "ran_twice",
            vec![at(5.0, FaultKind::HeartbeatsDuplicated, 0, 50.0)],
        ),
        Case {
            wrong: WrongDecision::IgnoresFencingTokens,
            rule: "ran_twice",
            faults: vec![at(10.0, FaultKind::CommandsDelayed, 0, 40.0)],
            context: vec![
                at(20.0, FaultKind::ControllerRestarts, LEADER, 40.0),
                at(30.0, FaultKind::ControllerRestarts, LEADER, 40.0),
            ],
            scenario: Scenario { job_every_s: 0.25, jobs_for_s: 60.0, ..long_tasks() },
        },
        case(
            WrongDecision::TreatsUnansweredStartsAsLost,
            "ran_twice",
            vec![at(0.0, FaultKind::CommandsDelayed, 0, 60.0)],
        ),
        Case {
            scenario: long_tasks(),
            ..case(WrongDecision::TreatsUnansweredStartsAsLost, "", vec![at(0.0, FaultKind::SlowNetwork, 0, 60.0)])
        },
        Case {
            scenario: long_tasks(),
            ..case(
                WrongDecision::MissesMachineRestarts,
                "left_waiting",
                machines(20.0, FaultKind::MachineRestarts, 0.0),
            )
        },
        Case {
            context: vec![services(20.0)],
            scenario: no_other_machines(9, 0.5),
            ..case(
                WrongDecision::RenewsLeaseBySending,
                "ran_cancelled",
                machines(18.0, FaultKind::RepliesAndCommandsLost, 80.0),
            )
        },
        Case {
            context: vec![services(20.0)],
            scenario: no_other_machines(15, 0.3),
            ..case(
                WrongDecision::RenewsLeaseBySending,
                "ran_cancelled",
                zones(19.8, FaultKind::ZoneRepliesAndCommandsLost, 80.0),
            )
        },
        // Two zones are partitioned: so many machines without heartbeats are not declared lost before their leases end.
        Case {
            context: vec![
                at(19.0, FaultKind::ZonePartitioned, 0, 18.0),
                at(19.0, FaultKind::ZonePartitioned, 1, 18.0),
                at(20.0, FaultKind::ControllerRestarts, LEADER, 40.0),
            ],
            scenario: long_tasks(),
            ..case(
                WrongDecision::AcceptsStaleTokens,
                "ran_twice",
                vec![at(1.0, FaultKind::HeartbeatCopiesForNextLeader, 0, 8.0)],
            )
        },
        Case {
            scenario: Scenario { machines: 3, ..long_tasks() },
            ..case(WrongDecision::TreatsRentedAsEmpty, "ran_twice", vec![at(0.0, FaultKind::FastBoots, 0, 60.0)])
        },
        // Repeated messages.
        Case {
            context: machines(15.0, FaultKind::TasksFail, 3.0).into_iter().step_by(2).collect(),
            scenario: long_tasks(),
            ..case(
                WrongDecision::ForgetsUnfencedAttempts,
                "ran_twice",
                vec![at(0.0, FaultKind::CommandsRepeated, 0, 60.0)],
            )
        },
        // The state service.
        case(WrongDecision::NeverReadsInDoubtWrites, "", vec![at(10.0, FaultKind::WriteResponsesLost, 0, 20.0)]),
        unstored(FaultKind::StateServiceOutage, 20.0, 10.0, 29.0),
        unstored(FaultKind::WritesDelayed, 18.0, 15.0, 21.5),
        unstored(FaultKind::UnreliableCommits, 18.0, 15.0, 21.5),
        unstored(FaultKind::SlowStateService, 18.0, 15.0, 22.2),
        // Users.
        cancelled(FaultKind::CancelServices, 0, 1.0),
        cancelled(FaultKind::CancelRunningJobs, 7, 0.0),
        Case {
            scenario: flood(),
            ..case(
                WrongDecision::ConfirmsUnstoredCancellation,
                "went_back",
                vec![at(5.0, FaultKind::CancelEndingJobs, 0, 60.0)],
            )
        },
        case(WrongDecision::AnswersResubmissionAsNew, "went_back", vec![at(0.0, FaultKind::PollAfterEvents, 0, 70.0)]),
        case(WrongDecision::SkipsAdmissionCheck, "accepted", vec![at(5.0, FaultKind::InvalidRequests, 0, 60.0)]),
    ]
}

/// Returns the first seed with which the wrong decision violates the rule.
fn first_detected(case: &Case, seeds: u64, faults: &[InjectedFault]) -> Option<u64> {
    let broken = |seed: &u64| play(&case.scenario, *seed, faults, Some(case.wrong)).broken;
    (0..seeds).find(|seed| broken(seed).is_some_and(|b| b.contains(case.rule)))
}

/// Fails unless the wrong decision is detected with the kind of fault, and only with it.
fn assert_revealed(case: &Case) {
    let (kind, wrong, rule) = (case.faults[0].kind, case.wrong, case.rule);
    let without = first_detected(case, SEEDS, &case.context);
    assert_eq!(without, None, "{wrong:?} is detected as {rule:?} without {kind:?}");
    let all = [case.context.as_slice(), &case.faults].concat();
    let Some(seed) = first_detected(case, MAX_SEEDS, &all) else {
        panic!("{wrong:?} is not detected as {rule:?} with {kind:?}")
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

/// Every kind of the four lists has a case.
#[test]
fn each_kind_has_a_case() {
    let cases = cases();
    let of_messages_and_users = USER_AND_MACHINE_FAULT_KINDS.iter().chain(&REPEATED_MESSAGE_FAULT_KINDS);
    for kind in FAULT_KINDS.iter().chain(&CONTROLLER_FAULT_KINDS).chain(of_messages_and_users) {
        assert!(cases.iter().any(|c| c.faults[0].kind == *kind), "{kind:?}");
    }
}
