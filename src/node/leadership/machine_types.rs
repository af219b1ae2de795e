//! The machine types as the state service has them: the leader stores them where every controller reads first.
//! Only the leader of shard 0 writes them, under its token and over the version that it saw.

use crate::clock;
use crate::election::MACHINE_TYPES_KEY;
use crate::node::{Node, STORE_TYPES_INTERVAL, ShardRuntime, StoredTypes, lock};
use crate::state::{CompareAndSwap, RequestPriority, StateError};
use crate::wire::{Compare, KeyValue, MachineType, Mutation};
use async_io::Timer;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The types without their prices, which move all the time and are asked for anyway.
fn without_prices(types: &[MachineType]) -> Vec<MachineType> {
    types.iter().map(|of| MachineType { price: 0.0, spot_price: 0.0, ..of.clone() }).collect()
}

impl ShardRuntime {
    pub(in crate::node) async fn store_machine_types_loop(self: Arc<Self>) {
        while self.is_open() && self.id.0 == 0 {
            Timer::after(STORE_TYPES_INTERVAL).await;
            let Some(token) = self.with_shard(clock::now(), |shard| shard.token) else { continue };
            self.store_machine_types(token).await;
        }
    }

    /// Stores the types if the cloud itself told them and others are stored.
    async fn store_machine_types(&self, token: u64) {
        let types = self.machine_types();
        let stored = lock(&self.types_stored).clone();
        let known = stored.as_ref().is_some_and(|stored| without_prices(&stored.types) == without_prices(&types));
        if known || !self.types_from_cloud.load(Ordering::Relaxed) {
            return;
        }
        let Ok(value) = serde_json::to_value(&*types) else { return };
        if value.to_string().len() > self.settings.value_bytes() {
            return;
        }
        // On their own version as well: one that is applied late must not bring back older types.
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: MACHINE_TYPES_KEY.into(), version: stored.map_or(0, |stored| stored.version) },
        ];
        let mutation = Mutation::Put { key: MACHINE_TYPES_KEY.into(), value, lease: None };
        match self.state.commit(conditions, vec![mutation], RequestPriority::Normal).await {
            Ok(CompareAndSwap::Applied(version)) => self.note_stored_types(types.to_vec(), version),
            Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_stored_types().await,
            Err(error) => log::debug!("machine types not stored token={token} reason=\"{error}\""),
        }
    }

    /// Reads the stored machine types again: they are others than was thought, or nobody knows.
    async fn read_stored_types(&self) {
        match self.state.get(MACHINE_TYPES_KEY, RequestPriority::Normal).await {
            Ok(Some(item)) => self.observe_auxiliary_key(item),
            Ok(None) => *lock(&self.types_stored) = None,
            Err(error) => log::debug!("machine types not read reason=\"{error}\""),
        }
    }
}

impl Node {
    /// Takes the stored types in, and goes by them until the cloud has told its own.
    pub(super) fn observe_stored_types(&self, item: KeyValue) {
        let stored: Vec<MachineType> = serde_json::from_value(item.value).unwrap_or_else(|error| {
            log::error!("stored value unreadable key={MACHINE_TYPES_KEY} reason=\"{error}\"");
            Vec::new()
        });
        self.note_stored_types(stored.clone(), item.version);
        let mut types = lock(&self.machine_types);
        if types.is_empty() && !stored.is_empty() {
            *types = Arc::new(stored);
        }
    }

    /// What a watch shows may be older than what was written or read since.
    fn note_stored_types(&self, types: Vec<MachineType>, version: u64) {
        let mut stored = lock(&self.types_stored);
        if stored.as_ref().is_none_or(|stored| stored.version < version) {
            *stored = Some(StoredTypes { types, version });
        }
    }
}
