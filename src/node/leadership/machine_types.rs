//! The machine types in the state service, stored under a key that every controller reads when it starts. Only the
//! leader of shard 0 writes them, conditional on its fencing token and on the version that it last observed.

use crate::clock;
use crate::election::MACHINE_TYPES_KEY;
use crate::node::{Node, STORE_TYPES_INTERVAL, ShardRuntime, StoredTypes, lock};
use crate::state::{CompareAndSwap, RequestPriority, StateError};
use crate::wire::{Compare, KeyValue, MachineType, Mutation};
use async_io::Timer;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Returns the types without their prices, which change often and are requested from the cloud regularly anyway.
fn without_prices(types: &[MachineType]) -> Vec<MachineType> {
    types.iter().map(|machine_type| MachineType { price: 0.0, spot_price: 0.0, ..machine_type.clone() }).collect()
}

impl ShardRuntime {
    pub(in crate::node) async fn store_machine_types_loop(self: Arc<Self>) {
        while self.is_open() && self.id.0 == 0 {
            Timer::after(STORE_TYPES_INTERVAL).await;
            let Some(token) = self.with_shard(clock::now(), |shard| shard.token) else { continue };
            self.store_machine_types(token).await;
        }
    }

    /// Stores the types if they came from the cloud itself and differ from the stored ones in more than prices.
    async fn store_machine_types(&self, token: u64) {
        let types = self.machine_types();
        let stored = lock(&self.stored_types).clone();
        let up_to_date = stored.as_ref().is_some_and(|stored| without_prices(&stored.types) == without_prices(&types));
        if up_to_date || !self.types_from_cloud.load(Ordering::Relaxed) {
            return;
        }
        let Ok(value) = serde_json::to_value(&*types) else { return };
        if value.to_string().len() > self.settings.value_bytes() {
            return;
        }
        // Also conditional on their own version: a write that is applied late must not restore older types.
        let conditions = vec![
            Compare { key: self.leadership_key.clone(), version: token },
            Compare { key: MACHINE_TYPES_KEY.into(), version: stored.map_or(0, |stored| stored.version) },
        ];
        let mutation = Mutation::Put { key: MACHINE_TYPES_KEY.into(), value, lease: None };
        match self.state.commit(conditions, vec![mutation], RequestPriority::Normal).await {
            Ok(CompareAndSwap::Applied(version)) => self.remember_stored_types(types.to_vec(), version),
            Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_stored_types().await,
            Err(error) => log::debug!("machine types not stored token={token} reason=\"{error}\""),
        }
    }

    /// Reads the stored machine types again after a write that conflicted or whose outcome is unknown.
    async fn read_stored_types(&self) {
        match self.state.get(MACHINE_TYPES_KEY, RequestPriority::Normal).await {
            Ok(Some(item)) => self.observe_auxiliary_key(item),
            Ok(None) => *lock(&self.stored_types) = None,
            Err(error) => log::debug!("machine types not read reason=\"{error}\""),
        }
    }
}

impl Node {
    /// Remembers the stored types, and uses them while this node knows no types yet.
    pub(super) fn observe_stored_types(&self, item: KeyValue) {
        let stored: Vec<MachineType> = serde_json::from_value(item.value).unwrap_or_else(|error| {
            log::error!("stored value unreadable key={MACHINE_TYPES_KEY} reason=\"{error}\"");
            Vec::new()
        });
        self.remember_stored_types(stored.clone(), item.version);
        let mut types = lock(&self.machine_types);
        if types.is_empty() && !stored.is_empty() {
            *types = Arc::new(stored);
        }
    }

    /// Remembers the stored types unless a newer version is known: a watch may deliver a version that is older than
    /// the one that was written or read since.
    fn remember_stored_types(&self, types: Vec<MachineType>, version: u64) {
        let mut stored = lock(&self.stored_types);
        if stored.as_ref().is_none_or(|stored| stored.version < version) {
            *stored = Some(StoredTypes { types, version });
        }
    }
}
