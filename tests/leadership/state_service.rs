//! A stand-in for the state service, which loses answers and more on demand.

use crate::http::{body, lock, param};
use async_io::Timer;
use http_types::Method;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const LEADERSHIP_KEY: &str = "own/0";
/// Controllers that begin together all find no claim while the first one is being stored.
const CLAIM_TAKES: Duration = Duration::from_millis(400);

pub struct StoredValue {
    pub value: Value,
    version: u64,
    lease: Option<u64>,
}

pub struct Lease {
    renewed_at: Instant,
    life: Duration,
    pub renewals: usize,
}

/// The state service's contents, and what was asked of it.
#[derive(Default)]
pub struct Store {
    pub values: BTreeMap<String, StoredValue>,
    pub leases: BTreeMap<u64, Lease>,
    events: Vec<Value>,
    revision: u64,
    /// Transactions of leaders are carried out, and their answers are lost.
    pub loses_answers: bool,
    pub conflict: Option<Conflict>,
    /// Whoever brings a plan of shards into force loses the state service in the same moment.
    pub cuts_off_planner: bool,
    pub cut_off: Option<usize>,
}

/// The first transaction on this key is lost, and the shares of limits change before it is sent again. The
/// next look at the key is refused.
pub struct Conflict {
    pub key: &'static str,
    pub lost: bool,
    pub refused: bool,
}

pub const SHARES_KEY: &str = "cells/escrow";
/// The test itself tells how it stands with the second shard.
pub const TOLD_BY_TEST: &str = "cells/pic/1";

/// Does this transaction bring a plan of shards into force?
pub fn is_plan(transaction: &Value) -> bool {
    let writes = transaction["writes"].as_array().into_iter().flatten();
    writes.into_iter().any(|w| w["set"] == LEADERSHIP_KEY && w["v"]["node"] == "(cells)")
}

/// Is this transaction a leader's? Those are conditional on its claim.
pub fn is_fenced(transaction: &Value) -> bool {
    let conditions = transaction["if"].as_array().into_iter().flatten();
    let claim = |c: &Value| c["path"].as_str().is_some_and(|p| p == LEADERSHIP_KEY || p.starts_with("own/c/"));
    conditions.into_iter().any(|c| claim(c) && c["stamp"] != 0)
}

impl Store {
    fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.values.remove(key);
        self.events.push(json!({"drop": key, "stamp": self.revision}));
    }

    fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        self.events.push(json!({"set": key, "v": value, "stamp": self.revision}));
        self.values.insert(key.to_owned(), StoredValue { value, version: self.revision, lease });
    }

    pub fn put_anew(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.put(key, value, None);
    }

    /// Is this the transaction that is to be lost? The shares have changed then.
    fn loses(&mut self, transaction: &Value) -> bool {
        let key = &transaction["writes"][0]["set"];
        let wanted = |c: &&mut Conflict| !c.lost && *key == c.key && is_fenced(transaction);
        let Some(conflict) = self.conflict.as_mut().filter(wanted) else { return false };
        conflict.lost = true;
        let shares = self.values.get(SHARES_KEY).map(|v| v.value.clone()).expect("shares");
        self.put_anew(SHARES_KEY, shares);
        true
    }

    fn refuses(&mut self, key: &str) -> bool {
        let wanted = |c: &&mut Conflict| c.key == key && c.lost && !c.refused;
        self.conflict.as_mut().filter(wanted).map(|c| c.refused = true).is_some()
    }

    fn expire_leases(&mut self) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.renewed_at.elapsed() > l.life).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let tied: Vec<String> =
                self.values.iter().filter(|(_, v)| v.lease == Some(id)).map(|(k, _)| k.clone()).collect();
            tied.iter().for_each(|key| self.delete(key));
        }
    }

    fn commit(&mut self, transaction: &Value) -> Outgoing {
        let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let version = |key: &str| self.values.get(key).map_or(0, |v| v.version);
        let failed: Vec<Value> = list("if")
            .iter()
            .filter(|c| version(c["path"].as_str().unwrap_or_default()) != c["stamp"].as_u64().unwrap_or(0))
            .map(|c| c["path"].clone())
            .collect();
        if !failed.is_empty() {
            return Outgoing::json(409, &json!({"failed": failed, "almanac": self.revision}));
        }
        let writes = list("writes");
        if writes.iter().any(|w| w["tether"].as_u64().is_some_and(|id| !self.leases.contains_key(&id))) {
            return Outgoing::json(400, &json!({"error": "no such lease"}));
        }
        self.revision += 1;
        for w in writes {
            if let Some(key) = w["set"].as_str() {
                if key != TOLD_BY_TEST {
                    self.put(key, w["v"].clone(), w["tether"].as_u64());
                }
            } else if let Some(key) = w["drop"].as_str() {
                self.values.remove(key);
                self.events.push(json!({"drop": key, "stamp": self.revision}));
            }
        }
        Outgoing::json(200, &json!({"almanac": self.revision}))
    }

    fn list(&self, prefix: &str) -> Outgoing {
        let pair = |(k, v): (&String, &StoredValue)| json!({"path": k, "v": v.value, "stamp": v.version});
        let pairs: Vec<Value> = self.values.iter().filter(|(k, _)| k.starts_with(prefix)).map(pair).collect();
        Outgoing::json(200, &json!({"pairs": pairs, "has_next": false, "almanac": self.revision}))
    }

    fn changes(&self, prefix: &str, from: u64) -> Vec<Value> {
        let key = |e: &Value| e["set"].as_str().or(e["drop"].as_str()).unwrap_or_default().to_owned();
        let wanted = |e: &&Value| e["stamp"].as_u64().unwrap_or(0) > from && key(e).starts_with(prefix);
        self.events.iter().filter(wanted).cloned().collect()
    }
}

