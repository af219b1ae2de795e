//! Each kind of violation is found, and histories that the protocol allows pass.

use lupinspur_histories::{Answer, History, Known, Pending, Request, Rule, Unfit};
use lupinspur_wire::JobState::{self, Cancelled, Done, Queued, Running};

const JOB: &str = "req-0001";
const UNABLE: Answer = Answer { status: 503, state: None };

/// Sends a request to controller `node` and receives the answer before any other event.
fn ask(h: &mut History, node: usize, request: Request, answer: Answer) -> Option<Rule> {
    let pending = h.sent(JOB, node, request);
    h.answered(pending, answer).map(|v| v.rule)
}

fn poll(h: &mut History, state: JobState) -> Option<Rule> {
    ask(h, 1, Request::Poll, Answer::known(state))
}

fn submit(h: &mut History, answer: Answer) -> Option<Rule> {
    ask(h, 0, Request::SUBMIT, answer)
}

fn cancel(h: &mut History, answer: Answer) -> Option<Rule> {
    ask(h, 2, Request::Cancel, answer)
}

fn accepted() -> History {
    let mut h = History::default();
    assert_eq!(submit(&mut h, Answer::ACCEPTED), None);
    h
}

fn done() -> History {
    let mut h = accepted();
    h.tasks_done(JOB);
    assert_eq!(poll(&mut h, Done), None);
    h
}

fn cancelled() -> History {
    let mut h = accepted();
    assert_eq!(cancel(&mut h, Answer::known(Cancelled)), None);
    h
}

#[test]
fn a_whole_life_passes() {
    let mut h = History::default();
    assert_eq!(ask(&mut h, 1, Request::Poll, Answer::ABSENT), None, "it is not submitted yet");
    assert_eq!(submit(&mut h, UNABLE), None);
    assert_eq!(submit(&mut h, Answer::ACCEPTED), None);
    for state in [Queued, Running, Queued, Running] {
        assert_eq!(poll(&mut h, state), None, "tasks may be stopped and started again");
        assert_eq!(submit(&mut h, Answer::known(state)), None);
    }
    h.tasks_done(JOB);
    assert_eq!(poll(&mut h, Running), None, "done may be reported late");
    assert_eq!(cancel(&mut h, Answer::known(Done)), None);
    assert_eq!(submit(&mut h, Answer::known(Done)), None);
    assert_eq!(cancel(&mut h, UNABLE), None);
    assert_eq!(h.known(JOB), Known::Ended(Done));
    assert_eq!(h.violations(), []);
}

#[test]
fn an_accepted_job_is_forgotten() {
    assert_eq!(ask(&mut accepted(), 1, Request::Poll, Answer::ABSENT), Some(Rule::Forgotten));
    assert_eq!(cancel(&mut accepted(), Answer::ABSENT), Some(Rule::Forgotten));
    assert_eq!(submit(&mut accepted(), Answer::REFUSED), Some(Rule::Forgotten));
    assert_eq!(submit(&mut done(), Answer { status: 400, state: None }), Some(Rule::Forgotten));
    assert_eq!(ask(&mut cancelled(), 1, Request::Poll, Answer::ABSENT), Some(Rule::Forgotten));
}

#[test]
fn a_poll_also_tells_that_a_job_is_accepted() {
    let mut h = History::default();
    let _lost = h.sent(JOB, 0, Request::SUBMIT);
    assert_eq!(poll(&mut h, Queued), None, "the answer to the submission was lost");
    assert_eq!(ask(&mut h, 2, Request::Poll, Answer::ABSENT), Some(Rule::Forgotten));
}

#[test]
fn an_end_is_followed_by_something_else() {
    for state in [Queued, Running, Cancelled] {
        assert_eq!(poll(&mut done(), state), Some(Rule::WentBack), "{state:?}");
        assert_eq!(submit(&mut done(), Answer::known(state)), Some(Rule::WentBack), "{state:?}");
    }
    for state in [Queued, Running, Done] {
        let mut h = cancelled();
        h.tasks_done(JOB);
        assert_eq!(poll(&mut h, state), Some(Rule::WentBack), "{state:?}");
        assert_eq!(cancel(&mut h, Answer::known(state)), Some(Rule::WentBack), "{state:?}");
    }
    assert_eq!(submit(&mut done(), Answer::ACCEPTED), Some(Rule::WentBack));
}

#[test]
fn a_job_is_cancelled_that_nobody_cancelled() {
    assert_eq!(poll(&mut accepted(), Cancelled), Some(Rule::WentBack));
    let mut h = accepted();
    let other = h.sent("req-0002", 0, Request::Cancel);
    h.answered(other, UNABLE);
    assert_eq!(poll(&mut h, Cancelled), Some(Rule::WentBack), "another job was cancelled");
}

#[test]
fn a_cancellation_counts_from_when_it_was_sent() {
    let mut h = accepted();
    let pending = h.sent(JOB, 0, Request::Cancel);
    assert_eq!(poll(&mut h, Cancelled), None);
    assert!(h.answered(pending, Answer::known(Cancelled)).is_none());
}

