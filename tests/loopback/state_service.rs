//! The stand-in state service.

use crate::faults::{Fate, Faults, MACHINE_RECORD};
use crate::http::{EXECUTOR, body, lock, param};
use crate::requests::job;
use async_io::Timer;
use http_types::Method;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A job of which the stand-in for the state service does not speak.
pub const UNREADABLE: &str = "req-0888";

/// Jobs named like this ended long ago.
pub const ENDED: &str = "req-8";

/// How often what is held up looks whether it may go on.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    pub leases: BTreeMap<u64, (Instant, Duration)>,
    pub granted: u64,
    pub events: Vec<Value>,
    /// Jobs that ended long ago, by number: too many to be kept here one by one.
    pub ended: u32,
    /// Changes that were not conditional on a claim, though only a leader may make them.
    pub unfenced: Vec<String>,
    pub pages: Pages,
    pub faults: Faults,
    /// Transactions that wait on their way.
    pub held: Vec<Value>,
    /// Keys that a late transaction wrote although they had changed since it was sent.
    pub overwritten: Vec<String>,
}

/// Pages of lists that were asked for, and of those the ones of jobs.
#[derive(Default, Clone, Copy, Debug)]
pub struct Pages {
    pub all: usize,
    pub of_jobs: usize,
    pub bytes: usize,
}

/// The record of a job that ended long ago.
pub fn ended_job(n: u32) -> (String, Value) {
    let mut j = job(&format!("{ENDED}{n:06}"), "batch", 3);
    j["bulb"] = json!("img-1");
    (format!("job/{ENDED}{n:06}"), json!({"job": j, "at_ms": 1, "phase": "done", "ended_ms": 2}))
}

impl Store {
    /// Up to a thousand keys under a prefix, in order.
    pub fn page(&mut self, prefix: &str, after: &str) -> Outgoing {
        const MOST: usize = 1000;
        let ended = if "job/".starts_with(prefix) || prefix == "job/" { self.ended } else { 0 };
        let first = after.strip_prefix("job/").and_then(|a| a.strip_prefix(ENDED)).and_then(|n| n.parse().ok());
        let begins = format!("job/{ENDED}");
        let from = first.map_or(if after < begins.as_str() { 0 } else { ended }, |n: u32| n + 1);
        let long_ago = (from..ended.min(from.saturating_add(MOST as u32 + 1))).map(|n| {
            let (k, v) = ended_job(n);
            (k, json!(v), 1)
        });
        let kept = self.keys.range(after.to_owned()..).filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let mut all: Vec<(String, Value, u64)> =
            kept.take(MOST + 1).map(|(k, (v, n, _))| (k.clone(), v.clone(), *n)).chain(long_ago).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        let more = all.len() > MOST;
        all.truncate(MOST);
        let pairs: Vec<Value> = all.iter().map(|(k, v, n)| json!({"path": k, "v": v, "stamp": n})).collect();
        let out = Outgoing::json(200, &json!({"pairs": pairs, "has_next": more, "almanac": self.revision}));
        self.pages.all += 1;
        self.pages.of_jobs += usize::from(prefix == "job/");
        self.pages.bytes += out.body.len();
        out
    }

