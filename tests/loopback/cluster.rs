//! Real controllers as processes, in front of stand-ins for everything else.

use crate::http::{EX, body, lock, server};
use crate::settings::{Size, free_port, settings};
use crate::state_service::{Store, state};
use crate::workers::{Worker, Workers, obey, work};
use async_io::Timer;
use http_types::Method;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::json;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, Once};
use std::time::{Duration, Instant};

pub struct Nodes(pub Vec<Option<Child>>);

impl Drop for Nodes {
    fn drop(&mut self) {
        for c in self.0.iter_mut().flatten() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}

/// Not all clusters at once: with a dozen of them on a few cores controllers lose their leases to one another,
/// and a test waited for what a takeover had put off.
pub const CLUSTERS_AT_ONCE: usize = 2;
pub static CLUSTERS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// One cluster's turn, until it is dropped.
pub struct Turn;

impl Turn {
    pub fn take() -> Turn {
        let full = |n: &mut usize| *n >= CLUSTERS_AT_ONCE;
        let mut n = CLUSTERS.1.wait_while(lock(&CLUSTERS.0), full).unwrap_or_else(|e| e.into_inner());
        *n += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *lock(&CLUSTERS.0) -= 1;
        CLUSTERS.1.notify_one();
    }
}

/// Real controllers in front of stand-ins for everything else.
pub struct Cluster {
    pub store: Arc<Mutex<Store>>,
    pub workers: Workers,
    /// Tasks that were started on one worker while they were on another.
    pub twice: Arc<Mutex<Vec<String>>>,
    /// Questions for the machine types so far.
    pub asked: Arc<AtomicUsize>,
    /// The cloud tells no machine types.
    pub cloud_down: Arc<AtomicBool>,
    pub listen: Vec<SocketAddr>,
    pub peer: Vec<SocketAddr>,
    pub nodes: Nodes,
    pub dir: PathBuf,
    pub _turn: Turn,
}

impl Cluster {
    /// The first questions for the machine types are refused, as when all controllers ask at
    /// once: nobody claims the shard without them, and all learn them soon.
    pub fn start(name: &str, size: Size) -> Cluster {
        Cluster::start_with(name, size, 0)
    }

    /// In front of a state service that holds so many jobs which ended long ago.
    pub fn start_with(name: &str, size: Size, ended: u32) -> Cluster {
        let turn = Turn::take();
        static RUNS: Once = Once::new();
        RUNS.call_once(|| {
            std::thread::spawn(|| async_io::block_on(EX.run(std::future::pending::<()>())));
        });
        let store = Arc::new(Mutex::new(Store { ended, ..Store::default() }));
        let s = store.clone();
        let state_addr = server(move |r| state(s.clone(), r));
        let workers: Workers = Arc::default();
        let twice = Arc::new(Mutex::new(Vec::new()));
        let (asked, claims) = (Arc::new(AtomicUsize::new(0)), store.clone());
        let refusals = asked.clone();
        let machines = workers.clone();
        let cloud_down = Arc::new(AtomicBool::new(false));
        let down = cloud_down.clone();
        let cloud_addr = server(move |r: Incoming| {
            let early = r.path == "/flavors" && refusals.fetch_add(1, Ordering::Relaxed) < 3;
            assert!(!early || !lock(&claims).keys.contains_key("own/0"), "claimed without knowing the machine types");
            let machines = machines.clone();
            let down = down.load(Ordering::Relaxed);
            async move {
                if down && r.path == "/flavors" {
                    return Outgoing::json(503, &json!({"error": "trouble"}));
                }
                if r.path == "/machines/delete" {
                    let gone = body(&r)["plots"].clone();
                    for w in lock(&machines)
                        .iter_mut()
                        .filter(|w| gone.as_array().is_some_and(|g| g.contains(&json!(w.name))))
                    {
                        w.deleted = true;
                    }
                }
                match r.path.as_str() {
                    "/flavors" if early => Outgoing::json(429, &json!({"error": "too many requests"})),
                    "/flavors" => Outgoing::json(
                        200,
                        &json!({"strains":[{"name":"m8","cpus":8,"cards":0,"memory_gb":16,"local_gb":10,
                        "pull_gb_per_s":1.0,"hourly":1.0,"spot_price":0.3,"ready_s":2,"fields":["a"]}]}),
                    ),
                    "/machines" if r.method == Method::Get => {
                        Outgoing::json(200, &json!({"plots": [], "has_next": false}))
                    }
                    "/machines" => Outgoing::json(503, &json!({"error": "no capacity"})),
                    _ => Outgoing::json(200, &json!({})),
                }
            }
        });
        let ports = || (0..size.nodes).map(|_| free_port()).collect::<Vec<_>>();
        let (listen, peer) = (ports(), ports());
        let dir = std::env::temp_dir().join(format!("lupinspur-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        for i in 0..size.nodes {
            let text = settings(i, &listen, &peer, cloud_addr, state_addr, &size);
            std::fs::write(dir.join(format!("n{i}.toml")), text).expect("a settings file");
        }
        if let Some(text) = &size.quotas {
            std::fs::write(dir.join("quotas.toml"), text).expect("a quota file");
        }
        if let Some(text) = &size.cells {
            std::fs::write(dir.join("cells.toml"), text).expect("a file of cells");
        }
        if let Some(text) = &size.elastic {
            std::fs::write(dir.join("elastic.toml"), text).expect("a file of elastic jobs");
        }
        for w in 0..size.workers {
            let (all, t) = (workers.clone(), twice.clone());
            let addr = server(move |r: Incoming| {
                let (all, t) = (all.clone(), t.clone());
                async move {
                    let b = body(&r);
                    while (lock(&all)[w].hangs || lock(&all)[w].deaf_to_commands) && !lock(&all)[w].deleted {
                        Timer::after(Duration::from_millis(20)).await;
                    }
                    if lock(&all)[w].deleted {
                        std::future::pending::<()>().await;
                    }
                    let ours = b["season"].as_u64().is_none_or(|s| s == lock(&all)[w].session);
                    let ok = r.method == Method::Get || ours && obey(&all, w, &b, &t);
                    let report = lock(&all)[w].report();
                    Outgoing::json(if ok { 200 } else { 409 }, &report)
                }
            });
            let name = format!("host-{w}");
            let renewed = Instant::now();
            let (lease, tasks) = (size.lease, BTreeMap::new());
            let worker = Worker {
                name,
                addr,
                session: 1,
                seq: 0,
                token: 0,
                renewed,
                lease,
                hangs: false,
                deleted: false,
                deaf: false,
                deaf_to_commands: false,
                saves: Duration::ZERO,
                tasks,
                elsewhere: 0,
            };
            lock(&workers).push(worker);
            EX.spawn(work(workers.clone(), w, listen.clone(), twice.clone())).detach();
        }
        let nodes = Nodes((0..size.nodes).map(|_| None).collect());
        let mut cluster = Cluster { store, workers, twice, asked, cloud_down, listen, peer, nodes, dir, _turn: turn };
        (0..size.nodes).for_each(|i| cluster.begin(i));
        cluster
    }

    pub fn begin(&mut self, i: usize) {
        let mut flag = Vec::new();
        for (name, file) in [("--quotas", "quotas.toml"), ("--elastic", "elastic.toml"), ("--cells", "cells.toml")] {
            let path = self.dir.join(file);
            if path.exists() {
                flag.extend([OsString::from(name), path.into()]);
            }
        }
        let child = Command::new(env!("CARGO_BIN_EXE_lupinspur"))
            .arg("--config")
            .arg(self.dir.join(format!("n{i}.toml")))
            .args(flag)
            .env("LOG_LEVEL", std::env::var("TEST_LOG").unwrap_or("error".into()))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        self.nodes.0[i] = Some(child);
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut c) = self.nodes.0[i].take() {
            c.kill().expect("killed");
            c.wait().expect("ended");
        }
    }

