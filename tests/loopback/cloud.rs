//! The simulated cloud: it offers one machine type, deletes machines, and rents as many as a test allows.

use crate::http::{body, lock, param};
use crate::machines::Machines;
use crate::state_service::Store;
use crate::workers::Worker;
use http_types::Method;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Requests for the machine types that are rejected before the first one succeeds.
const REFUSED_AT_FIRST: usize = 3;

/// Machines on one page of the list.
const PAGE_SIZE: usize = 500;

/// The capacity for rented machines, and the machines that were rented.
#[derive(Default)]
pub struct Rentals {
    /// The number of machines that can still be rented.
    pub capacity: AtomicUsize,
    /// Deletions of machines are refused.
    pub keeps_machines: AtomicBool,
    /// The machines that each request was granted, by the request's name.
    granted: Mutex<BTreeMap<String, Vec<String>>>,
}

/// The simulated cloud's state, shared with the test.
#[derive(Clone)]
pub struct Cloud {
    pub store: Arc<Mutex<Store>>,
    pub machines: Machines,
    pub rentals: Arc<Rentals>,
    pub zones: Vec<&'static str>,
    /// Requests for the machine types so far.
    pub machine_type_requests: Arc<AtomicUsize>,
    /// Every request fails: no machine types are listed and no machine is deleted.
    pub down: Arc<AtomicBool>,
}

impl Cloud {
    /// Answers one request of a controller.
    pub async fn answer(self, request: Incoming) -> Outgoing {
        let early =
            request.path == "/flavors" && self.machine_type_requests.fetch_add(1, Ordering::Relaxed) < REFUSED_AT_FIRST;
        let has_leader = || lock(&self.store).keys.contains_key("own/0");
        assert!(!early || !has_leader(), "a controller became the leader before it had the machine types");
        if self.down.load(Ordering::Relaxed) {
            return Outgoing::json(503, &json!({"error": "trouble"}));
        }
        match request.path.as_str() {
            "/flavors" if early => Outgoing::json(429, &json!({"error": "too many requests"})),
            "/flavors" => Outgoing::json(
                200,
                &json!({"strains":[{"name":"m8","cpus":8,"cards":0,"memory_gb":16,"local_gb":10,
                "pull_gb_per_s":1.0,"hourly":1.0,"spot_price":0.3,"ready_s":2,"fields":self.zones}]}),
            ),
            "/machines/delete" if self.rentals.keeps_machines.load(Ordering::Relaxed) => {
                Outgoing::json(503, &json!({"error": "trouble"}))
            }
            "/machines/delete" => {
                self.delete(&request);
                Outgoing::json(200, &json!({}))
            }
            "/machines" if request.method == Method::Get => self.list(&request),
            "/machines" => self.rent(&request),
            _ => Outgoing::json(200, &json!({})),
        }
    }

    /// Lists the existing machines in the order of their creation, after the one that `from` names. A leader steps down
    /// if no heartbeat of a listed machine arrives. With an empty list it expects none, so a leader that is cut off
    /// from all machines never steps down.
    fn list(&self, request: &Incoming) -> Outgoing {
        let from = param(&request.query, "from").unwrap_or_default();
        let workers = lock(&self.machines.workers);
        let after = workers.iter().position(|w| w.name == from).map_or(0, |at| at + 1);
        let existing: Vec<&Worker> = workers[after..].iter().filter(|w| !w.deleted).collect();
        let listed = existing.iter().take(PAGE_SIZE).map(|w| {
            json!({"id": w.name, "addr": w.addr.to_string(), "strain": "m8", "field": w.zone, "fallow": false,
                "bloom": "running", "held_s": w.up_since.elapsed().as_secs_f64()})
        });
        let plots: Vec<Value> = listed.collect();
        Outgoing::json(200, &json!({"plots": plots, "has_next": existing.len() > PAGE_SIZE}))
    }

    /// Rents on-demand machines, which are up at once. A repeated request gets the same machines.
    fn rent(&self, request: &Incoming) -> Outgoing {
        let request = body(request);
        let name = request["tenancy"].as_str().unwrap_or_default().to_owned();
        let mut granted = lock(&self.rentals.granted);
        if let Some(machines) = granted.get(&name) {
            return Outgoing::json(200, &json!({"plots": machines}));
        }
        let capacity = self.rentals.capacity.load(Ordering::Relaxed);
        let count = capacity.min(request["number"].as_u64().unwrap_or(0) as usize);
        let zone = self.zones.iter().find(|z| request["field"] == **z);
        let (Some(zone), 1.., Some(false)) = (zone, count, request["fallow"].as_bool()) else {
            return Outgoing::json(503, &json!({"error": "no capacity"}));
        };
        self.rentals.capacity.fetch_sub(count, Ordering::Relaxed);
        let machines: Vec<String> = (0..count).map(|_| self.machines.add(zone)).collect();
        granted.insert(name, machines.clone());
        Outgoing::json(200, &json!({"plots": machines}))
    }

    /// Marks the named machines as deleted.
    fn delete(&self, request: &Incoming) {
        let request = body(request);
        let names = request["plots"].as_array().cloned().unwrap_or_default();
        for worker in lock(&self.machines.workers).iter_mut().filter(|w| names.contains(&json!(w.name))) {
            worker.deleted = true;
        }
    }
}
