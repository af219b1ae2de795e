//! Users poll every controller right after their jobs were accepted, ended or cancelled, and repeat submissions; one in
//! four accepted jobs is cancelled at once. There is no other fault, or the leader changes meanwhile, by each kind of
//! fault that can cause it. Answers are checked against the histories of all jobs.

use lupinspur_model::{FaultKind, InjectedFault, LEADER, Run, SAME_LEADER, Scenario, Work, WrongDecision, play};

/// Seeds of each case with one shard and with several; `MEETING_SEEDS` sets another number.
const SEEDS: u64 = 2;
const SEEDS_OVER_CELLS: u64 = 1;
/// Number of seeds within which a wrong decision has to be detected.
const DETECTED_WITHIN_SEEDS: u64 = 8;
const CELLS: [u32; 2] = [1, 3];
const JOBS_FOR_S: f64 = 50.0;
/// Long enough for polls and for the check that every poll is answered.
const CALM_S: f64 = 45.0;
/// Least number of states that each controller reports in a run: six rounds of a poll and a submission after each event
/// of some 65 jobs.
const MIN_ANSWERS: u64 = 1000;
const CHANGE_AT_S: f64 = 25.0;
const CHANGED_FOR_S: f64 = 20.0;

/// Kinds of faults by which the leader changes, or restarts and loses its memory.
const CHANGES: [FaultKind; 7] = [
    FaultKind::ControllerRestarts,
    FaultKind::LeaderStepsDown,
    FaultKind::ControllerPauses,
    FaultKind::StateServiceRefuses,
    FaultKind::ControllerLosesStateAndPeers,
    FaultKind::AllControllersRestart,
    FaultKind::ZoneAndControllerPartitioned,
];

/// Many small jobs, so that some are accepted, end or are cancelled at any time.
fn busy(cells: u32) -> Scenario {
    Scenario {
        cells,
        jobs_for_s: JOBS_FOR_S,
        calm_s: CALM_S,
        job_every_s: 0.75,
        work: Work::OneTask,
        most_machines: if cells > 1 { 24 } else { 80 },
        ..Scenario::default()
    }
}

fn fault(at: f64, kind: FaultKind, which: usize, for_s: f64) -> InjectedFault {
    InjectedFault { at, kind, which, for_s }
}

fn polls() -> InjectedFault {
    fault(0.0, FaultKind::PollAfterEvents, 0, JOBS_FOR_S + 10.0)
}

fn seeds(cells: u32) -> u64 {
    let usual = if cells > 1 { SEEDS_OVER_CELLS } else { SEEDS };
    std::env::var("MEETING_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

fn runs(cells: u32, faults: &[InjectedFault], wrong: Option<WrongDecision>) -> Vec<Run> {
    (0..seeds(cells)).map(|seed| play(&busy(cells), seed, faults, wrong)).collect()
}

/// Asserts that no rule is violated. `failovers`: least number of leadership records written besides the first one of
/// each shard.
fn no_rule_is_broken(faults: &[InjectedFault], failovers: u64) {
    for cells in CELLS {
        for run in runs(cells, faults, None) {
            assert_eq!(run.broken, None, "{cells} cells, seed {}", run.seed);
            let answers = &run.counts.answers;
            assert!(
                answers.iter().all(|n| *n > MIN_ANSWERS),
                "a controller gave no more than {MIN_ANSWERS} answers: {answers:?}"
            );
            let elections = run.counts.elections;
            assert!(elections >= u64::from(cells) + failovers, "{elections} elections: the leader did not change");
            assert!(run.done > 0 && run.cancelled > 0, "{} done, {} cancelled", run.done, run.cancelled);
        }
    }
}

#[test]
fn no_answer_is_older_though_nothing_goes_wrong() {
    no_rule_is_broken(&[polls()], 0);
}

#[test]
fn no_answer_is_older_around_a_change_of_leader() {
    for change in CHANGES {
        no_rule_is_broken(&[polls(), fault(CHANGE_AT_S, change, LEADER, CHANGED_FOR_S)], 1);
    }
}

/// The leader changes while transactions are executed at once and only their responses are lost.
#[test]
fn no_answer_is_older_around_a_change_of_leader_with_lost_answers() {
    let lost = fault(CHANGE_AT_S - 10.0, FaultKind::WriteResponsesLost, 0, CHANGED_FOR_S + 15.0);
    for change in CHANGES {
        no_rule_is_broken(&[polls(), lost, fault(CHANGE_AT_S, change, LEADER, CHANGED_FOR_S)], 1);
    }
}

/// The old leader is partitioned and then restarts, which loses its memory.
#[test]
fn no_answer_is_older_at_a_leader_that_was_cut_off_and_started_again() {
    let cut = fault(CHANGE_AT_S, FaultKind::ControllerLosesStateAndPeers, LEADER, CHANGED_FOR_S);
    let ends = fault(CHANGE_AT_S + CHANGED_FOR_S - 1.0, FaultKind::ControllerRestarts, SAME_LEADER, 10.0);
    no_rule_is_broken(&[polls(), cut, ends], 1);
}

/// A leader that acts past its lease reports outdated states. The answers alone reveal it.
#[test]
fn a_leader_that_answers_past_its_lease_is_seen() {
    let still = fault(CHANGE_AT_S, FaultKind::ControllerPauses, LEADER, 8.0);
    for cells in CELLS {
        let broken = |seed| play(&busy(cells), seed, &[polls(), still], Some(WrongDecision::ActsPastLease)).broken;
        let seen = |seed| broken(seed).is_some_and(|what| what.contains("went_back"));
        assert!((0..DETECTED_WITHIN_SEEDS).any(seen), "{cells} cells");
    }
}

/// A repeated submission that is answered as if the job was new.
#[test]
fn a_repetition_that_is_answered_as_new_is_seen() {
    for cells in CELLS {
        let runs = runs(cells, &[polls()], Some(WrongDecision::AnswersResubmissionAsNew));
        assert!(runs.iter().all(|run| run.broken.as_ref().is_some_and(|what| what.contains("went_back"))));
    }
}
