//! The simulated state service.

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

/// A job whose record the state service refuses to return.
pub const UNREADABLE: &str = "req-0888";

/// Prefix of the ids of jobs that ended long ago.
pub const ENDED: &str = "req-8";

/// How often a request that is held up checks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The stored keys, the leases, and what a test observes of them.
#[derive(Default)]
pub struct Store {
    /// Each key's value, the revision of its last change, and its lease.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    /// When each lease was last renewed, and its duration.
    pub leases: BTreeMap<u64, (Instant, Duration)>,
    /// Number of leases granted so far.
    pub granted: u64,
    /// All changes of keys so far.
    pub events: Vec<Value>,
    /// Number of jobs that ended long ago. Their records are computed, since there may be too many to store.
    pub ended: u32,
    /// Keys that only a leader may change and that were written without a condition on a leadership record.
    pub unfenced: Vec<String>,
    pub pages: Pages,
    pub faults: Faults,
    /// Transactions that are held up on their way.
    pub held: Vec<Value>,
    /// Keys that a delayed transaction wrote although they had changed since it was sent.
    pub overwritten: Vec<String>,
}

/// Counts of the pages that were listed.
#[derive(Default, Clone, Copy, Debug)]
pub struct Pages {
    pub all: usize,
    /// Pages of job records.
    pub of_jobs: usize,
    /// Size of all pages.
    pub bytes: usize,
}

/// Returns the key and the record of a job that ended long ago.
pub fn ended_job(number: u32) -> (String, Value) {
    let mut submission = job(&format!("{ENDED}{number:06}"), "batch", 3);
    submission["bulb"] = json!("img-1");
    (format!("job/{ENDED}{number:06}"), json!({"job": submission, "at_ms": 1, "phase": "done", "ended_ms": 2}))
}

impl Store {
    /// Returns up to a thousand keys under a prefix, in order, after the key `after`.
    pub fn page(&mut self, prefix: &str, after: &str) -> Outgoing {
        const PAGE_SIZE: usize = 1000;
        let ended = if "job/".starts_with(prefix) || prefix == "job/" { self.ended } else { 0 };
        let last_listed =
            after.strip_prefix("job/").and_then(|key| key.strip_prefix(ENDED)).and_then(|number| number.parse().ok());
        let first_key = format!("job/{ENDED}");
        let from = last_listed.map_or(if after < first_key.as_str() { 0 } else { ended }, |number: u32| number + 1);
        let long_ago = (from..ended.min(from.saturating_add(PAGE_SIZE as u32 + 1))).map(|number| {
            let (key, value) = ended_job(number);
            (key, json!(value), 1)
        });
        let kept =
            self.keys.range(after.to_owned()..).filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut all: Vec<(String, Value, u64)> = kept
            .take(PAGE_SIZE + 1)
            .map(|(key, (value, revision, _))| (key.clone(), value.clone(), *revision))
            .chain(long_ago)
            .collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        let more = all.len() > PAGE_SIZE;
        all.truncate(PAGE_SIZE);
        let pairs: Vec<Value> =
            all.iter().map(|(key, value, revision)| json!({"path": key, "v": value, "stamp": revision})).collect();
        let response = Outgoing::json(200, &json!({"pairs": pairs, "has_next": more, "almanac": self.revision}));
        self.pages.all += 1;
        self.pages.of_jobs += usize::from(prefix == "job/");
        self.pages.bytes += response.body.len();
        response
    }

