//! Requests and responses as handlers see them, independent of sockets.

use http_types::{Body, Method, Response, StatusCode};

/// A request that was read completely and is within the size limits.
pub struct Incoming {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

/// A response: a status and a JSON body.
pub struct Outgoing {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    /// The time until which the response may be sent, in seconds of the monotonic clock. The process may be paused
    /// between building a response and sending it.
    pub valid_until: Option<f64>,
}

impl Outgoing {
    /// Creates a response with this value as its body.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Outgoing {
        Outgoing { status, body: serde_json::to_vec(value).unwrap_or_default(), retry_after_s: None, valid_until: None }
    }

    /// Returns the response with the time until which it may be sent; `None` sets no limit.
    pub fn valid_until(self, valid_until: Option<f64>) -> Outgoing {
        Outgoing { valid_until, ..self }
    }

    /// Returns the response to send at time `now`: 503 in place of a response that is no longer valid.
    pub(super) fn unless_expired(self, now: f64) -> Outgoing {
        if self.valid_until.is_some_and(|valid_until| now >= valid_until) {
            Outgoing::error(503, "not able to act now")
        } else {
            self
        }
    }

    /// Creates an error response. A temporary error asks the client to retry after a second.
    pub fn error(status: u16, reason: &str) -> Outgoing {
        let mut outgoing = Outgoing::json(status, &crate::wire::ErrorResponse { error: reason });
        if matches!(status, 429 | 503 | 504) {
            outgoing.retry_after_s = Some(1);
        }
        outgoing
    }
}

/// Builds the HTTP response; `close` announces that the connection will be closed.
pub(super) fn response(outgoing: Outgoing, close: bool) -> Response {
    let mut response = Response::new(StatusCode::try_from(outgoing.status).unwrap_or(StatusCode::InternalServerError));
    response.set_body(Body::from_bytes(outgoing.body));
    response.insert_header("content-type", "application/json");
    if let Some(seconds) = outgoing.retry_after_s {
        response.insert_header("retry-after", seconds.to_string());
    }
    if close {
        response.insert_header("connection", "close");
    }
    response
}