pub async fn follow(store: Arc<Mutex<Store>>, node: usize, query: &str) -> Outgoing {
    let prefix = param(query, "under").unwrap_or_default();
    let number = |name: &str| param(query, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let (from, until) = (number("from"), Instant::now() + Duration::from_millis(number("block_ms")));
    loop {
        {
            let mut s = lock(&store);
            s.expire_leases();
            let news = s.changes(&prefix, from);
            if s.cut_off != Some(node) && (!news.is_empty() || Instant::now() >= until) {
                return Outgoing::json(200, &json!({"almanac": s.revision, "news": news}));
            }
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

pub async fn state_service(store: Arc<Mutex<Store>>, node: usize, request: Incoming) -> Outgoing {
    if lock(&store).cut_off == Some(node) {
        std::future::pending::<()>().await;
    }
    lock(&store).expire_leases();
    let path = request.path.trim_start_matches('/').to_owned();
    let (first, rest) = path.split_once('/').map_or((path.as_str(), None), |(f, r)| (f, Some(r)));
    let body = body(&request);
    match (request.method, first, rest) {
        (Method::Get, "kv", Some(key)) => {
            let mut s = lock(&store);
            if s.refuses(key) {
                return Outgoing::json(503, &json!({"error": "not now"}));
            }
            match s.values.get(key) {
                Some(v) => Outgoing::json(200, &json!({"path": key, "v": v.value, "stamp": v.version})),
                None => Outgoing::json(404, &json!({"almanac": s.revision})),
            }
        }
        (Method::Get, "kv", None) => lock(&store).list(&param(&request.query, "under").unwrap_or_default()),
        (Method::Post, "commit", None) => {
            if body["writes"][0]["set"] == LEADERSHIP_KEY {
                Timer::after(CLAIM_TAKES).await;
            }
            if lock(&store).loses(&body) {
                Timer::after(Duration::from_secs(30)).await;
            }
            let answer = lock(&store).commit(&body);
            if is_plan(&body) && answer.status == 200 && lock(&store).cuts_off_planner {
                lock(&store).cut_off = Some(node);
                std::future::pending::<()>().await;
            }
            if is_fenced(&body) && lock(&store).loses_answers {
                Timer::after(Duration::from_secs(30)).await;
            }
            answer
        }
        (Method::Post, "grants", None) => {
            let mut s = lock(&store);
            s.revision += 1;
            let (id, life) = (s.revision, Duration::from_millis(body["life_ms"].as_u64().unwrap_or(5000)));
            s.leases.insert(id, Lease { renewed_at: Instant::now(), life, renewals: 0 });
            Outgoing::json(200, &json!({"tether": id}))
        }
        (Method::Post, "grants", Some(rest)) => {
            let id = rest.split('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
            match lock(&store).leases.get_mut(&id) {
                Some(lease) => {
                    lease.renewed_at = Instant::now();
                    lease.renewals += 1;
                    Outgoing::json(200, &json!({}))
                }
                None => Outgoing::json(404, &json!({})),
            }
        }
        (Method::Get, "follow", None) => follow(store, node, &request.query).await,
        _ => Outgoing::json(400, &json!({})),
    }
}
