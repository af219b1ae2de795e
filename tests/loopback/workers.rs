//! Simulated workers.

use crate::direct::{Starts, tasks_to_start};
use crate::http::lock;
use crate::requests::{LONG, MIN_LEAD, SERVICES};
use async_io::Timer;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a task of an ordinary array runs.
pub const RUN_TIME: Duration = Duration::from_millis(400);

/// Prefix of the ids of jobs whose tasks run for different times.
pub const LASTING: &str = "req-5";
/// The run times of these tasks in milliseconds.
const LASTING_RUN_TIMES_MS: [u64; 5] = [500, 1100, 2300, 3700, 6100];

/// How much longer each task of a [`MIN_LEAD`] job runs than the one before it.
pub const ENDS_APART: Duration = Duration::from_secs(6);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// A worker gives up a heartbeat that gets no reply for this long, and waits after a failed connection.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A task on a worker.
pub struct Task {
    pub attempt: u64,
    pub began: Instant,
    pub stopped: bool,
    /// The task ended with an error.
    pub failed: bool,
    /// The end of saving, if the task was asked to save and stop.
    pub saves_until: Option<Instant>,
    pub service: bool,
    /// How long the task runs, unless it belongs to a service.
    pub run_time: Duration,
}

/// Returns how long a task of an array runs, by its name.
fn run_time(task: &str) -> Duration {
    if task.starts_with(LASTING) {
        let bytes: usize = task.bytes().map(usize::from).sum();
        return Duration::from_millis(LASTING_RUN_TIMES_MS[bytes % LASTING_RUN_TIMES_MS.len()]);
    }
    let number = task.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
    RUN_TIME + if task.starts_with(MIN_LEAD) { ENDS_APART * number } else { Duration::ZERO }
}

/// A worker, and the faults that a test injects into it.
pub struct Worker {
    pub name: String,
    pub zone: &'static str,
    pub addr: SocketAddr,
    pub up_since: Instant,
    pub incarnation: u64,
    /// Counter of heartbeats.
    pub seq: u64,
    /// Highest fencing token in a reply or command.
    pub token: u64,
    /// When the last heartbeat that got a reply was sent.
    pub renewed: Instant,
    pub lease: Duration,
    /// The worker does nothing for now.
    pub hangs: bool,
    /// The machine was deleted.
    pub deleted: bool,
    /// Replies to its heartbeats are lost.
    pub drops_replies: bool,
    /// Direct commands to it are lost.
    pub drops_commands: bool,
    /// The connection breaks before each reply to its heartbeats arrives.
    pub reply_connections_break: bool,
    /// Its heartbeats are lost, while direct commands still arrive.
    pub sends_no_heartbeats: bool,
    /// Direct commands are executed this long after their arrival, and never answered.
    pub command_delay: Duration,
    /// Number of messages with commands that were delayed so far.
    pub commands_held_up: usize,
    /// How messages with start commands to it are treated.
    pub starts: Starts,
    /// Messages with start commands that wait for [`crate::direct::deliver`].
    pub held_starts: Vec<Value>,
    /// The last messages with start commands that it executed and answered.
    pub answered_starts: VecDeque<Value>,
    /// Tasks that it started by direct commands whose responses were lost.
    pub starts_unanswered: Vec<String>,
    /// Highest fencing token in a lost reply to its heartbeats.
    pub dropped_token: u64,
    /// Counter of the latest heartbeat whose reply was lost.
    pub dropped_seq: u64,
    /// Seconds until the cloud reclaims its machine, as reported in its heartbeats.
    pub notice_s: Option<f64>,
    /// How long its tasks take to save before they stop.
    pub save_time: Duration,
    pub tasks: BTreeMap<String, Task>,
    /// Tasks that it has reported as done, including those that it has forgotten since.
    pub completed: BTreeSet<String>,
    /// When it last started a task of each job.
    pub last_start_of_job: BTreeMap<String, Instant>,
    /// Controllers that its heartbeats do not reach, by node number.
    pub cut_from: BTreeSet<usize>,
    /// Number of heartbeats that a controller redirected or refused.
    pub redirected_heartbeats: usize,
}

pub type Workers = Arc<Mutex<Vec<Worker>>>;

/// A command that a worker executed.
pub struct Executed {
    pub at: Instant,
    pub worker: String,
    pub command: String,
    pub task: String,
    pub attempt: u64,
    pub token: u64,
    pub incarnation: u64,
    /// The command started a task that ran on another worker at that time.
    pub duplicate: bool,
}

/// The latest commands that the workers of this process have executed.
pub static EXECUTED: Mutex<VecDeque<Executed>> = Mutex::new(VecDeque::new());
const MAX_EXECUTED: usize = 100_000;
/// Number of the last commands that are shown for a task that violated a rule.
const COMMANDS_SHOWN: usize = 25;

fn record_executed(executed: Executed) {
    let mut all = lock(&EXECUTED);
    if all.len() >= MAX_EXECUTED {
        all.pop_front();
    }
    all.push_back(executed);
}

