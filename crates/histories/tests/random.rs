//! Random histories: what a correct service answers passes, and of arbitrary answers the same ones are found
//! as by the rules spelled out over all pairs of operations.

use lupinspur_histories::{Answer, History, Pending, Request, Unfit};
use lupinspur_wire::JobState::{self, Cancelled, Done, Queued, Running};
use proptest::prelude::*;

const JOB: &str = "req-0001";
/// Moments of a history; all tasks of the job may be done from one of them on.
const MOMENTS: u32 = 200;
const CASES: u32 = 2000;

/// A request that is sent, carried out and answered at these moments.
#[derive(Debug, Clone, Copy)]
struct Call {
    request: Request,
    node: usize,
    sent: u32,
    carried_out: u32,
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
    let moments = (0..MOMENTS, 0..30u32, 0..30u32);
    (request(), 0..3usize, moments, prop::bool::weighted(0.1)).prop_map(
        |(request, node, (sent, until_carried_out, until_received), answer_is_lost)| {
            let carried_out = sent + until_carried_out;
            Call { request, node, sent, carried_out, received: carried_out + until_received, answer_is_lost }
        },
    )
}

/// What happens at a moment; of several at the same moment the first of these is the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sent(usize),
    TasksDone,
    CarriedOut(usize),
    Received(usize),
}

fn events(calls: &[Call], tasks_done: u32) -> Vec<Event> {
    let mut events = vec![(tasks_done, Event::TasksDone)];
    for (i, c) in calls.iter().enumerate() {
        events.extend([(c.sent, Event::Sent(i)), (c.carried_out, Event::CarriedOut(i))]);
        events.extend((!c.answer_is_lost).then_some((c.received, Event::Received(i))));
    }
    events.sort_unstable();
    events.into_iter().map(|(_, e)| e).collect()
}

/// A service that is right: one job, which changes when a request is carried out.
#[derive(Default)]
struct Service {
    state: Option<JobState>,
    carried_out: u32,
}

impl Service {
    fn carry_out(&mut self, request: Request, tasks_done: bool) -> Answer {
        self.carried_out += 1;
        match (request, self.state) {
            (Request::Submit { unfit: Some(_) }, _) => return Answer::REFUSED,
            (Request::Submit { unfit: None }, None) => {
                self.state = Some(Queued);
                return Answer::ACCEPTED;
            }
            (Request::Cancel, Some(Queued | Running)) => self.state = Some(Cancelled),
            // It tells done a little late, and stops and starts tasks as it likes.
            (Request::Poll, Some(Queued | Running)) if tasks_done && self.carried_out.is_multiple_of(2) => {
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

/// The rules over all pairs: is the answer to call `b` wrong, given all that was received until then? `order`
/// has the events in the order in which they happened.
fn is_wrong(order: &[Event], calls: &[Call], answers: &[Answer], b: usize) -> bool {
    let at = |event: Event| order.iter().position(|e| *e == event);
    let (sent, received) = (at(Event::Sent(b)), at(Event::Received(b)));
    let (request, answer) = (calls[b].request, answers[b]);
    let was = |event: Event, until: Option<usize>| at(event).is_some_and(|t| Some(t) < until);
    let told_before =
        |a: usize, until: Option<usize>| answers[a].told().filter(|_| a != b && was(Event::Received(a), until));
    let all = || 0..calls.len();
    let accepted = all().any(|a| told_before(a, sent).is_some());
    let is_submission = |r: Request| matches!(r, Request::Submit { .. });
    let Some(state) = answer.told() else {
        return match answer.status {
            404 => accepted || is_submission(request),
            422 => !matches!(request, Request::Submit { unfit: Some(_) }),
            _ => false,
        };
    };
    let hopeful = |a: usize| {
        let refused = answers[a].is_refusal() && was(Event::Received(a), received);
        calls[a].request == Request::SUBMIT && was(Event::Sent(a), received) && !refused
    };
    // Of the ends that were received the first holds: later other ones are wrong themselves.
    let ends_before = |until| {
        let told = order.iter().enumerate().filter_map(|(t, e)| match e {
            Event::Received(a) if Some(t) < until && *a != b => told_before(*a, until),
            _ => None,
        });
        told.into_iter().find(|s| is_end(*s))
    };
    let asked_to_cancel = all().any(|a| calls[a].request == Request::Cancel && was(Event::Sent(a), received));
    !all().any(hopeful)
        || ends_before(sent).is_some_and(|end| end != state)
        || is_end(state) && ends_before(received).is_some_and(|end| end != state)
        || state == Cancelled && !asked_to_cancel
        || state == Done && !was(Event::TasksDone, received)
        || request == Request::Cancel && !is_end(state)
        || answer.status == 201 && (accepted || !is_submission(request))
}

/// Plays the events; `answer` gives each call's answer when it is carried out. Returns the calls whose answers
/// were found to be wrong.
fn play(order: &[Event], calls: &[Call], mut answer: impl FnMut(usize, bool) -> Answer) -> Vec<usize> {
    let mut history = History::default();
    let mut pending: Vec<Option<Pending>> = calls.iter().map(|_| None).collect();
    let mut answers = vec![Answer::ABSENT; calls.len()];
    let (mut tasks_done, mut wrong) = (false, Vec::new());
    for event in order {
        match *event {
            Event::Sent(i) => pending[i] = Some(history.sent(JOB, calls[i].node, calls[i].request)),
            Event::CarriedOut(i) => answers[i] = answer(i, tasks_done),
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
        tasks_done in 0..MOMENTS,
    ) {
        let order = events(&calls, tasks_done);
        let mut service = Service::default();
        let wrong = play(&order, &calls, |i, tasks_done| service.carry_out(calls[i].request, tasks_done));
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }

    #[test]
    fn arbitrary_answers_are_judged_as_by_all_pairs(
        calls in prop::collection::vec((call(), answer()), 1..12),
        tasks_done in 0..MOMENTS,
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
        tasks_done in 0..MOMENTS,
        older in prop::sample::select(vec![Answer::known(Queued), Answer::known(Running), Answer::ABSENT]),
    ) {
        let order = events(&calls, tasks_done);
        let mut service = Service::default();
        let mut answers = vec![Answer::ABSENT; calls.len()];
        play(&order, &calls, |i, tasks_done| {
            answers[i] = service.carry_out(calls[i].request, tasks_done);
            answers[i]
        });
        let position = |event| order.iter().position(|e| *e == event).expect("it happened");
        let ended = (0..calls.len())
            .filter(|i| !calls[*i].answer_is_lost && answers[*i].told().is_some_and(is_end))
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
