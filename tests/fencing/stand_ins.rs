//! Stand-ins for the state service and the cloud. A test can hold their responses, refuse requests and expire a
//! controller's lease.

use super::*;
use crate::gate::Gate;
use std::sync::atomic::AtomicBool;

/// The requests that are answered without being executed, and the status and body of the response.
type CannedResponse = (Box<dyn Fn(&Incoming) -> bool + Send>, u16, Value);

/// The state service and the cloud, whose responses can be held.
#[derive(Default)]
pub struct Services {
    pub store: Arc<Mutex<Store>>,
    pub gate: Gate,
    /// Requests that are not executed, and the response to them.
    canned: Mutex<Option<CannedResponse>>,
    canned_responses: AtomicU64,
    leases: AtomicU64,
    /// The controller's lease has expired, and it has not requested another yet.
    lease_expired: AtomicBool,
    /// The cloud's list of machines.
    listed: Mutex<Vec<Value>>,
    /// Machines that the cloud was asked to delete.
    pub deleted: Mutex<Vec<String>>,
}

impl Services {
    async fn state(self: Arc<Self>, request: Incoming) -> Outgoing {
        if let Some(answer) = self.canned_response(&request) {
            return answer;
        }
        if request.path == "/grants" {
            self.leases.fetch_add(1, Ordering::Relaxed);
            self.lease_expired.store(false, Ordering::Relaxed);
        }
        let answer = match request.path.starts_with("/grants/") {
            true => self.renew(),
            false => state(self.store.clone(), copy(&request)).await,
        };
        self.gate.pass(&request, &answer).await;
        answer
    }

    fn canned_response(&self, request: &Incoming) -> Option<Outgoing> {
        let canned = lock(&self.canned);
        let (_, status, answer) = canned.as_ref().filter(|(selects, _, _)| selects(request))?;
        self.canned_responses.fetch_add(1, Ordering::Relaxed);
        Some(Outgoing::json(*status, answer))
    }

    /// Answers the selected requests with this response from now on, without executing them.
    pub fn answer_instead(&self, selector: impl Fn(&Incoming) -> bool + Send + 'static, status: u16, answer: Value) {
        *lock(&self.canned) = Some((Box::new(selector), status, answer));
    }

    /// Executes all requests again.
    pub fn answer_as_usual(&self) {
        *lock(&self.canned) = None;
    }

    /// Returns how many requests were answered without being executed.
    pub fn answered_instead(&self) -> u64 {
        self.canned_responses.load(Ordering::Relaxed)
    }

    /// Returns how many leases were requested.
    pub fn leases(&self) -> u64 {
        self.leases.load(Ordering::Relaxed)
    }

    /// Starts a controller that uses these services; `settings` holds additional lines of its settings.
    pub fn start_with(self: &Arc<Self>, name: &str, settings: &str) -> Controller {
        let (for_state, for_cloud) = (self.clone(), self.clone());
        let state = server(move |request| for_state.clone().state(request));
        let cloud = server(move |request| for_cloud.clone().cloud(request));
        Controller::start_with_services(name, self.store.clone(), state, cloud, settings)
    }

    fn renew(&self) -> Outgoing {
        if self.lease_expired.load(Ordering::Relaxed) {
            return Outgoing::json(404, &json!({}));
        }
        lock(&self.store).renewed = Some(Instant::now());
        Outgoing::json(200, &json!({}))
    }

    async fn cloud(self: Arc<Self>, request: Incoming) -> Outgoing {
        if let Some(answer) = self.canned_response(&request) {
            return answer;
        }
        let answer = match (request.method, request.path.as_str()) {
            (Method::Get, "/machines") => {
                Outgoing::json(200, &json!({"plots": lock(&self.listed).clone(), "has_next": false}))
            }
            (_, "/machines/delete") => {
                let names = body(&request)["plots"].as_array().cloned().unwrap_or_default();
                lock(&self.deleted).extend(names.iter().filter_map(|n| n.as_str().map(str::to_owned)));
                Outgoing::json(200, &json!({}))
            }
            _ => cloud(copy(&request)).await,
        };
        self.gate.pass(&request, &answer).await;
        answer
    }

    /// Returns the version of the leadership record.
    pub fn leadership_version(&self) -> Option<u64> {
        lock(&self.store).keys.get(LEADERSHIP_KEY).map(|(_, version)| *version)
    }