/// Describes the last commands for a task that workers executed.
pub fn commands_of(task: &str) -> Vec<String> {
    let executed = lock(&EXECUTED);
    let of_task: Vec<&Executed> = executed.iter().filter(|executed| executed.task == task).collect();
    let last = of_task.iter().skip(of_task.len().saturating_sub(COMMANDS_SHOWN));
    last.map(|executed| {
        let duplicate = if executed.duplicate { ", while it is on another" } else { "" };
        let age_s = executed.at.elapsed().as_secs_f64();
        format!(
            "    {age_s:.3} s ago: {} {} attempt {} on {}, incarnation {}, token {}{duplicate}",
            executed.command, executed.task, executed.attempt, executed.worker, executed.incarnation, executed.token
        )
    })
    .collect()
}

impl Task {
    /// Returns why the task has ended, or `None` while it runs.
    pub fn ended(&self) -> Option<&'static str> {
        if self.failed {
            Some("error")
        } else if self.stopped || self.saves_until.is_some_and(|end| Instant::now() >= end) {
            Some("stopped")
        } else {
            (!self.service && self.began.elapsed() > self.run_time).then_some("done")
        }
    }
}

impl Worker {
    /// Returns a worker without tasks or faults.
    pub fn new(name: String, addr: SocketAddr, zone: &'static str, lease: Duration) -> Worker {
        Worker {
            name,
            zone,
            addr,
            up_since: Instant::now(),
            incarnation: 1,
            seq: 0,
            token: 0,
            renewed: Instant::now(),
            lease,
            hangs: false,
            deleted: false,
            drops_replies: false,
            drops_commands: false,
            reply_connections_break: false,
            sends_no_heartbeats: false,
            command_delay: Duration::ZERO,
            commands_held_up: 0,
            starts: Starts::Arrive,
            held_starts: Vec::new(),
            answered_starts: VecDeque::new(),
            starts_unanswered: Vec::new(),
            dropped_token: 0,
            dropped_seq: 0,
            notice_s: None,
            save_time: Duration::ZERO,
            tasks: BTreeMap::new(),
            completed: BTreeSet::new(),
            last_start_of_job: BTreeMap::new(),
            cut_from: BTreeSet::new(),
            redirected_heartbeats: 0,
        }
    }

    /// Records that the reply to this heartbeat was lost.
    fn record_lost_reply(&mut self, heartbeat: &Value, reply: &Value) {
        self.dropped_token = self.dropped_token.max(reply["warrant"].as_u64().unwrap_or(0));
        self.dropped_seq = heartbeat["tally"].as_u64().unwrap_or(0);
    }

    /// Ends all tasks and begins the next incarnation if the lease has ended.
    pub fn expire_lease(&mut self) {
        if self.renewed.elapsed() > self.lease {
            self.tasks.clear();
            self.incarnation += 1;
            self.renewed = Instant::now();
        }
    }

    /// Ends all running tasks with an error.
    pub fn fail_tasks(&mut self) {
        self.tasks.values_mut().filter(|task| task.ended().is_none()).for_each(|task| task.failed = true);
    }

    /// Returns the tasks that run now. A worker that hangs keeps its tasks until its lease ends.
    pub fn running_tasks(&self) -> impl Iterator<Item = &str> {
        let is_alive = !self.deleted && self.renewed.elapsed() <= self.lease;
        self.tasks.iter().filter(move |(_, task)| is_alive && task.ended().is_none()).map(|(name, _)| name.as_str())
    }