    pub fn expire(&mut self) {
        if self.faults.outage {
            return;
        }
        let dead: Vec<u64> = self.leases.iter().filter(|(_, l)| l.0.elapsed() > l.1).map(|(i, _)| *i).collect();
        for id in dead {
            self.leases.remove(&id);
            let gone: Vec<String> = self.keys.iter().filter(|(_, k)| k.2 == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in gone {
                self.revision += 1;
                self.keys.remove(&key);
                self.events.push(json!({"drop": key, "stamp": self.revision}));
            }
        }
    }

    /// The state service is out of order for everybody, or no longer: then every lease has its full
    /// time again.
    pub fn set_outage(&mut self, outage: bool) {
        self.faults.outage = outage;
        self.leases.values_mut().for_each(|l| l.0 = Instant::now());
    }

    /// Does this transaction make a job another shard's, and is it to wait?
    fn holds_move(&mut self, transaction: &Value) -> bool {
        if !self.faults.hold_moves {
            return false;
        }
        let writes = transaction["writes"].as_array().into_iter().flatten();
        let moved: Vec<String> = writes
            .filter(|write| write["v"]["moves"].as_u64() > Some(0))
            .filter_map(|write| Some(write["set"].as_str()?.to_owned()))
            .filter(|key| self.keys.get(key).is_some_and(|stored| stored.0["moves"].as_u64().unwrap_or(0) == 0))
            .collect();
        let holds = !moved.is_empty();
        self.faults.held_moves.extend(moved);
        holds
    }

    /// All transactions that wait on their way arrive. Returns how many are applied, and how many refused.
    pub fn apply_held(&mut self) -> (usize, usize) {
        let held = std::mem::take(&mut self.held);
        let applied = held.iter().filter(|t| self.commit(t).status == 200).count();
        (applied, held.len() - applied)
    }

    /// Does a stored record of machines name this job?
    pub fn has_record_of(&self, job: &str) -> bool {
        let names = |(key, value): (&String, &(Value, u64, Option<u64>))| {
            key.starts_with(MACHINE_RECORD) && value.0.to_string().contains(job)
        };
        self.keys.iter().any(names)
    }

    /// Does a transaction that waits on its way name this job?
    pub fn holds_record_of(&self, job: &str) -> bool {
        self.held.iter().any(|t| t["writes"].to_string().contains(job))
    }

    pub fn commit(&mut self, txn: &Value) -> Outgoing {
        let list = |n: &str| txn[n].as_array().cloned().unwrap_or_default();
        let written = |key: &str| list("writes").iter().any(|w| w["set"] == key || w["drop"] == key);
        if self.faults.refused_key.as_deref().is_some_and(written) {
            return Outgoing::json(503, &json!({"error": "trouble"}));
        }
        let failed: Vec<String> = list("if")
            .iter()
            .filter(|c| {
                let key = c["path"].as_str().unwrap_or("");
                let long_ago = self.ended > 0 && key.starts_with(&format!("job/{ENDED}"));
                self.keys.get(key).map_or(u64::from(long_ago), |k| k.1) != c["stamp"].as_u64().unwrap_or(0)
            })
            .map(|c| c["path"].as_str().unwrap_or("").to_owned())
            .collect();
        if !failed.is_empty() {
            return Outgoing::json(409, &json!({"failed": failed, "almanac": self.revision}));
        }
        let writes = list("writes");
        let fenced = list("if").iter().any(|c| {
            let claim = c["path"].as_str().is_some_and(|p| p == "own/0" || p.starts_with("own/c/"));
            claim && c["stamp"].as_u64().unwrap_or(0) > 0
        });
        for key in writes.iter().filter_map(|w| w["set"].as_str().or(w["drop"].as_str())) {
            // Whoever accepts a job stores its record if there is none; a claim is made as such.
            let anyone = key.starts_with("own/") || key.starts_with("job/") && !self.keys.contains_key(key);
            if !fenced && !anyone {
                self.unfenced.push(key.to_owned());
            }
        }
        if writes.iter().any(|w| w["tether"].as_u64().is_some_and(|t| !self.leases.contains_key(&t))) {
            return Outgoing::json(400, &json!({"error": "no such lease"}));
        }
        self.revision += 1;
        for w in writes {
            if let Some(key) = w["set"].as_str() {
                self.keys.insert(key.to_owned(), (w["v"].clone(), self.revision, w["tether"].as_u64()));
                self.events.push(json!({"set": key, "v": w["v"], "stamp": self.revision}));
            } else if let Some(key) = w["drop"].as_str() {
                self.keys.remove(key);
                self.events.push(json!({"drop": key, "stamp": self.revision}));
            }
        }
        Outgoing::json(200, &json!({"almanac": self.revision}))
    }
}

/// Answers one controller, or loses the answer.
pub async fn state(store: Arc<Mutex<Store>>, node: usize, req: Incoming) -> Option<Outgoing> {
    let commit = req.path == "/commit";
    let way = lock(&store).faults.slow_down(node);
    Timer::after(way).await;
    while commit && lock(&store).holds_move(&body(&req)) {
        Timer::after(LOOK).await;
    }
    while req.path.starts_with("/kv/job/") && lock(&store).faults.job_reads_held {
        Timer::after(LOOK).await;
    }
    let (refused, fate) = {
        let mut s = lock(&store);
        let refused = s.faults.refuses(node);
        (refused, if commit && !refused { s.faults.fate(&body(&req)) } else { Fate::Answered(Duration::ZERO) })
    };
    if refused {
        return Some(Outgoing::json(503, &json!({"error": "trouble"})));
    }
    match fate {
        Fate::Answered(delay) => {
            let out = answer(store, node, req).await;
            Timer::after(delay + way).await;
            Some(out)
        }
        Fate::AnswerLost => {
            answer(store, node, req).await;
            None
        }
        Fate::AnswerHeld => {
            let out = answer(store.clone(), node, req).await;
            while lock(&store).faults.record_answers_held {
                Timer::after(LOOK).await;
            }
            Some(out)
        }
        Fate::Held => {
            lock(&store).held.push(body(&req));
            std::future::pending().await
        }
        Fate::Late(delay) => {
            EXECUTOR.spawn(apply_late(store, req, delay)).detach();
            None
        }
    }
}

/// Applies a transaction that was held up on its way. Nobody hears its answer.
async fn apply_late(store: Arc<Mutex<Store>>, req: Incoming, delay: Duration) {
    let transaction = body(&req);
    let sent_at = lock(&store).revision;
    Timer::after(delay).await;
    let mut s = lock(&store);
    s.expire();
    let writes = transaction["writes"].as_array().cloned().unwrap_or_default();
    let keys = writes.iter().filter_map(|w| w["set"].as_str().or(w["drop"].as_str()));
    let changed = |key: &&str| s.keys.get(*key).is_some_and(|k| k.1 > sent_at);
    let newer: Vec<String> = keys.filter(changed).map(str::to_owned).collect();
    if s.commit(&transaction).status == 200 {
        s.overwritten.extend(newer);
    }
}

async fn answer(store: Arc<Mutex<Store>>, node: usize, req: Incoming) -> Outgoing {
    lock(&store).expire();
    let parts: Vec<&str> = req.path.trim_start_matches('/').splitn(2, '/').collect();
    match (req.method, parts[0], parts.get(1).copied()) {
        (Method::Get, "kv", Some(key)) if key.ends_with(UNREADABLE) => {
            Outgoing::json(503, &json!({"error": "not now"}))
        }
        (Method::Get, "kv", Some(key)) => {
            let s = lock(&store);
            let long_ago = key.strip_prefix("job/").and_then(|k| k.strip_prefix(ENDED)).and_then(|n| n.parse().ok());
            match (s.keys.get(key), long_ago) {
                (Some((v, n, _)), _) => Outgoing::json(200, &json!({"path": key, "v": v, "stamp": n})),
                (None, Some(n)) if n < s.ended => {
                    Outgoing::json(200, &json!({"path": key, "v": ended_job(n).1, "stamp": 1}))
                }
                (None, _) => Outgoing::json(404, &json!({"almanac": s.revision})),
            }
        }
        (Method::Get, "kv", None) => {
            let prefix = param(&req.query, "under").unwrap_or_default();
            lock(&store).page(&prefix, &param(&req.query, "from").unwrap_or_default())
        }
        (Method::Post, "commit", None) => lock(&store).commit(&body(&req)),
        (Method::Post, "grants", None) => {
            let mut s = lock(&store);
            // Never the same again, though earlier ones are gone.
            s.granted += 1;
            let id = s.granted;
            let life = Duration::from_millis(body(&req)["life_ms"].as_u64().unwrap_or(5000));
            s.leases.insert(id, (Instant::now(), life));
            Outgoing::json(200, &json!({"tether": id}))
        }
        (method, "grants", Some(rest)) => {
            let mut s = lock(&store);
            let id: u64 = rest.split('/').next().and_then(|i| i.parse().ok()).unwrap_or(0);
            match s.leases.get_mut(&id) {
                Some(l) if method == Method::Post => l.0 = Instant::now(),
                Some(l) => l.1 = Duration::ZERO,
                None => return Outgoing::json(404, &json!({})),
            }
            Outgoing::json(200, &json!({}))
        }
        (Method::Get, "follow", None) => {
            let prefix = param(&req.query, "under").unwrap_or_default();
            let from: u64 = param(&req.query, "from").and_then(|f| f.parse().ok()).unwrap_or(0);
            let block: u64 = param(&req.query, "block_ms").and_then(|f| f.parse().ok()).unwrap_or(0);
            let began = Instant::now();
            loop {
                {
                    let mut s = lock(&store);
                    s.expire();
                    // During an outage, watches that are open stay open.
                    let waits = s.faults.refuses(node);
                    let under =
                        |e: &Value| e["set"].as_str().or(e["drop"].as_str()).is_some_and(|k| k.starts_with(&prefix));
                    let news: Vec<&Value> =
                        s.events.iter().filter(|e| e["stamp"].as_u64().unwrap_or(0) > from && under(e)).collect();
                    if !waits && (!news.is_empty() || began.elapsed().as_millis() as u64 >= block) {
                        return Outgoing::json(200, &json!({"almanac": s.revision, "news": news}));
                    }
                }
                Timer::after(Duration::from_millis(10)).await;
            }
        }
        _ => Outgoing::json(400, &json!({})),
    }
}
