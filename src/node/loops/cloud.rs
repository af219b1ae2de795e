//! Calls to the cloud, which rent, delete and list machines and read the machine types. A rent or delete call is sent
//! only while the token under which it was created is valid, and its outcome is passed only to the shard with that
//! token.

use crate::clock;
use crate::cloud::CloudError;
use crate::fleet::launch::Launch;
use crate::node::{MACHINE_LIST_INTERVAL_S, MACHINE_TYPES_INTERVAL_S, Node, ShardRuntime, TICK_INTERVAL, lock};
use crate::shard::{CloudCall, Shard};
use crate::wire::{MachineType, RentRequest};
use async_io::Timer;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Pause before a failed call is repeated.
const CALL_RETRY_PAUSE: Duration = Duration::from_millis(700);
/// A follower requests the machine types once per this many leader intervals, because only the leader needs prices.
const FOLLOWER_TYPES_INTERVALS: f64 = 3.0;
/// Maximum pause between requests while no machine types are known, before it is randomised.
const MAX_FIRST_TYPES_PAUSE_S: f64 = 2.0;

impl ShardRuntime {
    /// Returns whether a cloud call that was created under this token may still be sent.
    fn may_still_call_cloud(&self, token: u64, call: &str) -> bool {
        let leading = self.with_shard(clock::now(), |shard| shard.token == token) == Some(true);
        if leading {
            log::debug!("cloud call sent call={call} token={token}");
        } else {
            log::warn!("cloud call withheld call={call} token={token} reason=token_not_valid");
        }
        leading
    }

    pub(in crate::node) async fn rental_loop(self: Arc<Self>) {
        while self.is_open() {
            let now = clock::now();
            let Some((token, launch)) = self.next_launch(now) else {
                Timer::after(TICK_INTERVAL).await;
                continue;
            };
            let Some(request) = self.rent_request(&launch, now) else { continue };
            let outcome = self.cloud.rent(&request, || self.may_still_call_cloud(token, "rent")).await;
            Timer::after(self.on_rental_outcome(token, &launch, outcome)).await;
        }
    }

    /// Returns the launch that has been pending longest, and the token under which it is requested.
    fn next_launch(&self, now: f64) -> Option<(u64, Launch)> {
        let next = self.with_shard(now, |shard| (shard.token, shard.launches.pending.first().cloned()));
        let (token, launch) = next?;
        Some((token, launch?))
    }

    fn rent_request(&self, launch: &Launch, now: f64) -> Option<RentRequest> {
        self.with_shard(now, |shard| RentRequest {
            request: launch.name.clone(),
            type_name: shard.types.names.name(launch.type_index).to_string(),
            zone: shard.types.zones.name(launch.zone).to_string(),
            spot: launch.spot,
            count: launch.count,
        })
    }

    /// Returns the pause before the next rental.
    fn on_rental_outcome(&self, token: u64, launch: &Launch, outcome: Result<Vec<String>, CloudError>) -> Duration {
        let now = clock::now();
        let mut pause = Duration::ZERO;
        if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
            match outcome {
                Ok(names) => shard.on_rented(launch, &names, now),
                Err(CloudError::NoCapacity) => shard.on_rental_refused(launch, now),
                // The outcome is unknown. The request is repeated under the same name, so nothing is rented twice.
                Err(error) => {
                    log::debug!("rental unanswered request={} token={token} reason=\"{error}\"", launch.name);
                    pause = CALL_RETRY_PAUSE;
                }
            }
        }
        pause
    }

    pub(in crate::node) async fn deletion_loop(self: Arc<Self>) {
        while self.is_open() {
            let now = clock::now();
            let next = |shard: &mut Shard| shard.next_delete().map(|call| (shard.token, call));
            let call = self.with_shard(now, next).flatten();
            let Some((token, CloudCall::Delete(machines, names))) = call else {
                Timer::after(TICK_INTERVAL).await;
                continue;
            };
            let outcome = self.cloud.delete(names, || self.may_still_call_cloud(token, "delete")).await;
            let failed = outcome.is_err();
            if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
                if failed { shard.on_delete_failed(&machines) } else { shard.on_deleted(&machines) }
            }
            self.wake();
            Timer::after(if failed { CALL_RETRY_PAUSE } else { Duration::ZERO }).await;
        }
    }

    pub(in crate::node) async fn machine_list_loop(self: Arc<Self>) {
        while self.is_open() {
            // All shards share the rate limit of cloud calls.
            let shards = self.shards().len();
            Timer::after(Duration::from_secs_f64(MACHINE_LIST_INTERVAL_S * shards as f64)).await;
            let now = clock::now();
            let Some(token) = self.with_shard(now, |shard| shard.token) else { continue };
            if let Ok(list) = self.cloud.list().await {
                let now = clock::now();
                if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
                    shard.on_list(&list, shards == 1, now);
                }
            }
        }
    }
}

impl Node {
    /// Requests the machine types from the cloud, again and again at randomised intervals. All controllers
    /// start at the same time and the cloud rejects calls over its rate limit: at equal intervals, the last
    /// of five controllers sent every request together with the others and was rejected each time.
    pub(in crate::node) async fn learn_machine_types_loop(self: Arc<Self>) {
        let retry_pause_s = (self.settings.peers.len() + 1) as f64 / self.settings.cloud_rps;
        loop {
            let first = self.machine_types().is_empty();
            let pause_s = match self.cloud.types(first).await {
                Ok(types) if !types.is_empty() => self.on_machine_types(types),
                _ if first => retry_pause_s.min(MAX_FIRST_TYPES_PAUSE_S),
                _ => retry_pause_s,
            };
            Timer::after(Duration::from_secs_f64(pause_s * (0.5 + fastrand::f64()))).await;
        }
    }

    /// Applies the types that the cloud returned. Returns the pause in seconds before the next request for them.
    fn on_machine_types(&self, types: Vec<MachineType>) -> f64 {
        self.types_from_cloud.store(true, Ordering::Relaxed);
        let now = clock::now();
        let mut leading = false;
        for runtime in self.shards().iter() {
            leading |= runtime.with_shard(now, |shard| shard.update_machine_types(types.clone(), now)).is_some();
        }
        *lock(&self.machine_types) = Arc::new(types);
        // Only the leader needs prices; followers check submissions against machine sizes.
        if leading { MACHINE_TYPES_INTERVAL_S } else { MACHINE_TYPES_INTERVAL_S * FOLLOWER_TYPES_INTERVALS }
    }
}