    /// Returns the next heartbeat.
    pub fn heartbeat(&mut self) -> Value {
        self.seq += 1;
        // Each task's state is read once, for the heartbeat and for `completed`. If it were read twice, a task that
        // ends in between would be reported as done before `completed` has it, and a correct controller would seem
        // wrong.
        let tasks: Vec<(&String, &Task, Option<&'static str>)> =
            self.tasks.iter().map(|(name, task)| (name, task, task.ended())).collect();
        let done = tasks.iter().filter(|(.., ended)| *ended == Some("done")).map(|(name, ..)| (*name).clone());
        self.completed.extend(done);
        let seeds: Vec<Value> = tasks
            .into_iter()
            .map(|(name, task, ended)| match ended {
                Some(why) => json!({"seed": name, "sowing": task.attempt, "bloom": "ended", "wilt": why}),
                None if task.saves_until.is_some() => {
                    json!({"seed": name, "sowing": task.attempt, "bloom": "flushing"})
                }
                None => json!({"seed": name, "sowing": task.attempt, "bloom": "running"}),
            })
            .collect();
        json!({"plot": self.name, "addr": self.addr.to_string(), "strain": "m8", "field": self.zone, "fallow": false,
            "season": self.incarnation, "tally": self.seq, "warrant": self.token, "reclaim_s": self.notice_s, "seeds": seeds})
    }
}

/// Executes commands on a worker, unless their fencing token is outdated. Returns whether it did. Records each start
/// of a task that still runs on another worker.
pub fn execute_commands(all: &Workers, index: usize, reply: &Value, duplicate_starts: &Mutex<Vec<String>>) -> bool {
    let mut all = lock(all);
    let token = reply["warrant"].as_u64().unwrap_or(0);
    if token < all[index].token {
        return false;
    }
    all[index].token = token;
    for command in reply["tidings"].as_array().cloned().unwrap_or_default() {
        let (task, attempt) =
            (command["seed"].as_str().unwrap_or("").to_owned(), command["sowing"].as_u64().unwrap_or(0));
        let kind = command["tiding"].as_str().unwrap_or("").to_owned();
        let starts = kind == "run" && !all[index].tasks.contains_key(&task);
        let runs_elsewhere = starts && all.iter().any(|other| other.running_tasks().any(|name| name == task));
        record_executed(Executed {
            at: Instant::now(),
            worker: all[index].name.clone(),
            command: kind,
            task: task.clone(),
            attempt,
            token,
            incarnation: all[index].incarnation,
            duplicate: runs_elsewhere,
        });
        match command["tiding"].as_str() {
            Some("run") if starts => {
                if runs_elsewhere {
                    lock(duplicate_starts).push(task.clone());
                }
                let service = task.starts_with(SERVICES) || task.starts_with(LONG);
                let began = Instant::now();
                all[index].last_start_of_job.extend(task.split('/').next().map(|job| (job.to_owned(), began)));
                let run_time = run_time(&task);
                let started =
                    Task { attempt, began, stopped: false, failed: false, saves_until: None, service, run_time };
                all[index].tasks.insert(task, started);
            }
            Some("halt") => {
                let save_time = all[index].save_time;
                if let Some(running) =
                    all[index].tasks.get_mut(&task).filter(|task| task.attempt == attempt && task.ended().is_none())
                {
                    let grace_s = command["mercy_s"].as_f64().unwrap_or(0.0);
                    match running.saves_until {
                        None if grace_s > 0.0 => running.saves_until = Some(Instant::now() + save_time),
                        Some(_) if grace_s > 0.0 => {}
                        _ => running.stopped = true,
                    }
                }
            }
            Some("forget") => _ = all[index].tasks.remove(&task),
            _ => {}
        }
    }
    true
}

/// Sends a worker's heartbeats to one controller after the other, and executes the commands in their replies, until
/// its machine is deleted.
pub async fn run_worker(all: Workers, index: usize, nodes: Vec<SocketAddr>, duplicate_starts: Arc<Mutex<Vec<String>>>) {
    let client = Client::new(1, 1);
    let mut at = index % nodes.len();
    loop {
        let sent = Instant::now();
        let heartbeat = {
            let worker = &mut lock(&all)[index];
            if worker.deleted {
                return;
            }
            if !worker.hangs {
                worker.expire_lease();
            }
            (!worker.hangs && !worker.sends_no_heartbeats).then(|| (worker.heartbeat(), worker.incarnation))
        };
        let Some((heartbeat, incarnation)) = heartbeat else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        if lock(&all)[index].cut_from.contains(&at) {
            at = (at + 1) % nodes.len();
            Timer::after(HEARTBEAT_INTERVAL).await;
            continue;
        }
        let bytes = serde_json::to_vec(&heartbeat).expect("a heartbeat is JSON");
        let response = client.call(nodes[at], Method::Post, "/checkin", Some(bytes), REPLY_TIMEOUT).await;
        let reply: Value = match &response {
            Ok((200, body)) => serde_json::from_slice(body).unwrap_or_default(),
            _ => Value::Null,
        };
        let pause_after_loss = {
            let worker = &lock(&all)[index];
            let holds_up_starts = worker.starts == Starts::HeldUp && !tasks_to_start(&reply).is_empty();
            let connection_breaks = reply.is_object() && (worker.reply_connections_break || holds_up_starts);
            worker.drops_replies.then_some(REPLY_TIMEOUT).or(connection_breaks.then_some(RETRY_AFTER))
        };
        if let Some(pause) = pause_after_loss {
            lock(&all)[index].record_lost_reply(&heartbeat, &reply);
            // Then it tries the next controller.
            Timer::after(pause).await;
            at = (at + 1) % nodes.len();
            Timer::after(HEARTBEAT_INTERVAL).await;
            continue;
        }
        match response {
            Ok((200, _)) => {
                let in_time = {
                    let worker = &mut lock(&all)[index];
                    worker.expire_lease();
                    worker.incarnation == incarnation && !worker.hangs && !worker.deleted
                };
                // Replies to an earlier incarnation and replies of an earlier leader don't renew the lease.
                if in_time && execute_commands(&all, index, &reply, &duplicate_starts) {
                    lock(&all)[index].renewed = sent;
                }
            }
            Ok((421, redirect)) => {
                lock(&all)[index].redirected_heartbeats += 1;
                let body: Value = serde_json::from_slice(&redirect).unwrap_or_default();
                let leader = body["gardener"].as_str().and_then(|n| n.strip_prefix('n')?.parse().ok());
                at = leader.unwrap_or((at + 1) % nodes.len());
            }
            other => {
                lock(&all)[index].redirected_heartbeats += usize::from(other.is_ok());
                at = (at + 1) % nodes.len();
            }
        }
        Timer::after(HEARTBEAT_INTERVAL).await;
    }
}
