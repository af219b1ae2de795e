//! The stand-in cloud: it rents nothing, knows one machine type and takes machines back.

use crate::http::{body, lock};
use crate::state_service::Store;
use crate::workers::Workers;
use http_types::Method;
use lupinspur::http::{Incoming, Outgoing};
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Questions for the machine types that are refused before the first is answered.
const REFUSED_AT_FIRST: usize = 3;

#[derive(Clone)]
pub struct Cloud {
    pub store: Arc<Mutex<Store>>,
    pub machines: Workers,
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
            "/machines/delete" => {
                self.delete(&r);
                Outgoing::json(200, &json!({}))
            }
            "/machines" if r.method == Method::Get => Outgoing::json(200, &json!({"plots": [], "has_next": false})),
            "/machines" => Outgoing::json(503, &json!({"error": "no capacity"})),
            _ => Outgoing::json(200, &json!({})),
        }
    }

    fn delete(&self, r: &Incoming) {
        let request = body(r);
        let names = request["plots"].as_array().cloned().unwrap_or_default();
        for w in lock(&self.machines).iter_mut().filter(|w| names.contains(&json!(w.name))) {
            w.deleted = true;
        }
    }
}
