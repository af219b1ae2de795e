//! The stand-in workers.

use crate::http::{EX, lock};
use crate::requests::{APART, LONG, SERVICES};
use async_io::Timer;
use http_types::Method;
use lupinspur::http::{Client, Outgoing};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const RUN_TIME: Duration = Duration::from_millis(400);

/// Of jobs whose tasks end far apart each runs so much longer than the one before.
pub const ENDS_APART: Duration = Duration::from_secs(6);

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
    let number = task.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
    RUN_TIME + if task.starts_with(APART) { ENDS_APART * number } else { Duration::ZERO }
}

/// A worker; what several of them run at the same time is checked at every start.
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub session: u64,
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
    /// It reaches no controller, and commands reach it.
    pub mute: bool,
    /// Commands are executed so long after they came, and never answered.
    pub command_delay: Duration,
    /// Messages with commands that were held up so far.
    pub commands_held_up: usize,
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
    /// When its lease is over, it ends all its tasks and goes on with the next session.
    pub fn look_at_lease(&mut self) {
        if self.renewed.elapsed() > self.lease {
            self.tasks.clear();
            self.session += 1;
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
        let done = self.tasks.iter().filter(|(_, t)| t.ended() == Some("done")).map(|(name, _)| name.clone());
        self.completed.extend(done);
        let seeds: Vec<Value> = self
            .tasks
            .iter()
            .map(|(n, t)| match t.ended() {
                Some(why) => json!({"seed": n, "sowing": t.attempt, "bloom": "ended", "wilt": why}),
                None if t.saves_until.is_some() => json!({"seed": n, "sowing": t.attempt, "bloom": "flushing"}),
                None => json!({"seed": n, "sowing": t.attempt, "bloom": "running"}),
            })
            .collect();
        json!({"plot": self.name, "addr": self.addr.to_string(), "strain": "m8", "field": "a", "fallow": false,
            "season": self.session, "tally": self.seq, "warrant": self.token, "reclaim_s": null, "seeds": seeds})
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
        match c["tiding"].as_str() {
            Some("run") if !all[w].tasks.contains_key(&task) => {
                let elsewhere = all.iter().any(|o| o.on_it().any(|n| n == task));
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

/// Executes commands that were held up on their way, if token and session still match. Whoever
/// sent them has given up by then.
pub async fn execute_late(
    all: Workers,
    w: usize,
    commands: Value,
    twice: Arc<Mutex<Vec<String>>>,
    delay: Duration,
) -> Outgoing {
    let has_commands = commands["tidings"].as_array().is_some_and(|c| !c.is_empty());
    lock(&all)[w].commands_held_up += usize::from(has_commands);
    EX.spawn(async move {
        Timer::after(delay).await;
        let matches = {
            let worker = &lock(&all)[w];
            !worker.deleted && commands["season"].as_u64() == Some(worker.session)
        };
        if matches {
            obey(&all, w, &commands, &twice);
        }
    })
    .detach();
    std::future::pending().await
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
            (!me.hangs && !me.mute).then(|| (me.report(), me.session))
        };
        let Some((report, session)) = said else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        if lock(&all)[w].cut_from.contains(&at) {
            at = (at + 1) % nodes.len();
            Timer::after(Duration::from_millis(150)).await;
            continue;
        }
        let bytes = serde_json::to_vec(&report).expect("a report");
        let answer = client.call(nodes[at], Method::Post, "/checkin", Some(bytes), Duration::from_secs(4)).await;
        let deaf = lock(&all)[w].deaf;
        match answer {
            _ if deaf => {
                // It waits in vain, and asks the next.
                Timer::after(Duration::from_secs(4)).await;
                at = (at + 1) % nodes.len();
            }
            Ok((200, b)) => {
                let in_time = {
                    let me = &mut lock(&all)[w];
                    me.look_at_lease();
                    me.session == session && !me.hangs && !me.deleted
                };
                // Answers to an earlier session, and those of an earlier owner, renew nothing.
                if in_time && obey(&all, w, &serde_json::from_slice(&b).unwrap_or_default(), &twice) {
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
        Timer::after(Duration::from_millis(150)).await;
    }
}