    /// Expires the controller's lease and deletes its leadership record; returns the version of that record.
    pub fn end_lease(&self) -> u64 {
        let before = self.leadership_version().expect("a leadership record");
        self.lease_expired.store(true, Ordering::Relaxed);
        let drop = json!({"if": [], "writes": [{"drop": LEADERSHIP_KEY}]});
        assert_eq!(lock(&self.store).commit(&drop).status, 200);
        before
    }

    /// Waits until the controller has been elected again.
    pub fn until_elected_after(&self, before: u64) {
        until("a new leadership record", || self.leadership_version() > Some(before));
    }

    /// Writes a value as another controller would.
    pub fn write(&self, key: &str, value: &Value) {
        let put = json!({"if": [], "writes": [{"set": key, "v": value}]});
        assert_eq!(lock(&self.store).commit(&put).status, 200);
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        lock(&self.store).keys.get(key).map(|v| v.0.clone())
    }

    /// Holds the watch responses that contain changes of this job.
    pub fn hold_changes_of(&self, id: &'static str) {
        let names_job = move |request: &Incoming, answer: &Outgoing| {
            is_list_of(request, "/follow", "job/") && String::from_utf8_lossy(&answer.body).contains(id)
        };
        self.gate.hold_responses(names_job);
    }

    /// Returns whether no stored machine record names this machine.
    pub fn has_no_record_of(&self, machine: &str) -> bool {
        let store = lock(&self.store);
        let mut records = store.keys.iter().filter(|(k, _)| k.starts_with("rack/") || k.starts_with("machine/"));
        !records.any(|(_, v)| v.0.to_string().contains(machine))
    }

    /// Sets the cloud's list of machines, each with its name and state.
    pub fn list(&self, machines: &[(&str, &str)]) {
        let machine = |(name, state): &(&str, &str)| {
            json!({"id": name, "addr": "127.0.0.1:9", "strain": "m8", "field": "a", "fallow": false, "bloom": state,
                "held_s": 100.0})
        };
        *lock(&self.listed) = machines.iter().map(machine).collect();
    }
}

fn copy(request: &Incoming) -> Incoming {
    Incoming {
        method: request.method,
        path: request.path.clone(),
        query: request.query.clone(),
        body: request.body.clone(),
    }
}

/// Waits until the condition holds; fails after `WAIT_TIMEOUT`.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Starts a controller with stand-ins for its services.
pub fn start(name: &str) -> (Arc<Services>, Controller) {
    let services: Arc<Services> = Arc::default();
    let controller = services.start_with(name, "");
    (services, controller)
}

/// Returns whether the request is a transaction that writes this key with a value that contains `part`.
pub fn writes(request: &Incoming, key: &str, part: &str) -> bool {
    let transaction = body(request);
    let writes = transaction["writes"].as_array().into_iter().flatten();
    request.path == "/commit" && writes.into_iter().any(|w| w["set"] == key && w["v"].to_string().contains(part))
}

/// Returns whether the request lists or watches this prefix.
pub fn is_list_of(request: &Incoming, path: &str, prefix: &str) -> bool {
    request.path == path && http::param(&request.query, "under").is_some_and(|p| p == prefix)
}

impl Controller {
    pub fn state_of(&self, id: &str) -> (u16, String) {
        let (status, answer) = self.ask(Method::Get, &format!("/work/{id}"), &Value::Null);
        (status, answer["bloom"].as_str().unwrap_or_default().to_owned())
    }

    /// Waits until polls of the job return this state; until then they may fail, but not return another state.
    pub fn until_state_is(&self, id: &str, state: &str) {
        until(state, || {
            let (status, reported) = self.state_of(id);
            assert!(status != 200 || reported == state, "{id} is reported as {reported}, expected {state}");
            status == 200
        });
    }

    /// Polls the job for a while and fails if a response has one of the wrong states. Returns the number of successful
    /// responses.
    pub fn assert_state_is_not(&self, id: &str, wrong: &[&str], during: Duration) -> usize {
        let (began, mut answered) = (Instant::now(), 0);
        while began.elapsed() < during {
            let (status, state) = self.state_of(id);
            assert!(
                status != 200 || !wrong.contains(&state.as_str()),
                "{id} is reported as {state}, expected none of {wrong:?}"
            );
            answered += usize::from(status == 200);
            std::thread::sleep(Duration::from_millis(10));
        }
        answered
    }
}
