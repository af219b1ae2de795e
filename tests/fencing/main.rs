//! Runs one real controller against a stand-in for the state service that records every request. The tests check the
//! conditions of the controller's writes, and how long it answers workers after its lease was renewed last.

use http_types::Method;
use lupinspur::http::{Client, Incoming, Outgoing};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

mod acceptance;
mod gate;
#[allow(dead_code)]
#[path = "../common/http.rs"]
mod http;
mod reclaim;
mod services;
mod stand_ins;
mod store;

use http::{body, free_port, lock, server};
use store::{Store, state};

/// The key of the leadership record.
const LEADERSHIP_KEY: &str = "own/0";
/// The lease duration that the controller requests for its leadership record.
const LEASE_DURATION: Duration = Duration::from_secs(4);
/// Time that the state service takes to answer a renewal; the controller's timeout is a little longer.
const RENEWAL_DELAY: Duration = Duration::from_millis(800);
/// An address on which no process listens.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:9";
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Offers one machine type without capacity: the leader learns of machines only by their heartbeats.
async fn cloud(request: Incoming) -> Outgoing {
    let strain = json!({"name": "m8", "cpus": 8, "cards": 0, "memory_gb": 16, "local_gb": 10, "pull_gb_per_s": 1.0,
        "hourly": 1.0, "spot_price": 0.3, "ready_s": 2, "fields": ["a"]});
    match (request.method, request.path.as_str()) {
        (_, "/flavors") => Outgoing::json(200, &json!({"strains": [strain]})),
        (Method::Get, "/machines") => Outgoing::json(200, &json!({"plots": [], "has_next": false})),
        (_, "/machines") => Outgoing::json(503, &json!({"error": "no capacity"})),
        _ => Outgoing::json(200, &json!({})),
    }
}

/// A controller process with its state service and a client.
struct Controller {
    store: Arc<Mutex<Store>>,
    address: SocketAddr,
    process: Child,
    settings: std::path::PathBuf,
    /// The file that receives the process's standard error.
    output: std::path::PathBuf,
    client: Client,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::thread::panicking() {
            eprintln!("{}", self.stderr_text());
        }
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.output);
    }
}

impl Controller {
    fn start(name: &str) -> Controller {
        let store: Arc<Mutex<Store>> = Arc::default();
        let served = store.clone();
        Controller::start_with_services(name, store, server(move |r| state(served.clone(), r)), server(cloud), "")
    }

