//! The stand-in cloud: it knows one machine type, takes machines back, and rents as many as a test allows.

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

/// Questions for the machine types that are refused before the first is answered.
const REFUSED_AT_FIRST: usize = 3;

/// Machines in one answer.
const LISTED_AT_MOST: usize = 500;

/// What may be rented, and what was.
#[derive(Default)]
pub struct Rentals {
    /// So many more machines may be rented.
    pub capacity: AtomicUsize,
    /// Deletions are refused.
    pub keeps_machines: AtomicBool,
    /// What each request was granted, by its name.
    granted: Mutex<BTreeMap<String, Vec<String>>>,
}

#[derive(Clone)]
pub struct Cloud {
    pub store: Arc<Mutex<Store>>,
    pub machines: Machines,
    pub rentals: Arc<Rentals>,
    pub zones: Vec<&'static str>,
    /// Questions for the machine types so far.
    pub asked: Arc<AtomicUsize>,
    /// It answers nothing: it tells no machine types and takes no machine back.
    pub down: Arc<AtomicBool>,
}

impl Cloud {
    pub async fn answer(self, r: Incoming) -> Outgoing {
        let early = r.path == "/flavors" && self.asked.fetch_add(1, Ordering::Relaxed) < REFUSED_AT_FIRST;
        let claimed = || lock(&self.store).keys.contains_key("own/0");
        assert!(!early || !claimed(), "claimed without knowing the machine types");
        if self.down.load(Ordering::Relaxed) {
            return Outgoing::json(503, &json!({"error": "trouble"}));
        }
        match r.path.as_str() {
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
                self.delete(&r);
                Outgoing::json(200, &json!({}))
            }
            "/machines" if r.method == Method::Get => self.list(&r),
            "/machines" => self.rent(&r),
            _ => Outgoing::json(200, &json!({})),
        }
    }

    /// The machines that are there, in the order of their creation, after the one that is named. While the list named
    /// none, a leader that was cut off from all machines never stepped down: of a machine that the cloud does not list
    /// nobody hears anything.
    fn list(&self, r: &Incoming) -> Outgoing {
        let from = param(&r.query, "from").unwrap_or_default();
        let workers = lock(&self.machines.workers);
        let after = workers.iter().position(|w| w.name == from).map_or(0, |at| at + 1);
        let there: Vec<&Worker> = workers[after..].iter().filter(|w| !w.deleted).collect();
        let listed = there.iter().take(LISTED_AT_MOST).map(|w| {
            json!({"id": w.name, "addr": w.addr.to_string(), "strain": "m8", "field": w.zone, "fallow": false,
                "bloom": "running", "held_s": w.up_since.elapsed().as_secs_f64()})
        });
        let plots: Vec<Value> = listed.collect();
        Outgoing::json(200, &json!({"plots": plots, "has_next": there.len() > LISTED_AT_MOST}))
    }

    /// Rents ordinary machines, which are up at once. A request that is repeated is answered as before.
    fn rent(&self, r: &Incoming) -> Outgoing {
        let request = body(r);
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

    fn delete(&self, r: &Incoming) {
        let request = body(r);
        let names = request["plots"].as_array().cloned().unwrap_or_default();
        for w in lock(&self.machines.workers).iter_mut().filter(|w| names.contains(&json!(w.name))) {
            w.deleted = true;
        }
    }
}
