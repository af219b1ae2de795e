//! Answers that are held back: a request is executed when it arrives, and its answer waits until a test releases it.

use crate::http::lock;
use async_io::Timer;
use lupinspur::http::{Incoming, Outgoing};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// By a request and the answer to it.
type Wanted = Box<dyn Fn(&Incoming, &Outgoing) -> bool + Send>;

#[derive(Default)]
struct Inner {
    wanted: Option<Wanted>,
    held: usize,
    released: usize,
}

/// Holds back the answers to the requests that a test names.
#[derive(Default)]
pub struct Gate(Mutex<Inner>);

impl Gate {
    /// From now on the answers to such requests are held back.
    pub fn hold(&self, wanted: impl Fn(&Incoming) -> bool + Send + 'static) {
        self.hold_answers(move |request, _| wanted(request));
    }

    /// From now on such answers are held back.
    pub fn hold_answers(&self, wanted: impl Fn(&Incoming, &Outgoing) -> bool + Send + 'static) {
        lock(&self.0).wanted = Some(Box::new(wanted));
    }

    /// No further answers are held back; those that are held stay so.
    pub fn hold_no_more(&self) {
        lock(&self.0).wanted = None;
    }

    /// Waits with this answer until it is released, if it is one of those that are held back.
    pub async fn pass(&self, request: &Incoming, answer: &Outgoing) {
        let place = {
            let mut inner = lock(&self.0);
            if !inner.wanted.as_ref().is_some_and(|wanted| wanted(request, answer)) {
                return;
            }
            inner.held += 1;
            inner.held
        };
        while lock(&self.0).released < place {
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Lets the next answer go that is held back, or will be.
    pub fn release(&self) {
        lock(&self.0).released += 1;
    }

    /// Waits until so many answers were held back.
    pub fn until_held(&self, count: usize) {
        let began = Instant::now();
        while lock(&self.0).held < count {
            assert!(began.elapsed() < super::WAITS_AT_MOST, "no {count} answers are held back");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
