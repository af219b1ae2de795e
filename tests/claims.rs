//! Controllers against a stand-in for the state service whose answers can be lost: what claims and leases
//! cost a controller, and how soon an owner knows what it has stored.

use async_executor::Executor;
use async_io::{Async, Timer};
use http_types::Method;
use lupinspur::http::{Bounds, Client, Incoming, Outgoing, serve};
use lupinspur::intern::{Index, JobIx};
use lupinspur::jobs::Phase;
use lupinspur::shard::{What, Write};
use lupinspur::wire::{Change, Item};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, Once};
use std::time::{Duration, Instant};

static EXECUTOR: Executor<'static> = Executor::new();
const BOUNDS: Bounds = Bounds { connections: 500, body_bytes: 4 << 20 };
const CLAIM_KEY: &str = "own/0";
/// Controllers that begin together all find no claim while the first one is being stored.
const CLAIM_TAKES: Duration = Duration::from_millis(400);

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn listen<F, Fut>(handler: F) -> SocketAddr
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Outgoing> + Send + 'static,
{
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let addr = listener.get_ref().local_addr().expect("its address");
    EXECUTOR.spawn(serve(&EXECUTOR, listener, BOUNDS, Arc::new(handler))).detach();
    addr
}

fn query_value(query: &str, name: &str) -> Option<String> {
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=').map(str::to_owned))
}

struct StoredValue {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    renewed_at: Instant,
    life: Duration,
    renewals: usize,
}

/// The state service's contents, and what was asked of it.
#[derive(Default)]
struct Store {
    values: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    events: Vec<Value>,
    revision: u64,
    /// Transactions of owners are carried out, and their answers are lost.
    loses_answers: bool,
    conflict: Option<Conflict>,
    /// Whoever brings a plan of cells into force loses the state service in the same moment.
    cuts_off_planner: bool,
    cut_off: Option<usize>,
}

/// The first transaction on this key is lost, and the shares of limits change before it is sent again. The
/// next look at the key is refused.
struct Conflict {
    key: &'static str,
    lost: bool,
    refused: bool,
}

const SHARES_KEY: &str = "cells/escrow";
/// The test itself tells how it stands with the second cell.
const TOLD_BY_TEST: &str = "cells/pic/1";

/// Does this transaction bring a plan of cells into force?
fn is_plan(transaction: &Value) -> bool {
    let writes = transaction["writes"].as_array().into_iter().flatten();
    writes.into_iter().any(|w| w["set"] == CLAIM_KEY && w["v"]["node"] == "(cells)")
}

/// Is this transaction an owner's? Those are conditional on its claim.
fn is_fenced(transaction: &Value) -> bool {
    let conditions = transaction["if"].as_array().into_iter().flatten();
    let claim = |c: &Value| c["path"].as_str().is_some_and(|p| p == CLAIM_KEY || p.starts_with("own/c/"));
    conditions.into_iter().any(|c| claim(c) && c["stamp"] != 0)
}

