//! A stand-in for the state service: leases never expire by themselves, and the response to a renewal is delayed.

use super::{LEADERSHIP_KEY, RENEWAL_DELAY};
use crate::http::{body, lock, param};
use async_io::Timer;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A transaction with the keys that it wrote and the versions that it was conditional on.
pub struct Transaction {
    pub conditions: BTreeMap<String, u64>,
    pub writes: Vec<String>,
    /// Written keys that had no value before.
    pub absent: Vec<String>,
    /// The version of the leadership record when the transaction was committed.
    pub leadership_version: u64,
}

/// The contents of the state service, and the transactions that it committed.
#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    events: Vec<Value>,
    pub transactions: Vec<Transaction>,
    /// All requests are refused.
    pub down: bool,
    /// When the last granted renewal arrived.
    pub renewed: Option<Instant>,
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    /// Commits a transaction if all its conditions hold.
    pub fn commit(&mut self, transaction: &Value) -> Outgoing {
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
        let leadership_version = self.version(LEADERSHIP_KEY);
        self.transactions.push(Transaction { conditions, writes, absent, leadership_version });
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

    /// Returns the changes under a prefix after a revision, or `None` if there are none.
    fn changes(&self, prefix: &str, after: u64) -> Option<Outgoing> {
        let under = |event: &&Value| {
            let key = event["set"].as_str().or(event["drop"].as_str()).unwrap_or_default();
            key.starts_with(prefix) && event["stamp"].as_u64() > Some(after)
        };
        let changes: Vec<&Value> = self.events.iter().filter(under).collect();
        (!changes.is_empty()).then(|| Outgoing::json(200, &json!({"almanac": self.revision, "news": changes})))
    }
}

async fn follow(store: &Mutex<Store>, query: &str) -> Outgoing {
    let after = param(query, "from").and_then(|v| v.parse().ok()).unwrap_or(0);
    let within = Duration::from_millis(param(query, "block_ms").and_then(|v| v.parse().ok()).unwrap_or(0));
    let began = Instant::now();
    loop {
        let changes = lock(store).changes(&param(query, "under").unwrap_or_default(), after);
        if let Some(changes) = changes {
            return changes;
        }
        if began.elapsed() >= within {
            return Outgoing::json(200, &json!({"almanac": lock(store).revision, "news": []}));
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

async fn renew(store: &Mutex<Store>) -> Outgoing {
    let arrived = Instant::now();
    Timer::after(RENEWAL_DELAY).await;
    let mut store = lock(store);
    if store.down {
        return Outgoing::json(503, &json!({"error": "trouble"}));
    }
    store.renewed = Some(arrived);
    Outgoing::json(200, &json!({}))
}

/// Answers one request to the state service.
pub async fn state(store: Arc<Mutex<Store>>, request: Incoming) -> Outgoing {
    if lock(&store).down {
        return Outgoing::json(503, &json!({"error": "trouble"}));
    }
    let path = request.path.trim_start_matches('/').to_owned();
    match path.split_once('/') {
        Some(("kv", key)) => lock(&store).get(key),
        Some(("grants", _)) => renew(&store).await,
        _ if path == "kv" => {
            let value = |name| param(&request.query, name).unwrap_or_default();
            lock(&store).list(&value("under"), &value("from"))
        }
        _ if path == "follow" => follow(&store, &request.query).await,
        _ if path == "grants" => Outgoing::json(200, &json!({"tether": 1})),
        _ => lock(&store).commit(&body(&request)),
    }
}
