//! Random histories: all answers of a correct service pass, and of arbitrary answers exactly those are rejected that
//! violate the rules when these are checked on all pairs of operations.

use lupinspur_histories::{Answer, History, Pending, Request, Unfit};
use lupinspur_wire::JobState::{self, Cancelled, Done, Queued, Running};
use proptest::prelude::*;

const JOB: &str = "req-0001";
/// Length of a history in units of time; all tasks of the job are done from a random time on.
const HISTORY_LENGTH: u32 = 200;
const CASES: u32 = 2000;

/// A request, with the times at which it is sent, executed and answered.
#[derive(Debug, Clone, Copy)]
struct Call {
    request: Request,
    node: usize,
    sent: u32,
    executed: u32,
    received: u32,
    answer_is_lost: bool,
}

fn request() -> impl Strategy<Value = Request> {
    prop_oneof![
        3 => Just(Request::SUBMIT),
        6 => Just(Request::Poll),
        1 => Just(Request::Cancel),
        1 => Just(Request::Submit { unfit: Some(Unfit::CannotRun) }),
    ]
}

fn call() -> impl Strategy<Value = Call> {
    let times = (0..HISTORY_LENGTH, 0..30u32, 0..30u32);
    (request(), 0..3usize, times, prop::bool::weighted(0.1)).prop_map(
        |(request, node, (sent, until_executed, until_received), answer_is_lost)| {
            let executed = sent + until_executed;
            Call { request, node, sent, executed, received: executed + until_received, answer_is_lost }
        },
    )
}

/// An event; of several events at the same time the one listed first here happens first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sent(usize),
    TasksDone,
    Executed(usize),
    Received(usize),
}

fn events(calls: &[Call], tasks_done: u32) -> Vec<Event> {
    let mut events = vec![(tasks_done, Event::TasksDone)];
    for (index, call) in calls.iter().enumerate() {
        events.extend([(call.sent, Event::Sent(index)), (call.executed, Event::Executed(index))]);
        events.extend((!call.answer_is_lost).then_some((call.received, Event::Received(index))));
    }
    events.sort_unstable();
    events.into_iter().map(|(_, e)| e).collect()
}

/// A correct service with one job, which changes when a request is executed.
#[derive(Default)]
struct Service {
    state: Option<JobState>,
    executed: u32,
}

impl Service {
    fn execute(&mut self, request: Request, tasks_done: bool) -> Answer {
        self.executed += 1;
        match (request, self.state) {
            (Request::Submit { unfit: Some(_) }, _) => return Answer::REFUSED,
            (Request::Submit { unfit: None }, None) => {
                self.state = Some(Queued);
                return Answer::ACCEPTED;
            }
            (Request::Cancel, Some(Queued | Running)) => self.state = Some(Cancelled),
            // It reports done late at times, and stops and starts tasks at any time.
            (Request::Poll, Some(Queued | Running)) if tasks_done && self.executed.is_multiple_of(2) => {
                self.state = Some(Done);
            }
            (Request::Poll, Some(Queued)) => self.state = Some(Running),
            (Request::Poll, Some(Running)) => self.state = Some(Queued),
            _ => {}
        }
        self.state.map_or(Answer::ABSENT, Answer::known)
    }
}

fn answer() -> impl Strategy<Value = Answer> {
    let states = prop::sample::select(vec![Queued, Running, Done, Cancelled]);
    prop_oneof![
        8 => states.prop_map(Answer::known),
        2 => Just(Answer::ACCEPTED),
        2 => Just(Answer::ABSENT),
        1 => Just(Answer::REFUSED),
        1 => Just(Answer { status: 503, state: None }),
    ]
}

fn is_end(state: JobState) -> bool {
    matches!(state, Done | Cancelled)
}

