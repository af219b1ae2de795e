//! Jobs, and users who ask for them.

use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Jobs named like this are services: their tasks do not end by themselves.
pub const SERVICES: &str = "req-0007";

/// A job whose tasks do not end while a test lasts.
pub const LONG: &str = "req-0299";

/// The tasks of jobs named like this end far apart, in the order of their numbers.
pub const MIN_LEAD: &str = "req-0288";

pub fn job(id: &str, habit: &str, tasks: u32) -> Value {
    json!({"id": id, "breed": "any", "herd": "red", "habit": habit, "precedence": "standard", "seeds": tasks,
        "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "bulb": "img", "pull_gb": 0.1, "strains": null, "field": null,
        "same_place": false, "scatter": false, "fallow": false, "expected_s": 1.0, "pressing_s": 0.0,
        "pressing_cost_s": 0.0, "harvest_s": null})
}

pub struct User {
    pub client: Client,
}

impl User {
    pub fn ask(&self, at: SocketAddr, method: Method, path: &str, b: Option<Vec<u8>>) -> (u16, Value) {
        let call = self.client.call(at, method, path, b, Duration::from_secs(5));
        match async_io::block_on(call) {
            Ok((s, b)) => (s, serde_json::from_slice(&b).unwrap_or_default()),
            Err(_) => (0, Value::Null),
        }
    }

    /// Asks again, at each of these nodes, until the answer is as wanted.
    pub fn until(
        &self,
        at: &[SocketAddr],
        method: Method,
        path: &str,
        b: Option<&Value>,
        good: impl Fn(u16, &Value) -> bool,
    ) -> Value {
        let began = Instant::now();
        let mut last = (0, Value::Null);
        while began.elapsed() < Duration::from_secs(40) {
            for a in at {
                last = self.ask(*a, method, path, b.map(|v| serde_json::to_vec(v).expect("JSON")));
                if good(last.0, &last.1) {
                    return last.1;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("{method} {path} never came out as wanted; the last answer was {last:?}");
    }
}
