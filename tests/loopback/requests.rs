//! Test jobs, and a client that sends users' requests.

use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Prefix of the ids of services: their tasks do not end by themselves.
pub const SERVICES: &str = "req-0007";

/// Prefix of the ids of arrays whose tasks do not end during a test.
pub const LONG: &str = "req-0299";

/// Prefix of the ids of jobs whose tasks end far apart, in the order of their numbers.
pub const MIN_LEAD: &str = "req-0288";

/// Returns a submission of team red: each task takes one cpu and 1 GB of memory.
pub fn job(id: &str, habit: &str, tasks: u32) -> Value {
    json!({"id": id, "breed": "any", "herd": "red", "habit": habit, "precedence": "standard", "seeds": tasks,
        "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "bulb": "img", "pull_gb": 0.1, "strains": null, "field": null,
        "same_place": false, "scatter": false, "fallow": false, "expected_s": 1.0, "pressing_s": 0.0,
        "pressing_cost_s": 0.0, "harvest_s": null})
}

/// A user of the HTTP API.
pub struct User {
    pub client: Client,
}

impl User {
    /// Sends one request. Returns the status and the body, or status 0 if there was no response.
    pub fn ask(&self, at: SocketAddr, method: Method, path: &str, body: Option<Vec<u8>>) -> (u16, Value) {
        let call = self.client.call(at, method, path, body, Duration::from_secs(5));
        match async_io::block_on(call) {
            Ok((status, body)) => (status, serde_json::from_slice(&body).unwrap_or_default()),
            Err(_) => (0, Value::Null),
        }
    }

    /// Repeats a request at each of these controllers until a response satisfies `is_expected`. Returns its body.
    pub fn ask_until(
        &self,
        at: &[SocketAddr],
        method: Method,
        path: &str,
        body: Option<&Value>,
        is_expected: impl Fn(u16, &Value) -> bool,
    ) -> Value {
        let began = Instant::now();
        let mut last = (0, Value::Null);
        while began.elapsed() < Duration::from_secs(40) {
            for address in at {
                last = self.ask(*address, method, path, body.map(|v| serde_json::to_vec(v).expect("JSON")));
                if is_expected(last.0, &last.1) {
                    return last.1;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("{method} {path}: no expected response; the last one was {last:?}");
    }
}
