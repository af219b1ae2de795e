//! A stand-in for the state service that can lose responses, lose or refuse requests and cut off a controller.

use crate::http::{body, lock, param};
use async_io::Timer;
use http_types::Method;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The key of the leadership record.
pub const LEADERSHIP_KEY: &str = "own/0";
/// Delay before a leadership record is stored, so that controllers that start together all find none and campaign.
const CAMPAIGN_DELAY: Duration = Duration::from_millis(400);

/// A value with its version and the lease that it is bound to.
pub struct StoredValue {
    pub value: Value,
    version: u64,
    lease: Option<u64>,
}

/// A lease and the number of its renewals.
pub struct Lease {
    renewed_at: Instant,
    duration: Duration,
    pub renewals: usize,
}

/// The contents of the state service, and the faults that it injects.
#[derive(Default)]
pub struct Store {
    pub values: BTreeMap<String, StoredValue>,
    pub leases: BTreeMap<u64, Lease>,
    events: Vec<Value>,
    revision: u64,
    /// Transactions of leaders are executed, and their responses are lost.
    pub loses_responses: bool,
    pub conflict: Option<Conflict>,
    /// The controller that activates a sharding plan is cut off from the state service at the same time.
    pub cuts_off_planner: bool,
    /// The controller that is cut off.
    pub cut_off: Option<usize>,
}

/// A fault in the transactions on one key: the first one is lost, the quota shares change before it is sent again, and
/// the next read of the key is refused.
pub struct Conflict {
    pub key: &'static str,
    pub lost: bool,
    pub refused: bool,
}

/// The key of the quota shares.
pub const SHARES_KEY: &str = "cells/escrow";
/// The key of the second shard's load snapshot; only the test writes it.
pub const LOAD_SNAPSHOT_BY_TEST: &str = "cells/pic/1";

/// Returns whether this transaction activates a sharding plan.
pub fn is_plan(transaction: &Value) -> bool {
    let writes = transaction["writes"].as_array().into_iter().flatten();
    writes.into_iter().any(|w| w["set"] == LEADERSHIP_KEY && w["v"]["node"] == "(cells)")
}

/// Returns whether this transaction is a leader's, which means that it is conditional on a leadership record.
pub fn is_fenced(transaction: &Value) -> bool {
    let conditions = transaction["if"].as_array().into_iter().flatten();
    let on_leadership = |condition: &Value| {
        condition["path"].as_str().is_some_and(|key| key == LEADERSHIP_KEY || key.starts_with("own/c/"))
    };
    conditions.into_iter().any(|condition| on_leadership(condition) && condition["stamp"] != 0)
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

    /// Stores a value at a new revision.
    pub fn put_new_version(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.put(key, value, None);
    }

    /// Returns whether this is the transaction to be lost, and if so, changes the quota shares.
    fn loses(&mut self, transaction: &Value) -> bool {
        let key = &transaction["writes"][0]["set"];
        let wanted = |conflict: &&mut Conflict| !conflict.lost && *key == conflict.key && is_fenced(transaction);
        let Some(conflict) = self.conflict.as_mut().filter(wanted) else { return false };
        conflict.lost = true;
        let shares = self.values.get(SHARES_KEY).map(|stored| stored.value.clone()).expect("shares");
        self.put_new_version(SHARES_KEY, shares);
        true
    }

    /// Returns whether this read is to be refused.
    fn refuses(&mut self, key: &str) -> bool {
        let wanted = |conflict: &&mut Conflict| conflict.key == key && conflict.lost && !conflict.refused;
        self.conflict.as_mut().filter(wanted).map(|conflict| conflict.refused = true).is_some()
    }

    fn expire_leases(&mut self) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.renewed_at.elapsed() > lease.duration)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let bound: Vec<String> =
                self.values.iter().filter(|(_, v)| v.lease == Some(id)).map(|(k, _)| k.clone()).collect();
            bound.iter().for_each(|key| self.delete(key));
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
        for write in writes {
            if let Some(key) = write["set"].as_str() {
                if key != LOAD_SNAPSHOT_BY_TEST {
                    self.put(key, write["v"].clone(), write["tether"].as_u64());
                }
            } else if let Some(key) = write["drop"].as_str() {
                self.values.remove(key);
                self.events.push(json!({"drop": key, "stamp": self.revision}));
            }
        }
        Outgoing::json(200, &json!({"almanac": self.revision}))
    }

    fn list(&self, prefix: &str) -> Outgoing {
        let pair =
            |(key, stored): (&String, &StoredValue)| json!({"path": key, "v": stored.value, "stamp": stored.version});
        let pairs: Vec<Value> = self.values.iter().filter(|(key, _)| key.starts_with(prefix)).map(pair).collect();
        Outgoing::json(200, &json!({"pairs": pairs, "has_next": false, "almanac": self.revision}))
    }

    fn changes(&self, prefix: &str, from: u64) -> Vec<Value> {
        let key = |event: &Value| event["set"].as_str().or(event["drop"].as_str()).unwrap_or_default().to_owned();
        let wanted = |event: &&Value| event["stamp"].as_u64().unwrap_or(0) > from && key(event).starts_with(prefix);
        self.events.iter().filter(wanted).cloned().collect()
    }
}

/// Answers a watch request, once there are changes or its time is over.
pub async fn follow(store: Arc<Mutex<Store>>, node: usize, query: &str) -> Outgoing {
    let prefix = param(query, "under").unwrap_or_default();
    let number = |name: &str| param(query, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let (from, until) = (number("from"), Instant::now() + Duration::from_millis(number("block_ms")));
    loop {
        {
            let mut contents = lock(&store);
            contents.expire_leases();
            let changes = contents.changes(&prefix, from);
            if contents.cut_off != Some(node) && (!changes.is_empty() || Instant::now() >= until) {
                return Outgoing::json(200, &json!({"almanac": contents.revision, "news": changes}));
            }
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

/// Answers a request of one controller.
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
            let mut contents = lock(&store);
            if contents.refuses(key) {
                return Outgoing::json(503, &json!({"error": "not now"}));
            }
            match contents.values.get(key) {
                Some(v) => Outgoing::json(200, &json!({"path": key, "v": v.value, "stamp": v.version})),
                None => Outgoing::json(404, &json!({"almanac": contents.revision})),
            }
        }
        (Method::Get, "kv", None) => lock(&store).list(&param(&request.query, "under").unwrap_or_default()),
        (Method::Post, "commit", None) => {
            if body["writes"][0]["set"] == LEADERSHIP_KEY {
                Timer::after(CAMPAIGN_DELAY).await;
            }
            if lock(&store).loses(&body) {
                Timer::after(Duration::from_secs(30)).await;
            }
            let answer = lock(&store).commit(&body);
            if is_plan(&body) && answer.status == 200 && lock(&store).cuts_off_planner {
                lock(&store).cut_off = Some(node);
                std::future::pending::<()>().await;
            }
            if is_fenced(&body) && lock(&store).loses_responses {
                Timer::after(Duration::from_secs(30)).await;
            }
            answer
        }
        (Method::Post, "grants", None) => {
            let mut contents = lock(&store);
            contents.revision += 1;
            let (id, duration) = (contents.revision, Duration::from_millis(body["life_ms"].as_u64().unwrap_or(5000)));
            contents.leases.insert(id, Lease { renewed_at: Instant::now(), duration, renewals: 0 });
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