    /// Deletes the leases that have ended, and their keys.
    pub fn expire(&mut self) {
        if self.faults.outage {
            return;
        }
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (renewed, ttl))| renewed.elapsed() > *ttl).map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let expired_keys: Vec<String> =
                self.keys.iter().filter(|(_, (_, _, lease))| *lease == Some(id)).map(|(key, _)| key.clone()).collect();
            for key in expired_keys {
                self.revision += 1;
                self.keys.remove(&key);
                self.events.push(json!({"drop": key, "stamp": self.revision}));
            }
        }
    }

    /// Begins or ends an outage for all controllers. Either way every lease starts again with its full duration.
    pub fn set_outage(&mut self, outage: bool) {
        self.faults.outage = outage;
        self.leases.values_mut().for_each(|(renewed, _)| *renewed = Instant::now());
    }

    /// Returns whether this transaction moves a job to another shard and has to be held up. Records the keys of such
    /// jobs.
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
        let is_held = !moved.is_empty();
        self.faults.held_moves.extend(moved);
        is_held
    }

    /// Applies all transactions that were held up. Returns how many succeeded, and how many failed.
    pub fn apply_held(&mut self) -> (usize, usize) {
        let held = std::mem::take(&mut self.held);
        let applied = held.iter().filter(|transaction| self.commit(transaction).status == 200).count();
        (applied, held.len() - applied)
    }

    /// Returns whether a stored machine group record names this job.
    pub fn has_record_of(&self, job: &str) -> bool {
        let names = |(key, value): (&String, &(Value, u64, Option<u64>))| {
            key.starts_with(MACHINE_RECORD) && value.0.to_string().contains(job)
        };
        self.keys.iter().any(names)
    }

    /// Returns whether a transaction that is held up names this job.
    pub fn holds_record_of(&self, job: &str) -> bool {
        self.held.iter().any(|transaction| transaction["writes"].to_string().contains(job))
    }

    /// Applies a transaction if its conditions hold.
    pub fn commit(&mut self, transaction: &Value) -> Outgoing {
        let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let written = |key: &str| list("writes").iter().any(|write| write["set"] == key || write["drop"] == key);
        if self.faults.refused_key.as_deref().is_some_and(written) {
            return Outgoing::json(503, &json!({"error": "trouble"}));
        }
        let failed: Vec<String> = list("if")
            .iter()
            .filter(|condition| {
                let key = condition["path"].as_str().unwrap_or("");
                let long_ago = self.ended > 0 && key.starts_with(&format!("job/{ENDED}"));
                self.keys.get(key).map_or(u64::from(long_ago), |stored| stored.1)
                    != condition["stamp"].as_u64().unwrap_or(0)
            })
            .map(|condition| condition["path"].as_str().unwrap_or("").to_owned())
            .collect();
        if !failed.is_empty() {
            return Outgoing::json(409, &json!({"failed": failed, "almanac": self.revision}));
        }
        let writes = list("writes");
        let fenced = list("if").iter().any(|condition| {
            let is_leadership_record =
                condition["path"].as_str().is_some_and(|key| key == "own/0" || key.starts_with("own/c/"));
            is_leadership_record && condition["stamp"].as_u64().unwrap_or(0) > 0
        });
        for key in writes.iter().filter_map(|write| write["set"].as_str().or(write["drop"].as_str())) {
            // Any controller may create a job's record when it accepts the job, and a leadership record when it
            // campaigns.
            let any_controller_may = key.starts_with("own/") || key.starts_with("job/") && !self.keys.contains_key(key);
            if !fenced && !any_controller_may {
                self.unfenced.push(key.to_owned());
            }
        }
        if writes.iter().any(|write| write["tether"].as_u64().is_some_and(|lease| !self.leases.contains_key(&lease))) {
            return Outgoing::json(400, &json!({"error": "no such lease"}));
        }
        self.revision += 1;
        for write in writes {
            if let Some(key) = write["set"].as_str() {
                self.keys.insert(key.to_owned(), (write["v"].clone(), self.revision, write["tether"].as_u64()));
                self.events.push(json!({"set": key, "v": write["v"], "stamp": self.revision}));
            } else if let Some(key) = write["drop"].as_str() {
                self.keys.remove(key);
                self.events.push(json!({"drop": key, "stamp": self.revision}));
            }
        }
        Outgoing::json(200, &json!({"almanac": self.revision}))
    }
}

