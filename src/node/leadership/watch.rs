//! Watches the leadership keys: the records of all shards, the active sharding plan, the machine types and the backoff
//! keys. It passes what it reads to the elections, and starts campaigns; it writes nothing itself.

use crate::clock;
use crate::election::{LEADERSHIP_KEY, LEADERSHIP_PREFIX, MACHINE_TYPES_KEY, ObservedRecord, backoff_key};
use crate::node::{Node, ShardRuntime, WATCH_TIMEOUT, lock};
use crate::state::{RequestPriority, StateError};
use crate::wire::{KeyValue, WatchEvent};
use async_io::Timer;
use std::sync::Arc;
use std::time::Duration;

const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The state of one key as a watch or a list reported it.
enum WatchedKey {
    Present(KeyValue),
    Deleted { revision: u64 },
}

impl WatchedKey {
    fn item(&self) -> Option<&KeyValue> {
        match self {
            WatchedKey::Present(item) => Some(item),
            WatchedKey::Deleted { .. } => None,
        }
    }
}

impl ShardRuntime {
    pub(in crate::node) async fn read_leadership_record(&self) {
        if let Ok(item) = self.state.get(&self.leadership_key, RequestPriority::Urgent).await {
            self.record_state_response();
            self.observe_record(item);
        }
    }

    /// Handles a watch event or a list which shows that there was no record at this revision.
    fn on_record_deleted(&self, revision: u64) {
        lock(&self.election).observe_absence(revision, clock::now());
    }

    /// Handles the leadership record that was read or watched; none if there is no record.
    pub(in crate::node) fn observe_record(&self, item: Option<KeyValue>) {
        // A record that names no node and contains a sharding plan activates the plan.
        if let Some(plan) = item.as_ref().and_then(ShardRuntime::active_plan_in) {
            return self.node.observe_plan(plan);
        }
        let observed = item.and_then(|item| {
            Some(ObservedRecord { record: serde_json::from_value(item.value).ok()?, version: item.version })
        });
        let lost = lock(&self.election).observe_record(observed, clock::now());
        if lost {
            self.leadership_lost(|_| {});
        }
    }
}

impl Node {
    /// Lists the leadership keys and then watches them. Lists them again when the watch fails.
    pub(in crate::node) async fn watch_leadership(self: Arc<Self>) {
        let mut watched_revision: Option<u64> = None;
        loop {
            watched_revision = match watched_revision {
                None => self.list_leadership_keys().await,
                Some(revision) => self.watch_leadership_keys(revision).await,
            };
        }
    }

    /// Returns the revision of the list, or none if it could not be read.
    async fn list_leadership_keys(self: &Arc<Self>) -> Option<u64> {
        match self.state.list(LEADERSHIP_PREFIX, RequestPriority::Urgent).await {
            Ok((items, revision)) => {
                self.record_state_response();
                self.observe_leadership_list(items, revision);
                // There may be no record, or one of an earlier process of this node: neither needs waiting for.
                self.campaign_for_all().await;
                Some(revision)
            }
            Err(error) => {
                log::debug!("leadership keys not read reason=\"{error}\"");
                Timer::after(RETRY_PAUSE).await;
                None
            }
        }
    }

    fn observe_leadership_list(self: &Arc<Self>, items: Vec<KeyValue>, revision: u64) {
        // The active plan decides what the other keys mean.
        let plan = items.iter().find(|item| item.key == LEADERSHIP_KEY).and_then(ShardRuntime::active_plan_in);
        match plan {
            Some(plan) => self.observe_plan(plan),
            None => self.leave_sharding(),
        }
        let absent = |runtime: &&Arc<ShardRuntime>| items.iter().all(|item| item.key != runtime.leadership_key);
        for runtime in self.shards().iter().filter(absent) {
            runtime.on_record_deleted(revision);
        }
        // The other keys come before the records, because a backoff key keeps this node from leading.
        let (records, auxiliary): (Vec<KeyValue>, Vec<KeyValue>) =
            items.into_iter().partition(|item| self.runtime_for_key(&item.key).is_some());
        auxiliary.into_iter().for_each(|item| self.observe_auxiliary_key(item));
        for item in records {
            self.observe_leadership_key(item.key.clone(), WatchedKey::Present(item));
        }
    }

    /// Returns the revision up to which all changes were observed, or none if the keys have to be listed again.
    async fn watch_leadership_keys(self: &Arc<Self>, revision: u64) -> Option<u64> {
        match self.state.watch(LEADERSHIP_PREFIX, revision, WATCH_TIMEOUT).await {
            Ok(reply) => {
                self.record_state_response();
                reply.events.into_iter().for_each(|event| self.observe_leadership_event(event));
                self.campaign_for_all().await;
                Some(reply.revision.max(revision))
            }
            Err(StateError::TooOld) => None,
            Err(_) => {
                Timer::after(RETRY_PAUSE).await;
                None
            }
        }
    }

    fn observe_leadership_event(self: &Arc<Self>, event: WatchEvent) {
        if let Some(key) = event.delete {
            self.observe_leadership_key(key, WatchedKey::Deleted { revision: event.version });
        } else if let Some(key) = event.put {
            let value = event.value.unwrap_or_default();
            let item = KeyValue { key: key.clone(), value, version: event.version, lease: None };
            self.observe_leadership_key(key, WatchedKey::Present(item));
        }
    }

    /// Handles a new value, or the deletion, of a key under the leadership prefix.
    fn observe_leadership_key(self: &Arc<Self>, key: String, watched: WatchedKey) {
        // If there are several shards, this key holds the sharding plan instead of a leadership record.
        if key == LEADERSHIP_KEY && self.shards().len() > 1 {
            return match watched.item().and_then(ShardRuntime::active_plan_in) {
                Some(plan) => self.observe_plan(plan),
                None => self.leave_sharding(),
            };
        }
        match (self.runtime_for_key(&key), watched) {
            (Some(runtime), WatchedKey::Present(item)) => runtime.observe_record(Some(item)),
            (Some(runtime), WatchedKey::Deleted { revision }) => runtime.on_record_deleted(revision),
            (None, WatchedKey::Present(item)) => self.observe_auxiliary_key(item),
            (None, WatchedKey::Deleted { .. }) => {}
        }
    }

    /// Handles the keys that are not leadership records: the machine types, and this node's backoff key, which shows
    /// that it yielded leadership.
    pub(super) fn observe_auxiliary_key(&self, item: KeyValue) {
        if item.key == MACHINE_TYPES_KEY {
            self.observe_stored_types(item);
        } else if item.key == backoff_key(&self.settings.node) {
            for runtime in self.shards().iter() {
                lock(&runtime.election).leadership_yielded(clock::now());
            }
        }
    }

    fn runtime_for_key(&self, key: &str) -> Option<Arc<ShardRuntime>> {
        self.shards().iter().find(|runtime| runtime.leadership_key == key).cloned()
    }

    async fn campaign_for_all(&self) {
        for runtime in self.shards().iter().filter(|runtime| lock(&runtime.election).token().is_none()) {
            runtime.campaign().await;
        }
    }
}