impl Store {
    fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.values.remove(key);
        self.events.push(json!({"drop": key, "stamp": self.revision}));
    }

    fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        self.events.push(json!({"set": key, "v": value, "stamp": self.revision}));
        self.values.insert(key.to_owned(), StoredValue { value, version: self.revision, lease });
    }

    fn put_anew(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.put(key, value, None);
    }

    /// Is this the transaction that is to be lost? The shares have changed then.
    fn loses(&mut self, transaction: &Value) -> bool {
        let key = &transaction["writes"][0]["set"];
        let wanted = |c: &&mut Conflict| !c.lost && *key == c.key && is_fenced(transaction);
        let Some(conflict) = self.conflict.as_mut().filter(wanted) else { return false };
        conflict.lost = true;
        let shares = self.values.get(SHARES_KEY).map(|v| v.value.clone()).expect("shares");
        self.put_anew(SHARES_KEY, shares);
        true
    }

    fn refuses(&mut self, key: &str) -> bool {
        let wanted = |c: &&mut Conflict| c.key == key && c.lost && !c.refused;
        self.conflict.as_mut().filter(wanted).map(|c| c.refused = true).is_some()
    }

    fn expire_leases(&mut self) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.renewed_at.elapsed() > l.life).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let tied: Vec<String> =
                self.values.iter().filter(|(_, v)| v.lease == Some(id)).map(|(k, _)| k.clone()).collect();
            tied.iter().for_each(|key| self.delete(key));
        }
    }

    fn commit(&mut self, transaction: &Value) -> Outgoing {
        let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let version = |key: &str| self.values.get(key).map_or(0, |v| v.version);
        let failed: Vec<Value> = list("if")
            .iter()
            .filter(|c| version(c["path"].as_str().unwrap_or_default()) != c["stamp"].as_u64().unwrap_or(0))
            .map(|c| c["path"].clone())
            .collect();
        if !failed.is_empty() {
            return Outgoing::json(409, &json!({"failed": failed, "almanac": self.revision}));
        }
        let writes = list("writes");
        if writes.iter().any(|w| w["tether"].as_u64().is_some_and(|id| !self.leases.contains_key(&id))) {
            return Outgoing::json(400, &json!({"error": "no such lease"}));
        }
        self.revision += 1;
        for w in writes {
            if let Some(key) = w["set"].as_str() {
                if key != TOLD_BY_TEST {
                    self.put(key, w["v"].clone(), w["tether"].as_u64());
                }
            } else if let Some(key) = w["drop"].as_str() {
                self.values.remove(key);
                self.events.push(json!({"drop": key, "stamp": self.revision}));
            }
        }
        Outgoing::json(200, &json!({"almanac": self.revision}))
    }

    fn list(&self, prefix: &str) -> Outgoing {
        let pair = |(k, v): (&String, &StoredValue)| json!({"path": k, "v": v.value, "stamp": v.version});
        let pairs: Vec<Value> = self.values.iter().filter(|(k, _)| k.starts_with(prefix)).map(pair).collect();
        Outgoing::json(200, &json!({"pairs": pairs, "has_next": false, "almanac": self.revision}))
    }

    fn changes(&self, prefix: &str, from: u64) -> Vec<Value> {
        let key = |e: &Value| e["set"].as_str().or(e["drop"].as_str()).unwrap_or_default().to_owned();
        let wanted = |e: &&Value| e["stamp"].as_u64().unwrap_or(0) > from && key(e).starts_with(prefix);
        self.events.iter().filter(wanted).cloned().collect()
    }
}

