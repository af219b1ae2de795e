//! Real controllers as processes, in front of stand-ins for everything else.

use crate::cloud::{Cloud, Rentals};
use crate::direct::{Delivered, deliver};
use crate::http::{free_port, lock, server, server_that_loses};
use crate::links::Links;
use crate::machines::Machines;
use crate::rules::job_of;
use crate::settings::{FIRST_ZONE, Size, settings};
use crate::state_service::{Store, state};
use crate::workers::{Worker, Workers, commands_of};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Condvar, Mutex};
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
/// and a test waited for what a failover had put off.
const CLUSTERS_AT_ONCE: usize = 2;
const CLUSTERS_AT_ONCE_ON_MANY_CORES: usize = 3;
const MANY_CORES: usize = 8;
pub static CLUSTERS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

const TAKEN_OVER_WITHIN: Duration = Duration::from_secs(30);

/// Waits until something is so.
pub fn wait_until(what: &str, within: Duration, is_so: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_so() {
        assert!(began.elapsed() < within, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn clusters_at_once() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    if cores >= MANY_CORES { CLUSTERS_AT_ONCE_ON_MANY_CORES } else { CLUSTERS_AT_ONCE }
}

/// One cluster's turn, until it is dropped.
pub struct Turn;

impl Turn {
    pub fn take() -> Turn {
        let most = clusters_at_once();
        let full = |n: &mut usize| *n >= most;
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
    /// Where more workers come from.
    pub machines: Machines,
    pub rentals: Arc<Rentals>,
    /// Tasks that were started on one worker while they were on another.
    pub twice: Arc<Mutex<Vec<String>>>,
    /// Questions for the machine types so far.
    pub asked: Arc<AtomicUsize>,
    /// The cloud answers nothing: it tells no machine types and takes no machine back.
    pub cloud_down: Arc<AtomicBool>,
    pub listen: Vec<SocketAddr>,
    pub peer: Vec<SocketAddr>,
    /// The ways between controllers, where they can be cut.
    pub links: Links,
    pub nodes: Nodes,
    pub dir: PathBuf,
    /// How long a claim outlives its last renewal.
    pub claim: Duration,
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
        let store = Arc::new(Mutex::new(Store { ended, ..Store::default() }));
        // Each controller has its own address of the state service, which may refuse it alone.
        let state_addr: Vec<SocketAddr> = (0..size.nodes)
            .map(|node| {
                let s = store.clone();
                server_that_loses(move |r| state(s.clone(), node, r))
            })
            .collect();
        let workers: Workers = Arc::default();
        let twice = Arc::new(Mutex::new(Vec::new()));
        let asked = Arc::new(AtomicUsize::new(0));
        let cloud_down = Arc::new(AtomicBool::new(false));
        let ports = || (0..size.nodes).map(|_| free_port()).collect::<Vec<_>>();
        let (listen, peer) = (ports(), ports());
        let machines =
            Machines { workers: workers.clone(), twice: twice.clone(), controllers: listen.clone(), lease: size.lease };
        let rentals: Arc<Rentals> = Arc::default();
        let cloud = Cloud {
            store: store.clone(),
            machines: machines.clone(),
            rentals: rentals.clone(),
            zones: size.zones.clone(),
            asked: asked.clone(),
            down: cloud_down.clone(),
        };
        let cloud_addr = server(move |r| cloud.clone().answer(r));
        let mut links = Links::default();
        let dir = std::env::temp_dir().join(format!("lupinspur-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        for (i, state_addr) in state_addr.iter().enumerate() {
            let seen: Vec<SocketAddr> = (0..size.nodes)
                .map(|j| if size.cuttable && i != j { links.open(i, j, peer[j]) } else { peer[j] })
                .collect();
            let text = settings(i, &listen, &seen, cloud_addr, *state_addr, &size);
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
        (0..size.workers).for_each(|_| _ = machines.add(FIRST_ZONE));
        let nodes = Nodes((0..size.nodes).map(|_| None).collect());
        let claim = size.claim;
        let mut cluster = Cluster {
            store,
            workers,
            machines,
            rentals,
            twice,
            asked,
            cloud_down,
            listen,
            peer,
            links,
            nodes,
            dir,
            claim,
            _turn: turn,
        };
        (0..size.nodes).for_each(|i| cluster.begin(i));
        cluster
    }

    /// Where a controller's log goes: to a file of its own in this folder, if the variable names one.
    fn log_of(&self, i: usize) -> Stdio {
        let Some(folder) = std::env::var_os("TEST_LOG_DIR") else { return Stdio::inherit() };
        let name = self.dir.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let path = PathBuf::from(folder).join(format!("{name}-n{i}.log"));
        let file = std::fs::File::options().create(true).append(true).open(path);
        file.map_or_else(|_| Stdio::inherit(), Stdio::from)
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
            .args(["--claim-s", &self.claim.as_secs_f64().to_string()])
            .env("LOG_LEVEL", std::env::var("TEST_LOG").unwrap_or("error".into()))
            .stderr(self.log_of(i))
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
    pub fn leader(&self) -> Option<usize> {
        let store = lock(&self.store);
        store.keys.get("own/0").and_then(|k| k.0["node"].as_str()?.strip_prefix('n')?.parse().ok())
    }

    /// Waits until somebody owns and it is not this controller.
    pub fn until_led_by_another(&self, than: usize) -> usize {
        wait_until("no other controller takes over", TAKEN_OVER_WITHIN, || self.leader().is_some_and(|i| i != than));
        self.until_led()
    }

    pub fn until_led(&self) -> usize {
        let began = Instant::now();
        loop {
            if let Some(i) = self.leader() {
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
        let twice = lock(&self.twice).clone();
        let commands: Vec<String> = twice.iter().flat_map(|task| commands_of(task)).collect();
        assert!(twice.is_empty(), "started twice: {twice:?}\n{}", commands.join("\n"));
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

    /// Has any worker ever started a task of this job?
    pub fn has_begun(&self, job: &str) -> bool {
        lock(&self.workers).iter().any(|w| w.begun.contains_key(job))
    }

    /// The starts that were held up on their way to a worker arrive.
    pub fn deliver_held_starts(&self, w: usize) -> Delivered {
        deliver(&self.workers, w, &self.twice)
    }

    /// How many tasks of a job are on these workers.
    pub fn tasks_on(&self, chosen: &[usize], job: &str) -> usize {
        let workers = lock(&self.workers);
        let tasks = chosen.iter().flat_map(|w| workers[*w].on_it());
        tasks.filter(|task| job_of(task) == job).count()
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
        // They would go on reporting to these addresses, which may be another cluster's by then: of two processes
        // of tests side by side the workers of one once obeyed the controllers of the other.
        lock(&self.workers).iter_mut().for_each(|w| w.deleted = true);
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