    /// Makes a controller stand still, or go on.
    pub fn signal(&self, i: usize, name: &str) {
        let id = self.nodes.0[i].as_ref().expect("a process").id().to_string();
        let done = Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(done.success(), "kill {name} {id}");
    }

    /// All controllers end at once and come back at once.
    pub fn restart_all(&mut self) {
        let all = 0..self.listen.len();
        all.clone().for_each(|i| self.kill(i));
        all.for_each(|i| self.begin(i));
    }

    /// Which controller owns, by the claim.
    pub fn owner(&self) -> Option<usize> {
        let store = lock(&self.store);
        store.keys.get("own/0").and_then(|k| k.0["node"].as_str()?.strip_prefix('n')?.parse().ok())
    }

    pub fn until_owned(&self) -> usize {
        let began = Instant::now();
        loop {
            if let Some(i) = self.owner() {
                return i;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "nobody owns");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// How often each controller has claimed so far.
    pub fn claims(&self) -> Vec<usize> {
        let store = lock(&self.store);
        let by = |i: usize| {
            let name = format!("n{i}");
            store.events.iter().filter(|e| e["set"] == "own/0" && e["v"]["node"] == name.as_str()).count()
        };
        (0..self.listen.len()).map(by).collect()
    }

    pub fn nothing_broken(&self) {
        assert!(lock(&self.twice).is_empty(), "started twice: {:?}", lock(&self.twice));
        let unfenced = &lock(&self.store).unfenced;
        assert!(unfenced.is_empty(), "changed without a claim: {unfenced:?}");
    }

    /// The most memory that a controller has taken so far, as the system counts it.
    pub fn peak_mb(&self, i: usize) -> f64 {
        let id = self.nodes.0[i].as_ref().expect("a process").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its peak");
        peak.trim().trim_end_matches("kB").trim().parse::<f64>().expect("kB") / 1024.0
    }

    /// How many tasks of a job run, counted at the workers.
    pub fn running(&self, job: &str) -> usize {
        let of = |n: &str| n.rsplit_once('/').is_some_and(|(j, _)| j == job);
        let workers = lock(&self.workers);
        workers.iter().flat_map(Worker::on_it).filter(|n| of(n)).count()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