async fn follow(store: Arc<Mutex<Store>>, node: usize, query: &str) -> Outgoing {
    let prefix = query_value(query, "under").unwrap_or_default();
    let number = |name: &str| query_value(query, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let (from, until) = (number("from"), Instant::now() + Duration::from_millis(number("block_ms")));
    loop {
        {
            let mut s = lock(&store);
            s.expire_leases();
            let news = s.changes(&prefix, from);
            if s.cut_off != Some(node) && (!news.is_empty() || Instant::now() >= until) {
                return Outgoing::json(200, &json!({"almanac": s.revision, "news": news}));
            }
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

async fn state_service(store: Arc<Mutex<Store>>, node: usize, request: Incoming) -> Outgoing {
    if lock(&store).cut_off == Some(node) {
        std::future::pending::<()>().await;
    }
    lock(&store).expire_leases();
    let path = request.path.trim_start_matches('/').to_owned();
    let (first, rest) = path.split_once('/').map_or((path.as_str(), None), |(f, r)| (f, Some(r)));
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    match (request.method, first, rest) {
        (Method::Get, "kv", Some(key)) => {
            let mut s = lock(&store);
            if s.refuses(key) {
                return Outgoing::json(503, &json!({"error": "not now"}));
            }
            match s.values.get(key) {
                Some(v) => Outgoing::json(200, &json!({"path": key, "v": v.value, "stamp": v.version})),
                None => Outgoing::json(404, &json!({"almanac": s.revision})),
            }
        }
        (Method::Get, "kv", None) => lock(&store).list(&query_value(&request.query, "under").unwrap_or_default()),
        (Method::Post, "commit", None) => {
            if body["writes"][0]["set"] == CLAIM_KEY {
                Timer::after(CLAIM_TAKES).await;
            }
            if lock(&store).loses(&body) {
                Timer::after(Duration::from_secs(30)).await;
            }
            let answer = lock(&store).commit(&body);
            if is_plan(&body) && answer.status == 200 && lock(&store).cuts_off_planner {
                lock(&store).cut_off = Some(node);
                std::future::pending::<()>().await;
            }
            if is_fenced(&body) && lock(&store).loses_answers {
                Timer::after(Duration::from_secs(30)).await;
            }
            answer
        }
        (Method::Post, "grants", None) => {
            let mut s = lock(&store);
            s.revision += 1;
            let (id, life) = (s.revision, Duration::from_millis(body["life_ms"].as_u64().unwrap_or(5000)));
            s.leases.insert(id, Lease { renewed_at: Instant::now(), life, renewals: 0 });
            Outgoing::json(200, &json!({"tether": id}))
        }
        (Method::Post, "grants", Some(rest)) => {
            let id = rest.split('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
            match lock(&store).leases.get_mut(&id) {
                Some(lease) => {
                    lease.renewed_at = Instant::now();
                    lease.renewals += 1;
                    Outgoing::json(200, &json!({}))
                }
                None => Outgoing::json(404, &json!({})),
            }
        }
        (Method::Get, "follow", None) => follow(store, node, &request.query).await,
        _ => Outgoing::json(400, &json!({})),
    }
}

async fn cloud(request: Incoming) -> Outgoing {
    match (request.method, request.path.as_str()) {
        (_, "/flavors") => Outgoing::json(
            200,
            &json!({"strains": [{"name": "m8", "cpus": 8, "cards": 0, "memory_gb": 16, "local_gb": 10,
                "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": 2, "fields": ["a"]}]}),
        ),
        (Method::Get, _) => Outgoing::json(200, &json!({"plots": [], "has_next": false})),
        _ => Outgoing::json(503, &json!({"error": "no capacity"})),
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind(("127.0.0.1", 0)).and_then(|l| l.local_addr()).expect("a free port")
}

fn job_request(id: &str) -> Value {
    json!({"id": id, "breed": "any", "herd": "red", "habit": "batch", "precedence": "standard", "seeds": 1,
        "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "same_place": false, "scatter": false, "fallow": false,
        "pull_gb": 0.0, "expected_s": 1.0, "pressing_s": 0.0, "pressing_cost_s": 0.0})
}

struct Controllers {
    store: Arc<Mutex<Store>>,
    addresses: Vec<SocketAddr>,
    commands: Vec<Command>,
    processes: Vec<Child>,
    folder: PathBuf,
}

impl Controllers {
    /// So many controllers, which begin together; the state service takes so many requests a second.
    fn start(name: &str, count: usize, requests_per_s: f64) -> Controllers {
        Controllers::start_with(name, count, requests_per_s, None)
    }

    /// The same, with a file of cells.
    fn start_with(name: &str, count: usize, requests_per_s: f64, cells: Option<&str>) -> Controllers {
        let mut controllers = Controllers::prepare(name, count, requests_per_s, cells);
        (0..count).for_each(|i| controllers.begin(i));
        controllers
    }

    /// The same, with none of them begun.
    fn prepare(name: &str, count: usize, requests_per_s: f64, cells: Option<&str>) -> Controllers {
        static RUNS: Once = Once::new();
        RUNS.call_once(|| {
            std::thread::spawn(|| async_io::block_on(EXECUTOR.run(std::future::pending::<()>())));
        });
        let store: Arc<Mutex<Store>> = Arc::default();
        let cloud_address = listen(cloud);
        let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let folder = std::env::temp_dir().join(format!("lupinspur-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let cells_file = folder.join("cells.toml");
        if let Some(text) = cells {
            std::fs::write(&cells_file, text).expect("a file of cells");
        }
        let command = |i: usize| {
            let held = store.clone();
            let state_address = listen(move |r| state_service(held.clone(), i, r));
            let others = (0..count).filter(|j| *j != i);
            let others: String = others
                .map(|j| format!("[[seeds]]\nhost_name = \"n{j}\"\ndomain = \"a\"\naddress = \"{}\"\n", peers[j]))
                .collect();
            let text = format!(
                "host_name = \"n{i}\"\ndomain = \"a\"\nbind = \"{}\"\npeer_listen = \"{}\"\n{others}\
                 [services]\ncloud = \"{cloud_address}\"\nstate = \"{state_address}\"\n\
                 [cluster]\nzones = [\"a\"]\n[[cluster.teams]]\nname = \"red\"\ncpus_max = 8.0\n\
                 [cluster.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 25.0\n\
                 [cluster.state]\nrps = {requests_per_s:.1}\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
                 [cluster.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n",
                addresses[i], peers[i]
            );
            let file = folder.join(format!("n{i}.toml"));
            std::fs::write(&file, text).expect("a settings file");
            let mut program = Command::new(env!("CARGO_BIN_EXE_lupinspur"));
            if cells.is_some() {
                program.arg("--cells").arg(&cells_file);
            }
            let level = std::env::var("TEST_LOG").unwrap_or("error".into());
            program.arg("--config").arg(file).env("LOG_LEVEL", level).stderr(Stdio::inherit());
            program
        };
        let commands = (0..count).map(command).collect();
        Controllers { store, addresses, commands, processes: Vec::new(), folder }
    }

    fn begin(&mut self, i: usize) {
        self.processes.push(self.commands[i].spawn().expect("the program starts"));
    }

    fn until_claimed(&self) {
        let began = Instant::now();
        while !lock(&self.store).values.contains_key(CLAIM_KEY) {
            assert!(began.elapsed() < Duration::from_secs(20), "nobody claims");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn owner(&self) -> usize {
        let store = lock(&self.store);
        let node = store.values.get(CLAIM_KEY).and_then(|v| v.value["node"].as_str()).expect("an owner");
        node.trim_start_matches('n').parse().expect("a controller's number")
    }

    fn ask(&self, at: usize, method: Method, path: &str, body: Option<Value>) -> (u16, Value) {
        let client = Client::new(0, 0);
        let body = body.map(|b| b.to_string().into_bytes());
        let call = client.call(self.addresses[at], method, path, body, Duration::from_secs(5));
        let (status, answer) = async_io::block_on(call).unwrap_or((0, Vec::new()));
        (status, serde_json::from_slice(&answer).unwrap_or_default())
    }

    fn submit(&self, at: usize, id: &str) -> u16 {
        self.ask(at, Method::Post, "/work", Some(job_request(id))).0
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for p in &mut self.processes {
            let _ = p.kill();
            let _ = p.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Whoever came too late with its claim holds a lease all the same. Renewing it as often as an owner
/// whose lease is in doubt took more requests than such a controller's share of a small state service:
/// it could accept nothing any more, for as long as it lived.
#[test]
fn a_controller_that_came_too_late_with_its_claim_still_accepts() {
    let controllers = Controllers::start("too-late", 3, 30.0);
    controllers.until_claimed();
    std::thread::sleep(Duration::from_secs(8));
    let leases = lock(&controllers.store).leases.len();
    assert!(leases > 1, "somebody else holds a lease, too");
    let answers: Vec<u16> = (0..6).map(|i| controllers.submit(i % 3, &format!("req-{i:06}"))).collect();
    assert_eq!(answers, [201; 6], "all accept");
    let renewed = |s: &Store| -> usize { s.leases.values().map(|l| l.renewals).sum() };
    let before = renewed(&lock(&controllers.store));
    std::thread::sleep(Duration::from_secs(4));
    let renewals = renewed(&lock(&controllers.store)) - before;
    assert!(renewals <= leases * 7, "{renewals} renewals of {leases} leases in four seconds");
}

/// Only the answers of an owner's transactions are lost. Its user is told of the cancellation as soon as
/// the watch shows it to be stored: once this took a second transaction, whose answer was lost as well.
#[test]
fn a_cancellation_is_confirmed_though_the_answers_of_its_transactions_are_lost() {
    let controllers = Controllers::start("lost-answers", 2, 200.0);
    controllers.until_claimed();
    std::thread::sleep(Duration::from_secs(1));
    let owner = controllers.owner();
    assert_eq!(controllers.submit(owner, "req-000001"), 201);
    lock(&controllers.store).loses_answers = true;
    let began = Instant::now();
    let (status, answer) = controllers.ask(owner, Method::Post, "/work/req-000001/withdraw", None);
    assert_eq!((status, answer["bloom"].as_str()), (200, Some("cancelled")), "after {:?}", began.elapsed());
    assert!(began.elapsed() < Duration::from_secs(2), "confirmed after {:?}", began.elapsed());
    for at in 0..2 {
        let (status, answer) = controllers.ask(at, Method::Get, "/work/req-000001", None);
        assert_eq!((status, answer["bloom"].as_str()), (200, Some("cancelled")));
        assert_eq!(controllers.submit(at, "req-000001"), 200);
    }
}

/// A start waits until the machine's record is stored. Where only the answers are lost, that it stands
/// there is what the owner finds when it looks: once it was written again, and that answer was lost too.
#[test]
fn a_task_starts_though_the_answers_of_the_record_s_transactions_are_lost() {
    let controllers = Controllers::start("lost-record-answers", 2, 200.0);
    controllers.until_claimed();
    std::thread::sleep(Duration::from_secs(1));
    let owner = controllers.owner();
    let began = Instant::now();
    lock(&controllers.store).loses_answers = true;
    assert_eq!(controllers.submit(owner, "req-000002"), 201);
    let (mut token, mut started) = (0, false);
    for seq in 1..30 {
        let report = json!({"plot": "host-1", "addr": "127.0.0.1:9", "strain": "m8", "field": "a", "fallow": false,
            "season": 1, "tally": seq, "warrant": token, "reclaim_s": null, "seeds": []});
        let (status, answer) = controllers.ask(owner, Method::Post, "/checkin", Some(report));
        if status == 200 {
            token = answer["warrant"].as_u64().expect("a token");
            started |= answer["tidings"].as_array().is_some_and(|t| t.iter().any(|c| c["tiding"] == "run"));
        }
        if started {
            break;
        }
        std::thread::sleep(Duration::from_millis(400));
    }
    assert!(started, "no start in {:?}", began.elapsed());
}

/// A job goes to another cell; the transaction is lost, is sent again and fails, and the look that would
/// tell whose the job is gets no answer. The job once stayed set aside for good: nobody started it.
#[test]
fn a_job_whose_way_to_another_cell_is_in_doubt_is_not_set_aside_for_good() {
    const KEY: &str = "job/req-000009";
    let cells = "cells = 2\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n";
    let controllers = Controllers::start_with("set-aside", 2, 400.0, Some(cells));
    let in_time = |what: &str, done: &dyn Fn(&mut Store) -> bool| {
        let began = Instant::now();
        while !done(&mut lock(&controllers.store)) {
            assert!(began.elapsed() < Duration::from_secs(20), "{what}");
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    in_time("both cells are owned", &|s| s.values.contains_key("own/c/0") && s.values.contains_key("own/c/1"));
    lock(&controllers.store).conflict = Some(Conflict { key: KEY, lost: false, refused: false });
    // Without machines it waits in its own cell; the other one has room.
    assert_eq!(controllers.submit(0, "req-000009"), 201);
    let moved = |s: &mut Store| {
        let at_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis();
        let picture = json!({"cell": 1, "token": 1, "at_ms": at_ms as u64, "room": 100.0, "idle": 0.0, "waits": 0.0,
            "held": 0.0, "boots": 0.0, "longest_s": 0.0, "teams": {}});
        s.put_anew(TOLD_BY_TEST, picture);
        s.values[KEY].value["cell"] == 1
    };
    in_time("it goes to the other cell after all", &moved);
    let met = lock(&controllers.store).conflict.as_ref().is_some_and(|c| c.lost && c.refused);
    assert!(met, "the trouble was met");
}

/// The owner of all brings a plan of cells into force, and in the same moment loses the state service. The
/// cells' owners wait for nobody: what it said from then on once contradicted what they had told, for as
/// long as its lease seemed to last.
#[test]
fn whoever_brings_cells_into_force_says_nothing_until_it_knows_of_it() {
    let cells = "cells = 2\npicture_s = 0.5\n[[team]]\nname = \"red\"\ncell = 0\n";
    let mut controllers = Controllers::prepare("plan", 2, 400.0, Some(cells));
    lock(&controllers.store).cuts_off_planner = true;
    controllers.begin(0);
    controllers.until_claimed();
    let began = Instant::now();
    while controllers.submit(0, "req-000011") != 201 {
        assert!(began.elapsed() < Duration::from_secs(10), "not accepted");
        std::thread::sleep(Duration::from_millis(100));
    }
    controllers.begin(1);
    let began = Instant::now();
    while lock(&controllers.store).cut_off.is_none() {
        assert!(began.elapsed() < Duration::from_secs(20), "no plan came into force");
        std::thread::sleep(Duration::from_millis(20));
    }
    let confirmed = || {
        let (status, answer) = controllers.ask(1, Method::Post, "/work/req-000011/withdraw", None);
        status == 200 && answer["bloom"] == "cancelled"
    };
    while !confirmed() {
        assert!(began.elapsed() < Duration::from_secs(20), "not cancelled");
        std::thread::sleep(Duration::from_millis(20));
    }
    let confirmed_at = Instant::now();
    while confirmed_at.elapsed() < Duration::from_secs(5) {
        let (status, answer) = controllers.ask(0, Method::Get, "/work/req-000011", None);
        assert!(status != 200 || answer["bloom"] == "cancelled", "{status} {answer}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against counting on a value that a transaction still under way may replace: one that stands at
/// the version that the write was conditional on, whatever is in it.
#[test]
fn a_write_was_carried_out_only_where_its_key_has_changed() {
    let item = |value: &Value, version| Item { key: "rack/1".into(), value: value.clone(), version, lease: None };
    let (wanted, other) = (json!({"machines": ["host-1"]}), json!({"machines": []}));
    let put = |what| Write {
        key: "rack/1".into(),
        version: 4,
        what,
        change: Change::Put { key: "rack/1".into(), value: wanted.clone(), lease: None },
        bytes: 0,
    };
    let w = put(What::Checkpoint);
    assert!(w.stands_as(Some(&item(&wanted, 9))));
    assert!(!w.stands_as(Some(&item(&wanted, 4))), "another one may come later");
    assert!(!w.stands_as(Some(&item(&other, 9))) && !w.stands_as(None));
    let delete = Write { change: Change::Delete { key: "rack/1".into() }, ..put(What::Cleanup) };
    assert!(delete.stands_as(None) && !delete.stands_as(Some(&item(&wanted, 9))));
    let mut record = json!({"at_ms": 0, "phase": "cancelled", "ended_ms": 7, "job": job_request("req-000003")});
    let end = put(What::Final(JobIx::new(0), Phase::Cancelled));
    assert!(end.stands_as(Some(&item(&record, 9))), "whenever it was");
    record["phase"] = json!("open");
    assert!(!end.stands_as(Some(&item(&record, 9))));
}
