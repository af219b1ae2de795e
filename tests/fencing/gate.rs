//! Delays responses: a request is executed on arrival, and its response is held until the test releases it.

use crate::http::lock;
use async_io::Timer;
use lupinspur::http::{Incoming, Outgoing};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Selects the responses to hold, by request and response.
type Selector = Box<dyn Fn(&Incoming, &Outgoing) -> bool + Send>;

#[derive(Default)]
struct Inner {
    selector: Option<Selector>,
    held: usize,
    released: usize,
}

/// Holds the responses that a test selects.
#[derive(Default)]
pub struct Gate(Mutex<Inner>);

impl Gate {
    /// Holds the responses to the selected requests from now on.
    pub fn hold(&self, selector: impl Fn(&Incoming) -> bool + Send + 'static) {
        self.hold_responses(move |request, _| selector(request));
    }

    /// Holds the selected responses from now on.
    pub fn hold_responses(&self, selector: impl Fn(&Incoming, &Outgoing) -> bool + Send + 'static) {
        lock(&self.0).selector = Some(Box::new(selector));
    }

    /// Holds no further responses; those that are already held stay held.
    pub fn hold_no_more(&self) {
        lock(&self.0).selector = None;
    }

    /// Waits until this response is released, if it is selected.
    pub async fn pass(&self, request: &Incoming, response: &Outgoing) {
        let position = {
            let mut inner = lock(&self.0);
            if !inner.selector.as_ref().is_some_and(|selects| selects(request, response)) {
                return;
            }
            inner.held += 1;
            inner.held
        };
        while lock(&self.0).released < position {
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Releases the oldest held response, or the next one that will be held.
    pub fn release(&self) {
        lock(&self.0).released += 1;
    }

    /// Waits until `count` responses have been held.
    pub fn until_held(&self, count: usize) {
        let began = Instant::now();
        while lock(&self.0).held < count {
            assert!(began.elapsed() < super::WAIT_TIMEOUT, "{count} responses should have been held");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
