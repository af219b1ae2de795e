//! Answers that are held back: a request is executed when it arrives, and its answer waits until a test releases it.

use crate::http::lock;
use async_io::Timer;
use lupinspur::http::Incoming;
use std::sync::Mutex;
use std::time::{Duration, Instant};

type Wanted = Box<dyn Fn(&Incoming) -> bool + Send>;

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
        lock(&self.0).wanted = Some(Box::new(wanted));
    }

    /// No further answers are held back; those that are held stay so.
    pub fn hold_no_more(&self) {
        lock(&self.0).wanted = None;
    }

    /// The place of this request among those that are held back, if it is one of them.
    pub fn enter(&self, request: &Incoming) -> Option<usize> {
        let mut inner = lock(&self.0);
        let wanted = inner.wanted.as_ref().is_some_and(|w| w(request));
        wanted.then(|| {
            inner.held += 1;
            inner.held
        })
    }

    /// Waits until the answer with this place is released.
    pub async fn pass(&self, place: Option<usize>) {
        while place.is_some_and(|p| p > lock(&self.0).released) {
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
