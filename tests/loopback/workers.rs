//! The stand-in workers.

use crate::direct::{Starts, starts_in};
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

pub const RUN_TIME: Duration = Duration::from_millis(400);

/// Tasks of jobs named like this last for a while, each for a time of its own.
pub const LASTING: &str = "req-5";
const LASTS: [u64; 5] = [500, 1100, 2300, 3700, 6100];

/// Of jobs whose tasks end far apart each runs so much longer than the one before.
pub const ENDS_APART: Duration = Duration::from_secs(6);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// A worker drops answers that take longer, and where its connection fails it tries again after a while.
const ANSWERED_WITHIN: Duration = Duration::from_secs(4);
const TRIED_AGAIN_AFTER: Duration = Duration::from_secs(1);

pub struct Task {
    pub attempt: u64,
    pub began: Instant,
    pub stopped: bool,
    /// It saves, and will have done so then.
    pub saves_until: Option<Instant>,
    pub service: bool,
    /// How long it runs if it is not a service's.
    pub run_time: Duration,
}

fn run_time(task: &str) -> Duration {
    if task.starts_with(LASTING) {
        let bytes: usize = task.bytes().map(usize::from).sum();
        return Duration::from_millis(LASTS[bytes % LASTS.len()]);
    }
    let number = task.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
    RUN_TIME + if task.starts_with(MIN_LEAD) { ENDS_APART * number } else { Duration::ZERO }
}

/// A worker; what several of them run at the same time is checked at every start.
pub struct Worker {
    pub name: String,
    pub zone: &'static str,
    pub addr: SocketAddr,
    pub up_since: Instant,
    pub incarnation: u64,
    pub seq: u64,
    pub token: u64,
    /// When the last report that got an answer was sent.
    pub renewed: Instant,
    pub lease: Duration,
    /// It says and does nothing for now; it was deleted, and never will again.
    pub hangs: bool,
    pub deleted: bool,
    /// It says what it has to say, and nothing that is said to it arrives: in answers, in commands.
    pub deaf: bool,
    pub deaf_to_commands: bool,
    /// Of each answer to its reports the connection breaks.
    pub answers_break: bool,
    /// It reaches no controller, and commands reach it.
    pub mute: bool,
    /// Commands are executed so long after they came, and never answered.
    pub command_delay: Duration,
    /// Messages with commands that were held up so far.
    pub commands_held_up: usize,
    /// What becomes of starts on their way to it, and the messages that wait for their delivery.
    pub starts: Starts,
    pub held_starts: Vec<Value>,
    /// Tasks that it was told to start by direct messages whose answers were lost.
    pub starts_unanswered: Vec<String>,
    /// The highest token in an answer to its reports that it never took in.
    pub dropped_token: u64,
    /// The counter of the latest report whose answer it never took in.
    pub dropped_seq: u64,
    /// Seconds until the cloud takes its machine away, as it says.
    pub notice_s: Option<f64>,
    /// How long its tasks take to save when they may.
    pub saves: Duration,
    pub tasks: BTreeMap<String, Task>,
    /// Tasks that it has reported as done, also those that it has forgotten since.
    pub completed: BTreeSet<String>,
    /// Jobs of which it has started a task, and when it last did.
    pub begun: BTreeMap<String, Instant>,
    /// Controllers that its reports do not reach.
    pub cut_from: BTreeSet<usize>,
    /// Reports that were sent on or turned away.
    pub elsewhere: usize,
}

pub type Workers = Arc<Mutex<Vec<Worker>>>;

/// What a worker was told to do with a task, and did.
pub struct Executed {
    pub at: Instant,
    pub worker: String,
    pub command: String,
    pub task: String,
    pub attempt: u64,
    pub token: u64,
    pub incarnation: u64,
    /// The task was on another worker at that moment.
    pub twice: bool,
}

/// The latest commands that the workers of this process executed.
pub static EXECUTED: Mutex<VecDeque<Executed>> = Mutex::new(VecDeque::new());
const MAX_EXECUTED: usize = 100_000;
/// Of a task that broke a rule so many of the last commands are told.
const COMMANDS_TOLD: usize = 25;

fn note_executed(executed: Executed) {
    let mut all = lock(&EXECUTED);
    if all.len() >= MAX_EXECUTED {
        all.pop_front();
    }
    all.push_back(executed);
}