/// Answers a request of one controller; returns nothing if the response is lost.
pub async fn state(store: Arc<Mutex<Store>>, node: usize, req: Incoming) -> Option<Outgoing> {
    let commit = req.path == "/commit";
    let half_delay = lock(&store).faults.slow_down(node);
    Timer::after(half_delay).await;
    while commit && lock(&store).holds_move(&body(&req)) {
        Timer::after(POLL_INTERVAL).await;
    }
    while req.path.starts_with("/kv/job/") && lock(&store).faults.job_reads_held {
        Timer::after(POLL_INTERVAL).await;
    }
    let (refused, fate) = {
        let mut locked = lock(&store);
        let refused = locked.faults.refuses(node);
        (refused, if commit && !refused { locked.faults.fate(&body(&req)) } else { Fate::Answered(Duration::ZERO) })
    };
    if refused {
        return Some(Outgoing::json(503, &json!({"error": "trouble"})));
    }
    match fate {
        Fate::Answered(delay) => {
            let response = answer(store, node, req).await;
            Timer::after(delay + half_delay).await;
            Some(response)
        }
        Fate::AnswerLost => {
            answer(store, node, req).await;
            None
        }
        Fate::AnswerHeld => {
            let response = answer(store.clone(), node, req).await;
            while lock(&store).faults.record_answers_held {
                Timer::after(POLL_INTERVAL).await;
            }
            Some(response)
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

/// Applies a transaction after a delay, without a response. Records the keys that had changed in the meantime.
async fn apply_late(store: Arc<Mutex<Store>>, req: Incoming, delay: Duration) {
    let transaction = body(&req);
    let sent_at = lock(&store).revision;
    Timer::after(delay).await;
    let mut locked = lock(&store);
    locked.expire();
    let writes = transaction["writes"].as_array().cloned().unwrap_or_default();
    let keys = writes.iter().filter_map(|write| write["set"].as_str().or(write["drop"].as_str()));
    let changed = |key: &&str| locked.keys.get(*key).is_some_and(|stored| stored.1 > sent_at);
    let changed_keys: Vec<String> = keys.filter(changed).map(str::to_owned).collect();
    if locked.commit(&transaction).status == 200 {
        locked.overwritten.extend(changed_keys);
    }
}

/// Answers a request by its path: reads, lists, transactions, leases and watches.
async fn answer(store: Arc<Mutex<Store>>, node: usize, req: Incoming) -> Outgoing {
    lock(&store).expire();
    let parts: Vec<&str> = req.path.trim_start_matches('/').splitn(2, '/').collect();
    match (req.method, parts[0], parts.get(1).copied()) {
        (Method::Get, "kv", Some(key)) if key.ends_with(UNREADABLE) => {
            Outgoing::json(503, &json!({"error": "not now"}))
        }
        (Method::Get, "kv", Some(key)) => {
            let locked = lock(&store);
            let long_ago = key.strip_prefix("job/").and_then(|k| k.strip_prefix(ENDED)).and_then(|n| n.parse().ok());
            match (locked.keys.get(key), long_ago) {
                (Some((value, revision, _)), _) => {
                    Outgoing::json(200, &json!({"path": key, "v": value, "stamp": revision}))
                }
                (None, Some(number)) if number < locked.ended => {
                    Outgoing::json(200, &json!({"path": key, "v": ended_job(number).1, "stamp": 1}))
                }
                (None, _) => Outgoing::json(404, &json!({"almanac": locked.revision})),
            }
        }
        (Method::Get, "kv", None) => {
            let prefix = param(&req.query, "under").unwrap_or_default();
            lock(&store).page(&prefix, &param(&req.query, "from").unwrap_or_default())
        }
        (Method::Post, "commit", None) => lock(&store).commit(&body(&req)),
        (Method::Post, "grants", None) => {
            let mut locked = lock(&store);
            // Ids of expired leases are not used again.
            locked.granted += 1;
            let id = locked.granted;
            let life = Duration::from_millis(body(&req)["life_ms"].as_u64().unwrap_or(5000));
            locked.leases.insert(id, (Instant::now(), life));
            Outgoing::json(200, &json!({"tether": id}))
        }
        (method, "grants", Some(rest)) => {
            let mut locked = lock(&store);
            let id: u64 = rest.split('/').next().and_then(|i| i.parse().ok()).unwrap_or(0);
            match locked.leases.get_mut(&id) {
                Some(lease) if method == Method::Post => lease.0 = Instant::now(),
                Some(lease) => lease.1 = Duration::ZERO,
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
                    let mut locked = lock(&store);
                    locked.expire();
                    // Open watches stay open during an outage.
                    let refused = locked.faults.refuses(node);
                    let under = |event: &Value| {
                        event["set"].as_str().or(event["drop"].as_str()).is_some_and(|key| key.starts_with(&prefix))
                    };
                    let news: Vec<&Value> = locked
                        .events
                        .iter()
                        .filter(|event| event["stamp"].as_u64().unwrap_or(0) > from && under(event))
                        .collect();
                    if !refused && (!news.is_empty() || began.elapsed().as_millis() as u64 >= block) {
                        return Outgoing::json(200, &json!({"almanac": locked.revision, "news": news}));
                    }
                }
                Timer::after(Duration::from_millis(10)).await;
            }
        }
        _ => Outgoing::json(400, &json!({})),
    }
}
