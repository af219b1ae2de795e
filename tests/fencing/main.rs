//! One real controller in front of a state service that is written here and notes all that it is asked: what
//! the controller's writes are conditional on, and until when it answers workers.

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

const CLAIM: &str = "own/0";
/// How long a claim lasts without a renewal, as the controller asks for it.
const CLAIM_LASTS: Duration = Duration::from_secs(4);
/// How long the state service takes to answer a renewal: the controller waits for it a little longer.
const SLOW_RENEWAL: Duration = Duration::from_millis(800);
/// An address at which nobody listens.
const NOWHERE: &str = "127.0.0.1:9";
const WAITS_AT_MOST: Duration = Duration::from_secs(40);

/// One type of machines, and none to be had: a machine comes by its reports.
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

/// A controller's process, and what is in front of it and behind it.
struct Controller {
    store: Arc<Mutex<Store>>,
    address: SocketAddr,
    process: Child,
    settings: std::path::PathBuf,
    /// What the process writes to its standard error.
    output: std::path::PathBuf,
    client: Client,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::thread::panicking() {
            eprintln!("{}", self.said());
        }
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.output);
    }
}

impl Controller {
    fn start(name: &str) -> Controller {
        let store: Arc<Mutex<Store>> = Arc::default();
        let served = store.clone();
        Controller::start_between(name, store, server(move |r| state(served.clone(), r)), server(cloud), "")
    }

    /// The same, with these addresses of the state service and the cloud, and more lines of settings; `store`: what
    /// the state service holds.
    fn start_between(
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
        std::fs::write(&settings, text).expect("a settings file");
        let output = settings.with_extension("log");
        let said = std::fs::File::create(&output).expect("a file for its output");
        let mut program = Command::new(env!("CARGO_BIN_EXE_lupinspur"));
        program.stderr(said);
        let process = program.arg("--config").arg(&settings).env("LOG_LEVEL", "error").spawn().expect("it starts");
        Controller { store, address, process, settings, output, client: Client::new(1, 1) }
    }

