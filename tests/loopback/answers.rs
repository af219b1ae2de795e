//! What users were answered, and whether a later answer is older.

use crate::http::lock;
use crate::requests::User;
use http_types::Method;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;

/// The least that every controller has to know of a job from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Known {
    #[default]
    Nothing,
    Accepted,
    Final(String),
}

/// A user's request about a job.
#[derive(Clone, Copy, Debug)]
pub enum Request<'a> {
    Poll,
    Submit(&'a Value),
    Cancel,
}

/// Asks controllers, and checks each answer against all that were given before it was asked for.
#[derive(Default)]
pub struct Answers {
    known: Mutex<BTreeMap<String, Known>>,
    cancel_asked: Mutex<BTreeSet<String>>,
    wrong: Mutex<Vec<String>>,
}

impl Answers {
    pub fn known(&self, id: &str) -> Known {
        lock(&self.known).get(id).cloned().unwrap_or_default()
    }

    /// A job that this one needs is being cancelled, and this one with it.
    pub fn need_is_cancelled(&self, id: &str) {
        lock(&self.cancel_asked).insert(id.to_owned());
    }

    /// Asks one controller. Returns the job's state, if the answer tells one.
    pub fn ask(&self, user: &User, at: SocketAddr, id: &str, request: Request<'_>) -> Option<String> {
        let before = self.known(id);
        let (status, answer) = match request {
            Request::Poll => user.ask(at, Method::Get, &format!("/work/{id}"), None),
            Request::Submit(job) => user.ask(at, Method::Post, "/work", serde_json::to_vec(job).ok()),
            Request::Cancel => {
                lock(&self.cancel_asked).insert(id.to_owned());
                user.ask(at, Method::Post, &format!("/work/{id}/withdraw"), None)
            }
        };
        let state = answer["bloom"].as_str().filter(|_| matches!(status, 200 | 201)).map(str::to_owned);
        if let Some(fault) = self.fault(&before, id, request, status, state.as_deref()) {
            let text = format!("{fault}: {id} was {before:?}, then {at} answered {request:?} with {status} {answer}");
            lock(&self.wrong).push(text);
        }
        if let Some(state) = &state {
            self.learn(id, state);
        }
        state
    }

    fn fault(
        &self,
        before: &Known,
        id: &str,
        request: Request<'_>,
        status: u16,
        state: Option<&str>,
    ) -> Option<&'static str> {
        let submission = matches!(request, Request::Submit(_));
        match (status, state) {
            (400 | 422, _) => Some("refused"),
            (404, _) if submission => Some("unknown"),
            (404, _) if *before != Known::Nothing => Some("forgotten"),
            (201, _) if matches!(before, Known::Final(_)) => Some("accepted once more"),
            (200 | 201, None) => Some("no state"),
            (200 | 201, Some(state)) if matches!(before, Known::Final(end) if end != state) => Some("older"),
            (200, Some("cancelled")) if !lock(&self.cancel_asked).contains(id) => Some("nobody cancelled it"),
            (200, Some("queued" | "running")) if matches!(request, Request::Cancel) => Some("not cancelled"),
            _ => None,
        }
    }

    fn learn(&self, id: &str, state: &str) {
        let is_final = matches!(state, "done" | "cancelled");
        let told = if is_final { Known::Final(state.to_owned()) } else { Known::Accepted };
        let mut known = lock(&self.known);
        let now = known.entry(id.to_owned()).or_default();
        match (&*now, &told) {
            (Known::Final(end), Known::Final(other)) if end != other => {
                lock(&self.wrong).push(format!("{id} was both {end} and {other}"));
            }
            (Known::Final(_), _) => {}
            _ => *now = told,
        }
    }

    /// Fails if any answer was older than one given before, or wrong in itself.
    pub fn check(&self) {
        let wrong = lock(&self.wrong);
        assert!(wrong.is_empty(), "{} answers were wrong, the first: {:?}", wrong.len(), wrong.first());
    }
}
