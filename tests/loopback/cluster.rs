//! A test cluster: real controller processes against a simulated state service, cloud and workers.

use crate::cloud::{Cloud, Rentals};
use crate::direct::{Delivered, deliver, repeat_answered};
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

/// Controller processes, by node number; `None` while a controller is stopped. Drop kills them.
pub struct Nodes(pub Vec<Option<Child>>);

impl Drop for Nodes {
    fn drop(&mut self) {
        for process in self.0.iter_mut().flatten() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Limits on test clusters that run at the same time. With a dozen of them on a few cores, controllers miss lease
/// renewals, and the resulting failovers delay tests beyond their time limits.
const CLUSTERS_AT_ONCE: usize = 2;
const CLUSTERS_AT_ONCE_ON_MANY_CORES: usize = 3;
const MANY_CORES: usize = 8;
/// The number of clusters that run now, and the signal that one has ended.
pub static RUNNING_CLUSTERS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

const FAILOVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until the condition holds. Panics with the message `failure` if it doesn't within `timeout`.
pub fn wait_until(failure: &str, timeout: Duration, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < timeout, "{failure}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn max_running_clusters() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    if cores >= MANY_CORES { CLUSTERS_AT_ONCE_ON_MANY_CORES } else { CLUSTERS_AT_ONCE }
}

/// Permission to run one cluster, held until it is dropped.
pub struct ClusterSlot;

impl ClusterSlot {
    /// Waits until fewer clusters than allowed run.
    pub fn acquire() -> ClusterSlot {
        let limit = max_running_clusters();
        let is_full = |running: &mut usize| *running >= limit;
        let mut running =
            RUNNING_CLUSTERS.1.wait_while(lock(&RUNNING_CLUSTERS.0), is_full).unwrap_or_else(|e| e.into_inner());
        *running += 1;
        ClusterSlot
    }
}

impl Drop for ClusterSlot {
    fn drop(&mut self) {
        *lock(&RUNNING_CLUSTERS.0) -= 1;
        RUNNING_CLUSTERS.1.notify_one();
    }
}

/// Controller processes and the simulated services that they use.
pub struct Cluster {
    pub store: Arc<Mutex<Store>>,
    pub workers: Workers,
    /// Adds workers to the cluster.
    pub machines: Machines,
    pub rentals: Arc<Rentals>,
    /// Tasks that a worker started while they still ran on another one.
    pub duplicate_starts: Arc<Mutex<Vec<String>>>,
    /// Requests for the list of machine types so far.
    pub machine_type_requests: Arc<AtomicUsize>,
    /// The cloud fails every request: it lists no machine types and deletes no machine.
    pub cloud_down: Arc<AtomicBool>,
    /// Each controller's address for users and workers.
    pub listen: Vec<SocketAddr>,
    /// Each controller's address for other controllers.
    pub peer: Vec<SocketAddr>,
    /// The connections between controllers, if [`Size::cuttable`] is set.
    pub links: Links,
    pub nodes: Nodes,
    pub dir: PathBuf,
    /// How long a leadership record outlives its last renewal.
    pub leadership_ttl: Duration,
    pub _slot: ClusterSlot,
}

impl Cluster {
    /// Starts a cluster. The cloud rejects the first requests for machine types, as a rate limit does when all
    /// controllers start at once: no controller may campaign before it has the machine types.
    pub fn start(name: &str, size: Size) -> Cluster {
        Cluster::start_with(name, size, 0)
    }

    /// Starts a cluster whose state service already holds `ended` finished jobs.
    pub fn start_with(name: &str, size: Size, ended: u32) -> Cluster {
        let slot = ClusterSlot::acquire();
        let store = Arc::new(Mutex::new(Store { ended, ..Store::default() }));
        // Each controller uses its own address of the state service, so that a test can refuse one controller alone.
        let state_addr: Vec<SocketAddr> = (0..size.nodes)
            .map(|node| {
                let store = store.clone();
                server_that_loses(move |request| state(store.clone(), node, request))
            })
            .collect();
        let workers: Workers = Arc::default();
        let duplicate_starts = Arc::new(Mutex::new(Vec::new()));
        let machine_type_requests = Arc::new(AtomicUsize::new(0));
        let cloud_down = Arc::new(AtomicBool::new(false));
        let ports = || (0..size.nodes).map(|_| free_port()).collect::<Vec<_>>();
        let (listen, peer) = (ports(), ports());
        let machines = Machines {
            workers: workers.clone(),
            duplicate_starts: duplicate_starts.clone(),
            controllers: listen.clone(),
            lease: size.lease,
        };
        let rentals: Arc<Rentals> = Arc::default();
        let cloud = Cloud {
            store: store.clone(),
            machines: machines.clone(),
            rentals: rentals.clone(),
            zones: size.zones.clone(),
            machine_type_requests: machine_type_requests.clone(),
            down: cloud_down.clone(),
        };
        let cloud_addr = server(move |request| cloud.clone().answer(request));
        let mut links = Links::default();
        let dir = std::env::temp_dir().join(format!("lupinspur-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder is created");
        for (node, state_addr) in state_addr.iter().enumerate() {
            let peer_addr: Vec<SocketAddr> =
                (0..size.nodes)
                    .map(|other| {
                        if size.cuttable && node != other { links.open(node, other, peer[other]) } else { peer[other] }
                    })
                    .collect();
            let text = settings(node, &listen, &peer_addr, cloud_addr, *state_addr, &size);
            std::fs::write(dir.join(format!("n{node}.toml")), text).expect("the settings file is written");
        }
        if let Some(text) = &size.quotas {
            std::fs::write(dir.join("quotas.toml"), text).expect("the quota file is written");
        }
        if let Some(text) = &size.sharding_file {
            std::fs::write(dir.join("cells.toml"), text).expect("the sharding file is written");
        }
        if let Some(text) = &size.elastic {
            std::fs::write(dir.join("elastic.toml"), text).expect("the file for elastic jobs is written");
        }
        (0..size.workers).for_each(|_| _ = machines.add(FIRST_ZONE));
        let nodes = Nodes((0..size.nodes).map(|_| None).collect());
        let leadership_ttl = size.leadership_ttl;
        let mut cluster = Cluster {
            store,
            workers,
            machines,
            rentals,
            duplicate_starts,
            machine_type_requests,
            cloud_down,
            listen,
            peer,
            links,
            nodes,
            dir,
            leadership_ttl,
            _slot: slot,
        };
        (0..size.nodes).for_each(|node| cluster.start_controller(node));
        cluster
    }

    /// Returns where a controller's log goes: to a file of its own in the folder `TEST_LOG_DIR`, or else to the test's
    /// standard error.
    fn log_of(&self, node: usize) -> Stdio {
        let Some(folder) = std::env::var_os("TEST_LOG_DIR") else { return Stdio::inherit() };
        let name = self.dir.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let path = PathBuf::from(folder).join(format!("{name}-n{node}.log"));
        let file = std::fs::File::options().create(true).append(true).open(path);
        file.map_or_else(|_| Stdio::inherit(), Stdio::from)
    }

    /// Starts a controller's process.
    pub fn start_controller(&mut self, node: usize) {
        let mut flags = Vec::new();
        for (name, file) in [("--quotas", "quotas.toml"), ("--elastic", "elastic.toml"), ("--cells", "cells.toml")] {
            let path = self.dir.join(file);
            if path.exists() {
                flags.extend([OsString::from(name), path.into()]);
            }
        }
        let child = Command::new(env!("CARGO_BIN_EXE_lupinspur"))
            .arg("--config")
            .arg(self.dir.join(format!("n{node}.toml")))
            .args(flags)
            .args(["--claim-s", &self.leadership_ttl.as_secs_f64().to_string()])
            .env("LOG_LEVEL", std::env::var("TEST_LOG").unwrap_or("error".into()))
            .stderr(self.log_of(node))
            .spawn()
            .expect("the program starts");
        self.nodes.0[node] = Some(child);
    }

    /// Kills a controller's process, if it runs, and waits for its end.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut process) = self.nodes.0[node].take() {
            process.kill().expect("the process is killed");
            process.wait().expect("the process ends");
        }
    }

    /// Sends a signal to a controller's process: `-STOP` pauses it, `-CONT` resumes it.
    pub fn signal(&self, node: usize, name: &str) {
        let id = self.nodes.0[node].as_ref().expect("a process").id().to_string();
        let done = Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(done.success(), "kill {name} {id}");
    }

    /// Kills all controllers, then starts all of them.
    pub fn restart_all(&mut self) {
        let all = 0..self.listen.len();
        all.clone().for_each(|node| self.kill(node));
        all.for_each(|node| self.start_controller(node));
    }

    /// Returns the leader that the leadership record names.
    pub fn leader(&self) -> Option<usize> {
        let store = lock(&self.store);
        store.keys.get("own/0").and_then(|record| record.0["node"].as_str()?.strip_prefix('n')?.parse().ok())
    }

    /// Waits until there is a leader other than this controller.
    pub fn wait_for_leader_other_than(&self, former: usize) -> usize {
        wait_until("no other controller becomes the leader", FAILOVER_TIMEOUT, || {
            self.leader().is_some_and(|node| node != former)
        });
        self.wait_for_leader()
    }

    /// Waits until a controller is the leader.
    pub fn wait_for_leader(&self) -> usize {
        let began = Instant::now();
        loop {
            if let Some(node) = self.leader() {
                return node;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "no controller became the leader");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns how often each controller has written a leadership record so far.
    pub fn elections_won(&self) -> Vec<usize> {
        let store = lock(&self.store);
        let elections_of = |node: usize| {
            let name = format!("n{node}");
            store.events.iter().filter(|event| event["set"] == "own/0" && event["v"]["node"] == name.as_str()).count()
        };
        (0..self.listen.len()).map(elections_of).collect()
    }

    /// Fails if a task ran on two workers at once, or if a write lacked the condition on a leadership record.
    pub fn check_invariants(&self) {
        let duplicate_starts = lock(&self.duplicate_starts).clone();
        let commands: Vec<String> = duplicate_starts.iter().flat_map(|task| commands_of(task)).collect();
        assert!(duplicate_starts.is_empty(), "started twice: {duplicate_starts:?}\n{}", commands.join("\n"));
        let unfenced = &lock(&self.store).unfenced;
        assert!(unfenced.is_empty(), "written without a condition on a leadership record: {unfenced:?}");
    }

    /// Returns a controller's peak resident memory in MB, as the operating system counts it.
    pub fn peak_memory_mb(&self, node: usize) -> f64 {
        let id = self.nodes.0[node].as_ref().expect("a process").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
        peak.trim().trim_end_matches("kB").trim().parse::<f64>().expect("kB") / 1024.0
    }

    /// Returns whether any worker has ever started a task of this job.
    pub fn has_started(&self, job: &str) -> bool {
        lock(&self.workers).iter().any(|w| w.last_start_of_job.contains_key(job))
    }

    /// Delivers the start commands that were held up on their way to a worker.
    pub fn deliver_held_starts(&self, worker_index: usize) -> Delivered {
        deliver(&self.workers, worker_index, &self.duplicate_starts)
    }

    /// Delivers copies of the messages with starts that a worker has executed and answered.
    pub fn repeat_answered_starts(&self, worker_index: usize) -> Delivered {
        repeat_answered(&self.workers, worker_index, &self.duplicate_starts)
    }

    /// Counts the tasks of a job on these workers.
    pub fn tasks_on(&self, chosen: &[usize], job: &str) -> usize {
        let workers = lock(&self.workers);
        let tasks = chosen.iter().flat_map(|w| workers[*w].running_tasks());
        tasks.filter(|task| job_of(task) == job).count()
    }

    /// Counts the tasks of a job on all workers.
    pub fn running(&self, job: &str) -> usize {
        let is_of_job = |task: &str| task.rsplit_once('/').is_some_and(|(id, _)| id == job);
        let workers = lock(&self.workers);
        workers.iter().flat_map(Worker::running_tasks).filter(|task| is_of_job(task)).count()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Stops the workers' heartbeats: another test process may reuse these addresses, and its controllers would
        // then command the workers of this cluster.
        lock(&self.workers).iter_mut().for_each(|w| w.deleted = true);
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