#[test]
fn a_job_is_cancelled_with_what_it_needs() {
    let chain = || {
        let mut h = accepted();
        h.dependencies(JOB, &["req-0002".to_owned()]);
        h.dependencies("req-0002", &["req-0003".to_owned()]);
        h
    };
    assert_eq!(poll(&mut chain(), Cancelled), Some(Rule::WentBack), "none of them was cancelled");
    for dependency in ["req-0002", "req-0003"] {
        let mut h = chain();
        let _pending = h.sent(dependency, 0, Request::Cancel);
        assert_eq!(poll(&mut h, Cancelled), None, "with {dependency}");
        assert_eq!(poll(&mut h, Running), Some(Rule::WentBack));
    }
    // A dependency that is done is not cancelled, and neither is the job that depends on it.
    let mut h = chain();
    let submission = h.sent("req-0002", 0, Request::SUBMIT);
    h.answered(submission, Answer::ACCEPTED);
    h.tasks_done("req-0002");
    let cancellation = h.sent("req-0002", 0, Request::Cancel);
    assert!(h.answered(cancellation, Answer::known(Done)).is_none());
    assert_eq!(poll(&mut h, Cancelled), Some(Rule::WentBack));
}

#[test]
fn a_job_is_called_done_too_early() {
    assert_eq!(poll(&mut accepted(), Done), Some(Rule::NotDone));
    assert_eq!(cancel(&mut accepted(), Answer::known(Done)), Some(Rule::NotDone));
}

#[test]
fn a_job_that_nobody_submitted_has_a_state() {
    assert_eq!(poll(&mut History::default(), Queued), Some(Rule::Invented));
    assert_eq!(cancel(&mut History::default(), Answer::known(Cancelled)), Some(Rule::Invented));
}

#[test]
fn a_job_that_was_refused_has_a_state() {
    let unfit = Request::Submit { unfit: Some(Unfit::CannotRun) };
    let mut h = History::default();
    assert_eq!(ask(&mut h, 0, unfit, Answer::REFUSED), None);
    assert_eq!(poll(&mut h, Queued), Some(Rule::Invented));
}

#[test]
fn an_unfit_job_is_accepted() {
    for why in [Unfit::LacksField, Unfit::CannotRun] {
        let unfit = Request::Submit { unfit: Some(why) };
        let mut h = History::default();
        assert_eq!(ask(&mut h, 0, unfit, Answer::ACCEPTED), Some(Rule::AcceptedUnfit));
        assert!(h.violations()[0].to_string().contains(&why.to_string()), "{}", h.violations()[0]);
        // An unfit repeated submission of an accepted job may be refused, or answered like any other.
        assert_eq!(ask(&mut accepted(), 0, unfit, Answer::REFUSED), None);
        assert_eq!(ask(&mut accepted(), 0, unfit, Answer::known(Queued)), None);
    }
}

#[test]
fn a_good_job_is_refused() {
    assert_eq!(submit(&mut History::default(), Answer::REFUSED), Some(Rule::Refused));
}

#[test]
fn a_job_is_accepted_twice() {
    assert_eq!(submit(&mut accepted(), Answer::ACCEPTED), Some(Rule::AcceptedTwice));
}

#[test]
fn a_cancellation_is_answered_with_something_else() {
    for state in [Queued, Running] {
        assert_eq!(cancel(&mut accepted(), Answer::known(state)), Some(Rule::NotCancelled));
    }
}

#[test]
fn answers_that_do_not_belong_to_the_request() {
    let without_state = Answer { status: 200, state: None };
    for request in [Request::SUBMIT, Request::Poll, Request::Cancel] {
        assert_eq!(ask(&mut accepted(), 0, request, without_state), Some(Rule::Malformed));
    }
    assert_eq!(ask(&mut accepted(), 0, Request::Poll, Answer::ACCEPTED), Some(Rule::Malformed));
    assert_eq!(ask(&mut accepted(), 0, Request::Poll, Answer::REFUSED), Some(Rule::Malformed));
    assert_eq!(submit(&mut accepted(), Answer::ABSENT), Some(Rule::Malformed));
}

/// A request that was sent before an answer was received may still be answered with the earlier state.
#[test]
fn overlapping_requests_are_answered_in_either_order() {
    let mut h = History::default();
    let early_poll = h.sent(JOB, 1, Request::Poll);
    assert_eq!(submit(&mut h, Answer::ACCEPTED), None);
    assert!(h.answered(early_poll, Answer::ABSENT).is_none(), "it was sent before the job was accepted");

    let (a, b) = (h.sent(JOB, 1, Request::Poll), h.sent(JOB, 2, Request::SUBMIT));
    h.tasks_done(JOB);
    assert_eq!(poll(&mut h, Done), None);
    let later: Pending = h.sent(JOB, 2, Request::Poll);
    assert!(h.answered(a, Answer::known(Running)).is_none());
    assert!(h.answered(b, Answer::known(Queued)).is_none());
    assert!(h.answered(later, Answer::known(Running)).is_some_and(|v| v.rule == Rule::WentBack));
}

/// A job has one end: even overlapping requests must not be answered with two different ends.
#[test]
fn overlapping_requests_hear_of_one_end_only() {
    let mut h = accepted();
    let (a, b) = (h.sent(JOB, 1, Request::Cancel), h.sent(JOB, 2, Request::Poll));
    h.tasks_done(JOB);
    assert!(h.answered(a, Answer::known(Cancelled)).is_none());
    assert!(h.answered(b, Answer::known(Done)).is_some_and(|v| v.rule == Rule::WentBack));
}

#[test]
fn answers_of_a_controller_after_an_event() {
    let mut h = accepted();
    let before = h.events();
    assert_eq!(poll(&mut h, Queued), None);
    assert_eq!(ask(&mut h, 1, Request::Poll, UNABLE), None);
    let _unanswered = h.sent(JOB, 1, Request::Poll);
    assert_eq!(h.answers_of(1, before).count(), 1);
    assert_eq!(h.answers_of(1, h.events()).count(), 0);
    assert_eq!(h.operations(JOB).len(), 4);
}
