//! Requests and answers as handlers see them.

use http_types::{Body, Method, Response, StatusCode};

/// A request as the service sees it: small, whole and checked for size.
pub struct Incoming {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

pub struct Outgoing {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    /// Until when this may be said, by the steady clock; a pause may lie between its making and
    /// its sending.
    pub good_until: Option<f64>,
}

impl Outgoing {
    pub fn json(status: u16, v: &impl serde::Serialize) -> Outgoing {
        Outgoing { status, body: serde_json::to_vec(v).unwrap_or_default(), retry_after_s: None, good_until: None }
    }

    /// The same, to be said only until then.
    pub fn until(self, good_until: Option<f64>) -> Outgoing {
        Outgoing { good_until, ..self }
    }

    /// What is sent at this moment: what may be said no more is not.
    pub(super) fn now(self, now: f64) -> Outgoing {
        if self.good_until.is_some_and(|t| now >= t) { Outgoing::error(503, "not able to act now") } else { self }
    }
    pub fn error(status: u16, reason: &str) -> Outgoing {
        let mut o = Outgoing::json(status, &crate::wire::ErrorAnswer { error: reason });
        if matches!(status, 429 | 503 | 504) {
            o.retry_after_s = Some(1);
        }
        o
    }
}

pub(super) fn response(o: Outgoing, close: bool) -> Response {
    let mut res = Response::new(StatusCode::try_from(o.status).unwrap_or(StatusCode::InternalServerError));
    res.set_body(Body::from_bytes(o.body));
    res.insert_header("content-type", "application/json");
    if let Some(s) = o.retry_after_s {
        res.insert_header("retry-after", s.to_string());
    }
    if close {
        res.insert_header("connection", "close");
    }
    res
}
