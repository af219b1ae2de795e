//! One real controller in front of a state service that is written here and notes all that it is asked: what
//! the controller's writes are conditional on, and until when it answers workers.

use async_executor::Executor;
use async_io::{Async, Timer};
use http_types::Method;
use lupinspur::http::{Bounds, Client, Incoming, Outgoing, serve};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex, MutexGuard, Once};
use std::time::{Duration, Instant};

static EXECUTOR: Executor<'static> = Executor::new();
const BOUNDS: Bounds = Bounds { connections: 200, body_bytes: 16 << 20 };
const CLAIM: &str = "own/0";
/// How long a claim lasts without a renewal, as the controller asks for it.
const CLAIM_LASTS: Duration = Duration::from_secs(4);
/// How long the state service takes to answer a renewal: the controller waits for it a little longer.
const SLOW_RENEWAL: Duration = Duration::from_millis(800);
const WAITS_AT_MOST: Duration = Duration::from_secs(40);

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn body(request: &Incoming) -> Value {
    serde_json::from_slice(&request.body).unwrap_or_default()
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')).unwrap_or_default()
}

fn listen<F, Fut>(handler: F) -> SocketAddr
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Outgoing> + Send + 'static,
{
    static RUNS: Once = Once::new();
    RUNS.call_once(|| {
        std::thread::spawn(|| async_io::block_on(EXECUTOR.run(std::future::pending::<()>())));
    });
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("its address");
    EXECUTOR.spawn(serve(&EXECUTOR, listener, BOUNDS, Arc::new(handler))).detach();
    address
}

/// A transaction as it was sent, and which keys had no value then.
struct Transaction {
    conditions: BTreeMap<String, u64>,
    writes: Vec<String>,
    absent: Vec<String>,
    claim_version: u64,
}

/// The state service: leases never end by themselves, and a renewal is answered late.
#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    events: Vec<Value>,
    transactions: Vec<Transaction>,
    /// Nobody is served any more.
    down: bool,
    /// When the last renewal that was granted arrived.
    renewed: Option<Instant>,
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    fn commit(&mut self, transaction: &Value) -> Outgoing {
        let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
        let conditions: BTreeMap<String, u64> =
            list("if").iter().map(|c| (text(&c["path"]), c["stamp"].as_u64().unwrap_or(0))).collect();
        let changes = list("writes");
        let writes: Vec<String> = changes.iter().map(|w| text(w.get("set").unwrap_or(&w["drop"]))).collect();
        let absent = writes.iter().filter(|k| !self.keys.contains_key(*k)).cloned().collect();
        let failed: Vec<&String> = conditions.iter().filter(|(k, v)| self.version(k) != **v).map(|c| c.0).collect();
        if !failed.is_empty() {
            return Outgoing::json(409, &json!({"failed": failed, "almanac": self.revision}));
        }
        let claim_version = self.version(CLAIM);
        self.transactions.push(Transaction { conditions, writes, absent, claim_version });
        self.revision += 1;
        for change in changes {
            match change["set"].as_str() {
                Some(key) => _ = self.keys.insert(key.to_owned(), (change["v"].clone(), self.revision)),
                None => _ = self.keys.remove(&text(&change["drop"])),
            }
            let mut event = change;
            event["stamp"] = json!(self.revision);
            self.events.push(event);
        }
        Outgoing::json(200, &json!({"almanac": self.revision}))
    }

    fn list(&self, prefix: &str, after: &str) -> Outgoing {
        let under = self.keys.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let pairs: Vec<Value> = under.map(|(k, (v, n))| json!({"path": k, "v": v, "stamp": n})).collect();
        Outgoing::json(200, &json!({"pairs": pairs, "has_next": false, "almanac": self.revision}))
    }

    fn get(&self, key: &str) -> Outgoing {
        match self.keys.get(key) {
            Some((v, n)) => Outgoing::json(200, &json!({"path": key, "v": v, "stamp": n})),
            None => Outgoing::json(404, &json!({"almanac": self.revision})),
        }
    }

    /// The changes under a prefix after a revision, if there are any.
    fn news(&self, prefix: &str, after: u64) -> Option<Outgoing> {
        let under = |e: &&Value| {
            let key = e["set"].as_str().or(e["drop"].as_str()).unwrap_or_default();
            key.starts_with(prefix) && e["stamp"].as_u64() > Some(after)
        };
        let news: Vec<&Value> = self.events.iter().filter(under).collect();
        (!news.is_empty()).then(|| Outgoing::json(200, &json!({"almanac": self.revision, "news": news})))
    }
}