/// The last commands about a task that workers executed.
pub fn commands_of(task: &str) -> Vec<String> {
    let executed = lock(&EXECUTED);
    let of_task: Vec<&Executed> = executed.iter().filter(|e| e.task == task).collect();
    let last = of_task.iter().skip(of_task.len().saturating_sub(COMMANDS_TOLD));
    last.map(|e| {
        let twice = if e.twice { ", while it is on another" } else { "" };
        let ago = e.at.elapsed().as_secs_f64();
        format!(
            "    {ago:.3} s ago: {} {} attempt {} on {}, session {}, token {}{twice}",
            e.command, e.task, e.attempt, e.worker, e.incarnation, e.token
        )
    })
    .collect()
}

impl Task {
    pub fn ended(&self) -> Option<&'static str> {
        if self.stopped || self.saves_until.is_some_and(|t| Instant::now() >= t) {
            Some("stopped")
        } else {
            (!self.service && self.began.elapsed() > self.run_time).then_some("done")
        }
    }
}

impl Worker {
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
            deaf: false,
            deaf_to_commands: false,
            answers_break: false,
            mute: false,
            command_delay: Duration::ZERO,
            commands_held_up: 0,
            starts: Starts::Arrive,
            held_starts: Vec::new(),
            starts_unanswered: Vec::new(),
            dropped_token: 0,
            dropped_seq: 0,
            notice_s: None,
            saves: Duration::ZERO,
            tasks: BTreeMap::new(),
            completed: BTreeSet::new(),
            begun: BTreeMap::new(),
            cut_from: BTreeSet::new(),
            elsewhere: 0,
        }
    }

    /// The answer to this report came too late, or never.
    fn drop_answer(&mut self, report: &Value, reply: &Value) {
        self.dropped_token = self.dropped_token.max(reply["warrant"].as_u64().unwrap_or(0));
        self.dropped_seq = report["tally"].as_u64().unwrap_or(0);
    }

    /// When its lease is over, it ends all its tasks and goes on with the next incarnation.
    pub fn look_at_lease(&mut self) {
        if self.renewed.elapsed() > self.lease {
            self.tasks.clear();
            self.incarnation += 1;
            self.renewed = Instant::now();
        }
    }

    /// What is on it at this moment, also while it hangs: until its lease is over.
    pub fn on_it(&self) -> impl Iterator<Item = &str> {
        let there = !self.deleted && self.renewed.elapsed() <= self.lease;
        self.tasks.iter().filter(move |(_, t)| there && t.ended().is_none()).map(|(n, _)| n.as_str())
    }

    pub fn report(&mut self) -> Value {
        self.seq += 1;
        // Looked at once: a task that ended in between was reported as done, and counted as done only by the next
        // report, so that controllers that told it seemed to be wrong.
        let tasks: Vec<(&String, &Task, Option<&'static str>)> =
            self.tasks.iter().map(|(name, task)| (name, task, task.ended())).collect();
        let done = tasks.iter().filter(|(.., ended)| *ended == Some("done")).map(|(name, ..)| (*name).clone());
        self.completed.extend(done);
        let seeds: Vec<Value> = tasks
            .into_iter()
            .map(|(n, t, ended)| match ended {
                Some(why) => json!({"seed": n, "sowing": t.attempt, "bloom": "ended", "wilt": why}),
                None if t.saves_until.is_some() => json!({"seed": n, "sowing": t.attempt, "bloom": "flushing"}),
                None => json!({"seed": n, "sowing": t.attempt, "bloom": "running"}),
            })
            .collect();
        json!({"plot": self.name, "addr": self.addr.to_string(), "strain": "m8", "field": self.zone, "fallow": false,
            "season": self.incarnation, "tally": self.seq, "warrant": self.token, "reclaim_s": self.notice_s, "seeds": seeds})
    }
}

