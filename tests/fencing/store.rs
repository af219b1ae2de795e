//! The state service: leases never end by themselves, and a renewal is answered late.

use super::{CLAIM, SLOW_RENEWAL};
use crate::http::{body, lock, param};
use async_io::Timer;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A transaction as it was sent, and which keys had no value then.
pub struct Transaction {
    pub conditions: BTreeMap<String, u64>,
    pub writes: Vec<String>,
    pub absent: Vec<String>,
    pub claim_version: u64,
}

/// What it holds, and what it was asked.
#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    events: Vec<Value>,
    pub transactions: Vec<Transaction>,
    /// Nobody is served any more.
    pub down: bool,
    /// When the last renewal that was granted arrived.
    pub renewed: Option<Instant>,
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

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
        let claim_version = self.version(CLAIM);
        self.transactions.push(Transaction { conditions, writes, absent, claim_version });
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

    /// The changes under a prefix after a revision, if there are any.
    fn news(&self, prefix: &str, after: u64) -> Option<Outgoing> {
        let under = |e: &&Value| {
            let key = e["set"].as_str().or(e["drop"].as_str()).unwrap_or_default();
            key.starts_with(prefix) && e["stamp"].as_u64() > Some(after)
        };
        let news: Vec<&Value> = self.events.iter().filter(under).collect();
        (!news.is_empty()).then(|| Outgoing::json(200, &json!({"almanac": self.revision, "news": news})))
    }
}

async fn follow(store: &Mutex<Store>, query: &str) -> Outgoing {
    let after = param(query, "from").and_then(|v| v.parse().ok()).unwrap_or(0);
    let within = Duration::from_millis(param(query, "block_ms").and_then(|v| v.parse().ok()).unwrap_or(0));
    let began = Instant::now();
    loop {
        let news = lock(store).news(&param(query, "under").unwrap_or_default(), after);
        if let Some(news) = news {
            return news;
        }
        if began.elapsed() >= within {
            return Outgoing::json(200, &json!({"almanac": lock(store).revision, "news": []}));
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

async fn renew(store: &Mutex<Store>) -> Outgoing {
    let arrived = Instant::now();
    Timer::after(SLOW_RENEWAL).await;
    let mut store = lock(store);
    if store.down {
        return Outgoing::json(503, &json!({"error": "trouble"}));
    }
    store.renewed = Some(arrived);
    Outgoing::json(200, &json!({}))
}

/// Answers one request.
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
