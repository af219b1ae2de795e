//! Users ask every controller right after their jobs were accepted, ended or cancelled, and repeat submissions;
//! one in four accepted jobs is cancelled at once. Nothing else goes wrong, or the leader changes meanwhile, by
//! every way in which it can. Answers are judged by the histories of all jobs.

use lupinspur_model::{FaultKind, InjectedFault, LEADER, Run, SAME_LEADER, Scenario, Work, WrongDecision, play};

/// Seeds of each over one shard and over several; `MEETING_SEEDS` plays more.
const SEEDS: u64 = 2;
const SEEDS_OVER_CELLS: u64 = 1;
/// A wrong decision is seen within so many.
const SEEN_WITHIN_SEEDS: u64 = 8;
const CELLS: [u32; 2] = [1, 3];
const JOBS_FOR_S: f64 = 50.0;
/// Long enough for polls and for the check that every question is answered.
const CALM_S: f64 = 45.0;
/// States that each controller tells in a run at least: six rounds, twice, after each event of some 65 jobs.
const FEWEST_ANSWERS: u64 = 1000;
const CHANGE_AT_S: f64 = 25.0;
const CHANGED_FOR_S: f64 = 20.0;

/// By which a leader changes, or is started again and remembers nothing.
const CHANGES: [FaultKind; 7] = [
    FaultKind::ControllerRestarts,
    FaultKind::LeaderStepsDown,
    FaultKind::ControllerPauses,
    FaultKind::StateServiceRefuses,
    FaultKind::ControllerLosesStateAndPeers,
    FaultKind::AllControllersRestart,
    FaultKind::ZoneAndControllerPartitioned,
];

/// Many small jobs, so that at any moment some are accepted, end or are cancelled.
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

fn looks() -> InjectedFault {
    fault(0.0, FaultKind::PollAfterEvents, 0, JOBS_FOR_S + 10.0)
}

fn seeds(cells: u32) -> u64 {
    let usual = if cells > 1 { SEEDS_OVER_CELLS } else { SEEDS };
    std::env::var("MEETING_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

fn runs(cells: u32, faults: &[InjectedFault], wrong: Option<WrongDecision>) -> Vec<Run> {
    (0..seeds(cells)).map(|seed| play(&busy(cells), seed, faults, wrong)).collect()
}

/// `claims`: as many more than one for each shard are made at least.
fn no_rule_is_broken(faults: &[InjectedFault], claims: u64) {
    for cells in CELLS {
        for run in runs(cells, faults, None) {
            assert_eq!(run.broken, None, "{cells} cells, seed {}", run.seed);
            let answers = &run.counts.answers;
            assert!(answers.iter().all(|n| *n > FEWEST_ANSWERS), "some controller was hardly asked: {answers:?}");
            let made = run.counts.elections;
            assert!(made >= u64::from(cells) + claims, "{made} claims: the leader did not change");
            assert!(run.done > 0 && run.cancelled > 0, "{} done, {} cancelled", run.done, run.cancelled);
        }
    }
}

#[test]
fn no_answer_is_older_though_nothing_goes_wrong() {
    no_rule_is_broken(&[looks()], 0);
}

#[test]
fn no_answer_is_older_around_a_change_of_leader() {
    for change in CHANGES {
        no_rule_is_broken(&[looks(), fault(CHANGE_AT_S, change, LEADER, CHANGED_FOR_S)], 1);
    }
}

/// The leader changes while transactions are carried out at once and only their answers are lost.
#[test]
fn no_answer_is_older_around_a_change_of_leader_with_lost_answers() {
    let lost = fault(CHANGE_AT_S - 10.0, FaultKind::WriteResponsesLost, 0, CHANGED_FOR_S + 15.0);
    for change in CHANGES {
        no_rule_is_broken(&[looks(), lost, fault(CHANGE_AT_S, change, LEADER, CHANGED_FOR_S)], 1);
    }
}

/// The old leader is cut off, and is then started again: all that it remembered is gone.
#[test]
fn no_answer_is_older_at_a_leader_that_was_cut_off_and_started_again() {
    let cut = fault(CHANGE_AT_S, FaultKind::ControllerLosesStateAndPeers, LEADER, CHANGED_FOR_S);
    let ends = fault(CHANGE_AT_S + CHANGED_FOR_S - 1.0, FaultKind::ControllerRestarts, SAME_LEADER, 10.0);
    no_rule_is_broken(&[looks(), cut, ends], 1);
}

/// A leader that acts past its lease tells what was before: seen through answers alone.
#[test]
fn a_leader_that_answers_past_its_lease_is_seen() {
    let still = fault(CHANGE_AT_S, FaultKind::ControllerPauses, LEADER, 8.0);
    for cells in CELLS {
        let broken = |seed| play(&busy(cells), seed, &[looks(), still], Some(WrongDecision::ActsPastLease)).broken;
        let seen = |seed| broken(seed).is_some_and(|what| what.contains("went_back"));
        assert!((0..SEEN_WITHIN_SEEDS).any(seen), "{cells} cells");
    }
}

/// A repeated submission that is answered as if the job was new.
#[test]
fn a_repetition_that_is_answered_as_new_is_seen() {
    for cells in CELLS {
        let runs = runs(cells, &[looks()], Some(WrongDecision::AnswersResubmissionAsNew));
        assert!(runs.iter().all(|run| run.broken.as_ref().is_some_and(|what| what.contains("went_back"))));
    }
}