/// Executes commands on the worker at `w`; a start of what runs elsewhere is noted.
pub fn obey(all: &Workers, w: usize, reply: &Value, twice: &Mutex<Vec<String>>) -> bool {
    let mut all = lock(all);
    let token = reply["warrant"].as_u64().unwrap_or(0);
    if token < all[w].token {
        return false;
    }
    all[w].token = token;
    for c in reply["tidings"].as_array().cloned().unwrap_or_default() {
        let (task, attempt) = (c["seed"].as_str().unwrap_or("").to_owned(), c["sowing"].as_u64().unwrap_or(0));
        let command = c["tiding"].as_str().unwrap_or("").to_owned();
        let starts = command == "run" && !all[w].tasks.contains_key(&task);
        let elsewhere = starts && all.iter().any(|o| o.on_it().any(|n| n == task));
        note_executed(Executed {
            at: Instant::now(),
            worker: all[w].name.clone(),
            command,
            task: task.clone(),
            attempt,
            token,
            incarnation: all[w].incarnation,
            twice: elsewhere,
        });
        match c["tiding"].as_str() {
            Some("run") if starts => {
                if elsewhere {
                    lock(twice).push(task.clone());
                }
                let service = task.starts_with(SERVICES) || task.starts_with(LONG);
                let began = Instant::now();
                all[w].begun.extend(task.split('/').next().map(|job| (job.to_owned(), began)));
                let run_time = run_time(&task);
                let started = Task { attempt, began, stopped: false, saves_until: None, service, run_time };
                all[w].tasks.insert(task, started);
            }
            Some("halt") => {
                let saves = all[w].saves;
                if let Some(t) = all[w].tasks.get_mut(&task).filter(|t| t.attempt == attempt && t.ended().is_none()) {
                    let mercy = c["mercy_s"].as_f64().unwrap_or(0.0);
                    match t.saves_until {
                        None if mercy > 0.0 => t.saves_until = Some(Instant::now() + saves),
                        Some(_) if mercy > 0.0 => {}
                        _ => t.stopped = true,
                    }
                }
            }
            Some("forget") => _ = all[w].tasks.remove(&task),
            _ => {}
        }
    }
    true
}

pub async fn work(all: Workers, w: usize, nodes: Vec<SocketAddr>, twice: Arc<Mutex<Vec<String>>>) {
    let client = Client::new(1, 1);
    let mut at = w % nodes.len();
    loop {
        let sent = Instant::now();
        let said = {
            let me = &mut lock(&all)[w];
            if me.deleted {
                return;
            }
            if !me.hangs {
                me.look_at_lease();
            }
            (!me.hangs && !me.mute).then(|| (me.report(), me.incarnation))
        };
        let Some((report, incarnation)) = said else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        if lock(&all)[w].cut_from.contains(&at) {
            at = (at + 1) % nodes.len();
            Timer::after(HEARTBEAT_INTERVAL).await;
            continue;
        }
        let bytes = serde_json::to_vec(&report).expect("a report");
        let answer = client.call(nodes[at], Method::Post, "/checkin", Some(bytes), ANSWERED_WITHIN).await;
        let reply: Value = match &answer {
            Ok((200, b)) => serde_json::from_slice(b).unwrap_or_default(),
            _ => Value::Null,
        };
        let waits_in_vain = {
            let me = &lock(&all)[w];
            let tells_starts = me.starts == Starts::HeldUp && !starts_in(&reply).is_empty();
            let breaks = reply.is_object() && (me.answers_break || tells_starts);
            me.deaf.then_some(ANSWERED_WITHIN).or(breaks.then_some(TRIED_AGAIN_AFTER))
        };
        if let Some(pause) = waits_in_vain {
            lock(&all)[w].drop_answer(&report, &reply);
            // It asks the next one then.
            Timer::after(pause).await;
            at = (at + 1) % nodes.len();
            Timer::after(HEARTBEAT_INTERVAL).await;
            continue;
        }
        match answer {
            Ok((200, _)) => {
                let in_time = {
                    let me = &mut lock(&all)[w];
                    me.look_at_lease();
                    me.incarnation == incarnation && !me.hangs && !me.deleted
                };
                // Answers to an earlier incarnation, and those of an earlier leader, renew nothing.
                if in_time && obey(&all, w, &reply, &twice) {
                    lock(&all)[w].renewed = sent;
                }
            }
            Ok((421, b)) => {
                lock(&all)[w].elsewhere += 1;
                let v: Value = serde_json::from_slice(&b).unwrap_or_default();
                let named = v["gardener"].as_str().and_then(|n| n.strip_prefix('n')?.parse().ok());
                at = named.unwrap_or((at + 1) % nodes.len());
            }
            other => {
                lock(&all)[w].elsewhere += usize::from(other.is_ok());
                at = (at + 1) % nodes.len();
            }
        }
        Timer::after(HEARTBEAT_INTERVAL).await;
    }
}