    /// Starts a controller with the given addresses of the state service and the cloud, and with additional lines of
    /// settings. `store` holds the contents of the state service.
    fn start_with_services(
        name: &str,
        store: Arc<Mutex<Store>>,
        state: SocketAddr,
        cloud: SocketAddr,
        more: &str,
    ) -> Controller {
        let (address, peers) = (free_port(), free_port());
        let text = format!(
            "host_name = \"n0\"\ndomain = \"a\"\nbind = \"{address}\"\npeer_listen = \"{}\"\n{more}\
             [services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
             [cluster]\nzones = [\"a\"]\n[[cluster.teams]]\nname = \"red\"\n\
             [cluster.workers]\nreport_s = 0.3\nlease_s = 9.0\ncancel_s = 10.0\n\
             [cluster.state]\nrps = 500.0\nwrite_rps = 300.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
             [cluster.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n",
            peers
        );
        let settings = std::env::temp_dir().join(format!("lupinspur-fencing-{name}-{}.toml", std::process::id()));
        std::fs::write(&settings, text).expect("the settings file is written");
        let output = settings.with_extension("log");
        let stderr_file = std::fs::File::create(&output).expect("the output file is created");
        let mut program = Command::new(env!("CARGO_BIN_EXE_lupinspur"));
        program.stderr(stderr_file);
        let process =
            program.arg("--config").arg(&settings).env("LOG_LEVEL", "error").spawn().expect("the controller starts");
        Controller { store, address, process, settings, output, client: Client::new(1, 1) }
    }

    /// Returns what the process has written to its standard error.
    fn stderr_text(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Sends a request and returns the status and body of the response; status 0 if there is no response.
    fn ask(&self, method: Method, path: &str, body: &Value) -> (u16, Value) {
        let bytes = serde_json::to_vec(body).expect("JSON");
        let call = self.client.call(self.address, method, path, Some(bytes), Duration::from_secs(2));
        let answer = async_io::block_on(call);
        answer.map_or((0, Value::Null), |(status, b)| (status, serde_json::from_slice(&b).unwrap_or_default()))
    }

    fn submit(&self, id: &str) {
        let job = json!({"id": id, "breed": "any", "herd": "red", "habit": "batch", "precedence": "standard",
            "seeds": 2, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "bulb": "img", "pull_gb": 0.0, "strains": null,
            "field": null, "same_place": false, "scatter": false, "fallow": false, "expected_s": 1.0,
            "pressing_s": 0.0, "pressing_cost_s": 0.0, "harvest_s": null});
        let began = Instant::now();
        while !matches!(self.ask(Method::Post, "/work", &job).0, 200 | 201) {
            assert!(began.elapsed() < WAIT_TIMEOUT, "job {id} should be accepted");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// A machine that sends heartbeats and completes each task as soon as it is started.
#[derive(Default)]
struct Machine {
    /// The machine's number; machine 0 is named "host-1".
    number: u32,
    /// Tasks never complete.
    tasks_never_end: bool,
    /// The address that accepts direct commands; empty if there is none.
    address: String,
    /// The sequence number of the last heartbeat or response to a command.
    counter: Arc<AtomicU64>,
    token: u64,
    /// The attempt of each task.
    tasks: BTreeMap<String, u64>,
}

impl Machine {
    /// Sends one heartbeat, executes the commands in the reply, and returns the status.
    fn send_heartbeat(&mut self, to: &Controller) -> u16 {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        let ended = |(task, attempt): (&String, &u64)| json!({"seed": task, "sowing": attempt, "bloom": "ended", "wilt": "done"});
        let running = |(task, attempt): (&String, &u64)| json!({"seed": task, "sowing": attempt, "bloom": "running"});
        let tasks: Vec<Value> = if self.tasks_never_end {
            self.tasks.iter().map(running).collect()
        } else {
            self.tasks.iter().map(ended).collect()
        };
        let address = if self.address.is_empty() { UNREACHABLE_ADDRESS } else { &self.address };
        let report = json!({"plot": format!("host-{}", self.number + 1), "addr": address, "strain": "m8", "field": "a", "fallow": false,
            "season": 1, "tally": counter, "warrant": self.token, "reclaim_s": null, "seeds": tasks});
        let (status, answer) = to.ask(Method::Post, "/checkin", &report);
        self.token = self.token.max(answer["warrant"].as_u64().unwrap_or(0));
        for command in answer["tidings"].as_array().into_iter().flatten() {
            let task = command["seed"].as_str().unwrap_or_default().to_owned();
            match command["tiding"].as_str() {
                Some("run") => _ = self.tasks.insert(task, command["sowing"].as_u64().unwrap_or(0)),
                Some("forget") => _ = self.tasks.remove(&task),
                _ => {}
            }
        }
        status
    }

    /// Sends heartbeats until the condition holds.
    fn send_heartbeats_until(&mut self, to: &Controller, what: &str, holds: impl Fn(u16, &Store) -> bool) {
        let began = Instant::now();
        loop {
            let status = self.send_heartbeat(to);
            if holds(status, &lock(&to.store)) {
                return;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting: {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Guards against late transactions that take effect under another leader. A leadership record replaces only the
/// version that was read, a job is accepted only if its key is absent, and every write of a leader is conditional on
/// its leadership record and on the version of the value that it replaces.
#[test]
fn every_write_is_conditional() {
    let controller = Controller::start("writes");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    let ids = ["req-000001", "req-000002", "req-000003"];
    for id in ids {
        controller.submit(id);
        let done = |_, store: &Store| {
            store.keys.get(&format!("job/{id}")).is_some_and(|(record, _)| record["phase"] == "done")
        };
        machine.send_heartbeats_until(&controller, "the job is stored as done", done);
    }
    let store = lock(&controller.store);
    let mut by_leader = 0;
    for transaction in &store.transactions {
        for key in &transaction.writes {
            let accepts = key.starts_with("job/") && transaction.absent.contains(key);
            assert!(
                transaction.conditions.contains_key(key),
                "the write of {key} should be conditional on its version"
            );
            if key != LEADERSHIP_KEY && !accepts {
                assert_eq!(
                    transaction.conditions.get(LEADERSHIP_KEY),
                    Some(&transaction.leadership_version),
                    "the write of {key} should be conditional on the leadership record"
                );
                by_leader += 1;
            }
        }
    }
    assert!(
        by_leader > ids.len(),
        "the leader should have written machine records and ends of jobs; conditional writes: {by_leader}"
    );
}

/// Guards against a leader that acts when its lease may have expired. A lease lasts from the time its renewal was sent;
/// here the responses to renewals come most of a second later. After the state service goes down, the controller must
/// answer no heartbeat beyond the lease of the last granted renewal.
#[test]
fn no_heartbeat_is_answered_after_the_lease() {
    let controller = Controller::start("lease");
    let mut machine = Machine::default();
    let leads = |status, store: &Store| status == 200 && store.renewed.is_some();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", leads);
    lock(&controller.store).down = true;
    let renewed = lock(&controller.store).renewed.expect("a renewal");
    let (mut last, mut refused) = (Instant::now(), 0);
    while refused < 20 {
        let sent = Instant::now();
        if machine.send_heartbeat(&controller) == 200 {
            (last, refused) = (sent, 0);
        } else {
            refused += 1;
        }
        assert!(sent < renewed + LEASE_DURATION * 3, "heartbeats are still answered after three lease durations");
        std::thread::sleep(Duration::from_millis(50));
    }
    let after = last.duration_since(renewed);
    assert!(
        after < LEASE_DURATION,
        "a heartbeat was answered {:.2} s after the last renewal was sent",
        after.as_secs_f64()
    );
    assert!(
        after > LEASE_DURATION / 4,
        "heartbeats should be answered within the lease; the last answer came after {:.2} s",
        after.as_secs_f64()
    );
}

/// Guards against a wrong 404. While the state service is down, another controller may have accepted a job that this
/// one doesn't know, whether this one leads or not; so 404 needs a read from the state service.
#[test]
fn an_unknown_job_is_absent_only_on_the_state_service_s_word() {
    let controller = Controller::start("absent");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    let ask = |id: &str| controller.ask(Method::Get, &format!("/work/{id}"), &Value::Null).0;
    let began = Instant::now();
    while ask("req-000404") != 404 {
        assert!(began.elapsed() < WAIT_TIMEOUT, "an unknown job should get 404 while the state service answers");
        std::thread::sleep(Duration::from_millis(50));
    }
    lock(&controller.store).down = true;
    let down = Instant::now();
    let (mut by_leader, mut by_others) = (0, 0);
    while down.elapsed() < LEASE_DURATION + Duration::from_secs(2) {
        let leads = machine.send_heartbeat(&controller) == 200;
        assert_ne!(
            ask("req-000405"),
            404,
            "no 404 is expected during the outage, {:.1} s after its start",
            down.elapsed().as_secs_f64()
        );
        (by_leader, by_others) = (by_leader + i32::from(leads), by_others + i32::from(!leads));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(
        by_leader > 5 && by_others > 5,
        "requests while it led: {by_leader}, and afterwards: {by_others}; both should be above 5"
    );
}

/// Starts a machine's command server, which records when commands arrive and answers with a heartbeat without tasks.
fn command_server(counter: Arc<AtomicU64>, arrived: Arc<Mutex<Vec<Instant>>>) -> SocketAddr {
    let own: Arc<Mutex<String>> = Arc::default();
    let reported = own.clone();
    let address = server(move |request| {
        lock(&arrived).push(Instant::now());
        let counter = counter.fetch_add(1, Ordering::Relaxed) + 1;
        let report = json!({"plot": "host-1", "addr": *lock(&reported), "strain": "m8", "field": "a", "fallow": false, "season": 1,
            "tally": counter, "warrant": body(&request)["warrant"], "reclaim_s": null, "seeds": []});
        async move { Outgoing::json(200, &report) }
    });
    *lock(&own) = address.to_string();
    address
}

/// Guards against commands of a leader whose lease has expired. The machine stops sending heartbeats, so the leader
/// contacts it directly again and again; this must stop when the lease ends.
#[test]
fn no_command_is_sent_after_the_lease() {
    let controller = Controller::start("commands");
    let arrived: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut machine = Machine::default();
    machine.address = command_server(machine.counter.clone(), arrived.clone()).to_string();
    let leads = |status, store: &Store| status == 200 && store.renewed.is_some();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", leads);
    lock(&controller.store).down = true;
    let (down, renewed) = (Instant::now(), lock(&controller.store).renewed.expect("a renewal"));
    std::thread::sleep(LEASE_DURATION + Duration::from_secs(4));
    let arrived = lock(&arrived);
    assert!(arrived.iter().any(|arrival| *arrival > down), "the machine should be contacted within the lease");
    let last = arrived.last().map(|arrival| arrival.duration_since(renewed));
    assert!(
        last < Some(LEASE_DURATION + Duration::from_secs(1)),
        "the last command was sent {last:?} after the last renewal"
    );
}
