//! Requests and answers as handlers see them. Knows no sockets.

use http_types::{Body, Method, Response, StatusCode};

/// A request as the service sees it: small, whole and checked for size.
pub struct Incoming {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

/// An answer: JSON with its status.
pub struct Outgoing {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    /// Until when this may be sent, in seconds of the steady clock; a pause may lie between its making and
    /// its sending.
    pub good_until: Option<f64>,
}

impl Outgoing {
    /// An answer with this value as its body.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Outgoing {
        Outgoing { status, body: serde_json::to_vec(value).unwrap_or_default(), retry_after_s: None, good_until: None }
    }

    /// The same, to be sent only until then; none: at any time.
    pub fn until(self, good_until: Option<f64>) -> Outgoing {
        Outgoing { good_until, ..self }
    }

    /// What is sent at this moment: 503 in place of an answer that is no longer valid.
    pub(super) fn now(self, now: f64) -> Outgoing {
        if self.good_until.is_some_and(|good_until| now >= good_until) {
            Outgoing::error(503, "not able to act now")
        } else {
            self
        }
    }

    /// An error; one that may pass asks for another try after a second.
    pub fn error(status: u16, reason: &str) -> Outgoing {
        let mut answer = Outgoing::json(status, &crate::wire::ErrorResponse { error: reason });
        if matches!(status, 429 | 503 | 504) {
            answer.retry_after_s = Some(1);
        }
        answer
    }
}

pub(super) fn response(answer: Outgoing, close: bool) -> Response {
    let mut response = Response::new(StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError));
    response.set_body(Body::from_bytes(answer.body));
    response.insert_header("content-type", "application/json");
    if let Some(seconds) = answer.retry_after_s {
        response.insert_header("retry-after", seconds.to_string());
    }
    if close {
        response.insert_header("connection", "close");
    }
    response
}
