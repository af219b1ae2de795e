//! Renews a leader's lease well before it ends. A renewed lease is valid from the time at which the renewal was sent.
//! A lease that is known to have expired is never renewed.

use crate::clock;
use crate::election::LeaderElection;
use crate::node::{ShardRuntime, lock};
use crate::state::StateError;
use async_io::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: f64 = 5.0;
const MAX_RENEWAL_INTERVAL_S: f64 = 1.5;
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Interval at which a controller that does not lead the shard campaigns.
const CAMPAIGN_INTERVAL: Duration = Duration::from_millis(150);

impl ShardRuntime {
    pub(in crate::node) async fn renew_lease_loop(self: Arc<Self>) {
        let interval_s = (self.tuning.leader_lease_s / RENEWALS_PER_LEASE).min(MAX_RENEWAL_INTERVAL_S);
        let interval = Duration::from_secs_f64(interval_s);
        let mut renewal_sent_at = f64::MIN;
        while self.is_open() {
            let due = clock::now() - renewal_sent_at >= interval.as_secs_f64();
            let lease = lock(&self.election).lease_to_renew(due);
            if let Some(lease) = lease {
                renewal_sent_at = clock::now();
                self.renew_lease(lease, renewal_sent_at).await;
            }
            self.campaign().await;
            let leading = lock(&self.election).valid_token(clock::now()).is_some();
            let pause = if leading { interval } else { CAMPAIGN_INTERVAL };
            Timer::after(pause.min(interval)).await;
        }
    }

    async fn renew_lease(&self, lease: u64, sent_at: f64) {
        match self.state.renew(lease, RENEWAL_TIMEOUT).await {
            Ok(()) => {
                self.record_state_response();
                let mut election = lock(&self.election);
                if election.lease() == Some(lease) {
                    election.lease_renewed(lease, sent_at);
                }
            }
            Err(StateError::NoSuchLease) => {
                log::warn!("lease expired shard={} lease={lease}", self.id.0);
                self.on_lease_expired(lease);
                // After a process pause, the watch may have reported the record's deletion before the
                // response to this node's own campaign arrived. Without this read, nothing would show
                // that the shard has no leader.
                self.read_leadership_record().await;
            }
            Err(error) => log::debug!("lease renewal failed shard={} lease={lease} reason=\"{error}\"", self.id.0),
        }
    }

    /// Ends leadership: applies `update` to the election and drops the shard.
    pub(in crate::node) fn leadership_lost(&self, update: impl FnOnce(&mut LeaderElection)) {
        update(&mut lock(&self.election));
        let lost_token = lock(&self.shard).take().map(|shard| shard.token);
        if let Some(token) = lost_token {
            log::warn!("leadership lost shard={} token={token}", self.id.0);
            self.update_rate_shares();
        }
    }

    pub(super) fn on_lease_expired(&self, lease: u64) {
        if lock(&self.election).lease_expired(lease) {
            self.leadership_lost(|_| {});
        }
    }
}