/// Returns whether the answer to call `b` violates a rule, by all pairs of it and an earlier answer. `order` holds the
/// events in the order in which they happened.
fn is_wrong(order: &[Event], calls: &[Call], answers: &[Answer], b: usize) -> bool {
    let at = |event: Event| order.iter().position(|e| *e == event);
    let (sent, received) = (at(Event::Sent(b)), at(Event::Received(b)));
    let (request, answer) = (calls[b].request, answers[b]);
    let was = |event: Event, until: Option<usize>| at(event).is_some_and(|t| Some(t) < until);
    let reported_before = |a: usize, until: Option<usize>| {
        answers[a].reported_state().filter(|_| a != b && was(Event::Received(a), until))
    };
    let all = || 0..calls.len();
    let accepted = all().any(|a| reported_before(a, sent).is_some());
    let is_submission = |r: Request| matches!(r, Request::Submit { .. });
    let Some(state) = answer.reported_state() else {
        return match answer.status {
            404 => accepted || is_submission(request),
            422 => !matches!(request, Request::Submit { unfit: Some(_) }),
            _ => false,
        };
    };
    let may_be_accepted = |a: usize| {
        let refused = answers[a].is_refusal() && was(Event::Received(a), received);
        calls[a].request == Request::SUBMIT && was(Event::Sent(a), received) && !refused
    };
    // The first end that was received counts: later answers with another end are violations themselves.
    let ends_before = |until| {
        let reported = order.iter().enumerate().filter_map(|(t, e)| match e {
            Event::Received(a) if Some(t) < until && *a != b => reported_before(*a, until),
            _ => None,
        });
        reported.into_iter().find(|s| is_end(*s))
    };
    let cancellation_sent = all().any(|a| calls[a].request == Request::Cancel && was(Event::Sent(a), received));
    !all().any(may_be_accepted)
        || ends_before(sent).is_some_and(|end| end != state)
        || is_end(state) && ends_before(received).is_some_and(|end| end != state)
        || state == Cancelled && !cancellation_sent
        || state == Done && !was(Event::TasksDone, received)
        || request == Request::Cancel && !is_end(state)
        || answer.status == 201 && (accepted || !is_submission(request))
}

/// Records the events; `answer` returns each call's answer when it is executed. Returns the calls whose answers violate
/// a rule.
fn play(order: &[Event], calls: &[Call], mut answer: impl FnMut(usize, bool) -> Answer) -> Vec<usize> {
    let mut history = History::default();
    let mut pending: Vec<Option<Pending>> = calls.iter().map(|_| None).collect();
    let mut answers = vec![Answer::ABSENT; calls.len()];
    let (mut tasks_done, mut wrong) = (false, Vec::new());
    for event in order {
        match *event {
            Event::Sent(i) => pending[i] = Some(history.sent(JOB, calls[i].node, calls[i].request)),
            Event::Executed(i) => answers[i] = answer(i, tasks_done),
            Event::TasksDone => {
                tasks_done = true;
                history.tasks_done(JOB);
            }
            Event::Received(i) => {
                let pending = pending[i].take().expect("it was sent");
                wrong.extend(history.answered(pending, answers[i]).map(|_| i));
            }
        }
    }
    wrong
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(CASES) })]

    #[test]
    fn what_a_correct_service_answers_passes(
        calls in prop::collection::vec(call(), 1..40),
        tasks_done in 0..HISTORY_LENGTH,
    ) {
        let order = events(&calls, tasks_done);
        let mut service = Service::default();
        let wrong = play(&order, &calls, |i, tasks_done| service.execute(calls[i].request, tasks_done));
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }

    #[test]
    fn arbitrary_answers_are_judged_as_by_all_pairs(
        calls in prop::collection::vec((call(), answer()), 1..12),
        tasks_done in 0..HISTORY_LENGTH,
    ) {
        let (calls, answers): (Vec<Call>, Vec<Answer>) = calls.into_iter().unzip();
        let order = events(&calls, tasks_done);
        let mut found = play(&order, &calls, |i, _| answers[i]);
        found.sort_unstable();
        let expected: Vec<usize> = (0..calls.len())
            .filter(|i| !calls[*i].answer_is_lost && is_wrong(&order, &calls, &answers, *i))
            .collect();
        prop_assert_eq!(found, expected);
    }

    /// One answer of a correct service is replaced by an older one.
    #[test]
    fn an_answer_older_than_an_end_is_found(
        calls in prop::collection::vec(call(), 2..40),
        tasks_done in 0..HISTORY_LENGTH,
        older in prop::sample::select(vec![Answer::known(Queued), Answer::known(Running), Answer::ABSENT]),
    ) {
        let order = events(&calls, tasks_done);
        let mut service = Service::default();
        let mut answers = vec![Answer::ABSENT; calls.len()];
        play(&order, &calls, |i, tasks_done| {
            answers[i] = service.execute(calls[i].request, tasks_done);
            answers[i]
        });
        let position = |event| order.iter().position(|e| *e == event).expect("it happened");
        let ended = (0..calls.len())
            .filter(|i| !calls[*i].answer_is_lost && answers[*i].reported_state().is_some_and(is_end))
            .map(|i| position(Event::Received(i)))
            .min();
        let late = |i: &usize| {
            !calls[*i].answer_is_lost
                && calls[*i].request == Request::Poll
                && ended.is_some_and(|t| position(Event::Sent(*i)) > t)
        };
        let replaced = (0..calls.len()).find(late);
        prop_assume!(replaced.is_some());
        let wrong = play(&order, &calls, |i, _| if Some(i) == replaced { older } else { answers[i] });
        prop_assert_eq!(wrong, vec![replaced.expect("a poll")]);
    }
}