    /// What the process has written to its standard error.
    fn said(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// The status and body of an answer; status 0 if there is none.
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
            assert!(began.elapsed() < WAITS_AT_MOST, "{id} is not accepted");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// A machine that reports, and whose tasks are done as soon as they are started.
#[derive(Default)]
struct Machine {
    /// Its number; its name is "host-1" for 0.
    number: u32,
    /// Tasks run for ever instead.
    runs_on: bool,
    /// Where it takes direct commands; empty: nowhere.
    address: String,
    /// Counts reports and answers to commands.
    counter: Arc<AtomicU64>,
    token: u64,
    /// Attempts by task.
    tasks: BTreeMap<String, u64>,
}

impl Machine {
    /// Sends one report, does what the answer says, and returns its status.
    fn report(&mut self, to: &Controller) -> u16 {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        let ended = |(task, attempt): (&String, &u64)| json!({"seed": task, "sowing": attempt, "bloom": "ended", "wilt": "done"});
        let running = |(task, attempt): (&String, &u64)| json!({"seed": task, "sowing": attempt, "bloom": "running"});
        let tasks: Vec<Value> = if self.runs_on {
            self.tasks.iter().map(running).collect()
        } else {
            self.tasks.iter().map(ended).collect()
        };
        let address = if self.address.is_empty() { NOWHERE } else { &self.address };
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

    /// Reports until this holds.
    fn report_until(&mut self, to: &Controller, what: &str, holds: impl Fn(u16, &Store) -> bool) {
        let began = Instant::now();
        loop {
            let status = self.report(to);
            if holds(status, &lock(&to.store)) {
                return;
            }
            assert!(began.elapsed() < WAITS_AT_MOST, "{what}: never");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Guards the fencing of late transactions: a claim replaces just the version that was seen, a job is accepted
/// only where there is none, and all that a leader writes holds only under its claim and over the value that
/// it knows.
#[test]
fn every_write_is_conditional() {
    let controller = Controller::start("writes");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    let ids = ["req-000001", "req-000002", "req-000003"];
    for id in ids {
        controller.submit(id);
        let done = |_, store: &Store| store.keys.get(&format!("job/{id}")).is_some_and(|r| r.0["phase"] == "done");
        machine.report_until(&controller, "the job is stored as done", done);
    }
    let store = lock(&controller.store);
    let mut by_leader = 0;
    for t in &store.transactions {
        for key in &t.writes {
            let accepts = key.starts_with("job/") && t.absent.contains(key);
            assert!(t.conditions.contains_key(key), "{key} is written whatever stands there");
            if key != CLAIM && !accepts {
                assert_eq!(t.conditions.get(CLAIM), Some(&t.claim_version), "{key} is written without the claim");
                by_leader += 1;
            }
        }
    }
    assert!(by_leader > ids.len(), "records of machines and ends of jobs: {by_leader}");
}

/// Guards against a leader that acts when its lease may be over. A renewal counts from when it was sent: its
/// answers here come most of a second later. From then on nobody is served, and the controller answers no report
/// after the lease that the last of them gave it.
#[test]
fn no_heartbeat_is_answered_after_the_lease() {
    let controller = Controller::start("lease");
    let mut machine = Machine::default();
    let owned = |status, store: &Store| status == 200 && store.renewed.is_some();
    machine.report_until(&controller, "a report is answered", owned);
    lock(&controller.store).down = true;
    let renewed = lock(&controller.store).renewed.expect("a renewal");
    let (mut last, mut refused) = (Instant::now(), 0);
    while refused < 20 {
        let sent = Instant::now();
        if machine.report(&controller) == 200 {
            (last, refused) = (sent, 0);
        } else {
            refused += 1;
        }
        assert!(sent < renewed + CLAIM_LASTS * 3, "reports are answered for ever");
        std::thread::sleep(Duration::from_millis(50));
    }
    let after = last.duration_since(renewed);
    assert!(after < CLAIM_LASTS, "answered {:.2} s after the renewal", after.as_secs_f64());
    assert!(after > CLAIM_LASTS / 4, "within its lease it answers: {:.2} s", after.as_secs_f64());
}

/// 404 is said on the state service's word alone: while it serves nobody a job that is not known here may have
/// been accepted by another controller, whether this one owns or not.
#[test]
fn an_unknown_job_is_absent_only_on_the_state_service_s_word() {
    let controller = Controller::start("absent");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    let ask = |id: &str| controller.ask(Method::Get, &format!("/work/{id}"), &Value::Null).0;
    let began = Instant::now();
    while ask("req-000404") != 404 {
        assert!(began.elapsed() < WAITS_AT_MOST, "an unknown job never gets 404");
        std::thread::sleep(Duration::from_millis(50));
    }
    lock(&controller.store).down = true;
    let down = Instant::now();
    let (mut by_leader, mut by_others) = (0, 0);
    while down.elapsed() < CLAIM_LASTS + Duration::from_secs(2) {
        let owns = machine.report(&controller) == 200;
        assert_ne!(ask("req-000405"), 404, "{:.1} s into the outage", down.elapsed().as_secs_f64());
        (by_leader, by_others) = (by_leader + i32::from(owns), by_others + i32::from(!owns));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(by_leader > 5 && by_others > 5, "asked while it owned and afterwards: {by_leader}, {by_others}");
}

/// A machine's own server: notes when commands arrive, and answers them with a report of nothing.
fn takes_commands(counter: Arc<AtomicU64>, arrived: Arc<Mutex<Vec<Instant>>>) -> SocketAddr {
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

/// Guards against commands of a leader that may not act any more. The machine stops reporting, so that it is
/// asked directly again and again; after the lease nobody asks it.
#[test]
fn no_command_is_sent_after_the_lease() {
    let controller = Controller::start("commands");
    let arrived: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut machine = Machine::default();
    machine.address = takes_commands(machine.counter.clone(), arrived.clone()).to_string();
    let owned = |status, store: &Store| status == 200 && store.renewed.is_some();
    machine.report_until(&controller, "a report is answered", owned);
    lock(&controller.store).down = true;
    let (down, renewed) = (Instant::now(), lock(&controller.store).renewed.expect("a renewal"));
    std::thread::sleep(CLAIM_LASTS + Duration::from_secs(4));
    let arrived = lock(&arrived);
    assert!(arrived.iter().any(|t| *t > down), "within the lease it is asked");
    let last = arrived.last().map(|t| t.duration_since(renewed));
    assert!(last < Some(CLAIM_LASTS + Duration::from_secs(1)), "a command {last:?} after the renewal");
}