async fn follow(store: &Mutex<Store>, query: &str) -> Outgoing {
    let after = parameter(query, "from").parse().unwrap_or(0);
    let within = Duration::from_millis(parameter(query, "block_ms").parse().unwrap_or(0));
    let began = Instant::now();
    loop {
        let news = lock(store).news(parameter(query, "under"), after);
        if let Some(news) = news {
            return news;
        }
        if began.elapsed() >= within {
            return Outgoing::json(200, &json!({"almanac": lock(store).revision, "news": []}));
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

async fn renew(store: &Mutex<Store>) -> Outgoing {
    let arrived = Instant::now();
    Timer::after(SLOW_RENEWAL).await;
    let mut store = lock(store);
    if store.down {
        return Outgoing::json(503, &json!({"error": "trouble"}));
    }
    store.renewed = Some(arrived);
    Outgoing::json(200, &json!({}))
}

async fn state(store: Arc<Mutex<Store>>, request: Incoming) -> Outgoing {
    if lock(&store).down {
        return Outgoing::json(503, &json!({"error": "trouble"}));
    }
    let path = request.path.trim_start_matches('/').to_owned();
    match path.split_once('/') {
        Some(("kv", key)) => lock(&store).get(key),
        Some(("grants", _)) => renew(&store).await,
        _ if path == "kv" => lock(&store).list(parameter(&request.query, "under"), parameter(&request.query, "from")),
        _ if path == "follow" => follow(&store, &request.query).await,
        _ if path == "grants" => Outgoing::json(200, &json!({"tether": 1})),
        _ => lock(&store).commit(&body(&request)),
    }
}

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
    client: Client,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Controller {
    fn start(name: &str) -> Controller {
        let store: Arc<Mutex<Store>> = Arc::default();
        let (served, port) = (store.clone(), || TcpListener::bind(("127.0.0.1", 0)).expect("a port"));
        let state = listen(move |r| state(served.clone(), r));
        let cloud = listen(cloud);
        let (users, peers) = (port(), port());
        let address = users.local_addr().expect("its address");
        let text = format!(
            "host_name = \"n0\"\ndomain = \"a\"\nbind = \"{address}\"\npeer_listen = \"{}\"\n\
             [services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
             [cluster]\nzones = [\"a\"]\n[[cluster.teams]]\nname = \"red\"\n\
             [cluster.workers]\nreport_s = 0.3\nlease_s = 9.0\ncancel_s = 10.0\n\
             [cluster.state]\nrps = 500.0\nwrite_rps = 300.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
             [cluster.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n",
            peers.local_addr().expect("its address")
        );
        let settings = std::env::temp_dir().join(format!("lupinspur-fencing-{name}-{}.toml", std::process::id()));
        std::fs::write(&settings, text).expect("a settings file");
        drop((users, peers));
        let mut program = Command::new(env!("CARGO_BIN_EXE_lupinspur"));
        let process = program.arg("--config").arg(&settings).env("LOG_LEVEL", "error").spawn().expect("it starts");
        Controller { store, address, process, settings, client: Client::new(1, 1) }
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
            "seeds": 2, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "bulb": null, "pull_gb": 0.0, "strains": null,
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
    counter: u64,
    token: u64,
    /// Attempts by task.
    tasks: BTreeMap<String, u64>,
}

impl Machine {
    /// Sends one report, does what the answer says, and returns its status.
    fn report(&mut self, to: &Controller) -> u16 {
        self.counter += 1;
        let ended = |(task, attempt): (&String, &u64)| json!({"seed": task, "sowing": attempt, "bloom": "ended", "wilt": "done"});
        let tasks: Vec<Value> = self.tasks.iter().map(ended).collect();
        let report = json!({"plot": "host-1", "addr": "127.0.0.1:1", "strain": "m8", "field": "a", "fallow": false,
            "season": 1, "tally": self.counter, "warrant": self.token, "reclaim_s": null, "seeds": tasks});
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
/// only where there is none, and all that an owner writes holds only under its claim and over the value that
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
    let mut by_owner = 0;
    for t in &store.transactions {
        for key in &t.writes {
            let accepts = key.starts_with("job/") && t.absent.contains(key);
            assert!(t.conditions.contains_key(key), "{key} is written whatever stands there");
            if key != CLAIM && !accepts {
                assert_eq!(t.conditions.get(CLAIM), Some(&t.claim_version), "{key} is written without the claim");
                by_owner += 1;
            }
        }
    }
    assert!(by_owner > ids.len(), "records of machines and ends of jobs: {by_owner}");
}

/// Guards against an owner that acts when its lease may be over. A renewal counts from when it was sent: its
/// answers here come most of a second later. From then on nobody is served, and the controller answers no report
/// after the lease that the last of them gave it.
#[test]
fn no_report_is_answered_after_the_lease() {
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
    let (mut by_owner, mut by_others) = (0, 0);
    while down.elapsed() < CLAIM_LASTS + Duration::from_secs(2) {
        let owns = machine.report(&controller) == 200;
        assert_ne!(ask("req-000405"), 404, "{:.1} s into the outage", down.elapsed().as_secs_f64());
        (by_owner, by_others) = (by_owner + i32::from(owns), by_others + i32::from(!owns));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(by_owner > 5 && by_others > 5, "asked while it owned and afterwards: {by_owner}, {by_others}");
}
