//! Leader election. A campaign writes the leadership record, conditional on the version that was last observed; the
//! version of the written record is the fencing token. A campaign never overwrites a record that it has not observed.

use crate::clock;
use crate::election::{CRASH_LOOP_BACKOFF_S, ElectionStep, backoff_key};
use crate::node::{EXECUTOR, ShardRuntime, lock};
use crate::state::{CompareAndSwap, RequestPriority, StateError};
use crate::wire::{Compare, Mutation};
use lupinspur_sharding::activation::campaign_delay_s;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The HTTP status with which the state service rejects a malformed request.
const BAD_REQUEST: u16 = 400;

impl ShardRuntime {
    /// Campaigns for this shard, unless a campaign is in progress.
    pub(in crate::node) async fn campaign(self: &Arc<Self>) {
        if self.campaign_in_progress.swap(true, Ordering::Relaxed) {
            return;
        }
        self.campaign_once().await;
        self.campaign_in_progress.store(false, Ordering::Relaxed);
    }

    async fn campaign_once(self: &Arc<Self>) {
        if !self.may_campaign() {
            return;
        }
        // Computed before this election is locked, because it locks the elections of all shards.
        let delay_s = self.campaign_delay_s();
        let mut step = self.next_election_step(delay_s);
        if step == ElectionStep::AcquireLease {
            self.acquire_lease().await;
            step = self.next_election_step(delay_s);
        }
        self.take_election_step(step).await;
        self.begin_failover_if_elected();
    }

    fn may_campaign(&self) -> bool {
        if !self.is_open() || self.is_merging() && self.id.0 != 0 {
            return false;
        }
        // A controller that does not know the machine types cannot schedule, and must not
        // keep one that knows them from leading.
        !self.machine_types().is_empty()
    }

    fn next_election_step(&self, delay_s: f64) -> ElectionStep {
        let has_peers = !self.settings.peers.is_empty();
        lock(&self.election).next_step(clock::now(), clock::wall_ms(), has_peers, delay_s)
    }

    async fn acquire_lease(&self) {
        let sent_at = clock::now();
        match self.state.grant((self.tuning.leader_lease_s * 1000.0) as u64).await {
            Ok(lease) => lock(&self.election).lease_renewed(lease, sent_at),
            Err(error) => log::debug!("lease not granted shard={} reason=\"{error}\"", self.id.0),
        }
    }

    async fn take_election_step(&self, step: ElectionStep) {
        match step {
            ElectionStep::Wait | ElectionStep::AcquireLease => {}
            ElectionStep::Campaign { lease, over: version } => match self.send_campaign(lease, version).await {
                Ok(CompareAndSwap::Applied(version)) => self.on_elected(version),
                Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_leadership_record().await,
                Err(StateError::NoSuchLease) => self.on_lease_expired(lease),
                Err(error) => log::debug!("campaign failed shard={} reason=\"{error}\"", self.id.0),
            },
            ElectionStep::AdoptOwnRecord { version } => self.on_elected(version),
            ElectionStep::Yield { over: version } => self.yield_leadership(version).await,
        }
    }

    /// Starts reading the shard's state if this node was elected with a token for which it has not been read yet.
    /// The lease is renewed while the failover runs as a task of its own: reading may take longer than a lease
    /// lasts, and with a long history it would never finish if it had to finish within one.
    fn begin_failover_if_elected(self: &Arc<Self>) {
        let elected_token = lock(&self.election).token();
        let loaded_token = lock(&self.shard).as_ref().map(|shard| shard.token);
        if let Some(token) = elected_token
            && loaded_token != elected_token
            && !self.failover_in_progress.swap(true, Ordering::Relaxed)
        {
            EXECUTOR.spawn(self.clone().fail_over(token)).detach();
        }
    }

    async fn fail_over(self: Arc<Self>, token: u64) {
        self.load_state(token).await;
        self.failover_in_progress.store(false, Ordering::Relaxed);
    }

    /// Handles a leadership record of this node that is known to be stored, from the response or a later read.
    fn on_elected(&self, version: u64) {
        if lock(&self.election).elected(version) {
            log::info!("leader elected shard={} token={version}", self.id.0);
        } else {
            log::warn!("leadership record expired shard={} token={version} reason=lease_expired", self.id.0);
        }
    }

    /// Writes the leadership record if the stored one has this version; 0 stands for no stored record.
    async fn send_campaign(&self, lease: u64, expected_version: u64) -> Result<CompareAndSwap, StateError> {
        let record = lock(&self.election).prepare_campaign(lease, clock::wall_ms());
        let value = serde_json::to_value(&record).map_err(|_| StateError::NotExecuted(BAD_REQUEST))?;
        let condition = Compare { key: self.leadership_key.clone(), version: expected_version };
        let mutation = Mutation::Put { key: self.leadership_key.clone(), value, lease: Some(lease) };
        self.state.commit(vec![condition], vec![mutation], RequestPriority::Urgent).await
    }

    /// Writes this node's leadership record again, so that its token becomes newer than those of all other shards.
    /// The state of the shard is then read again, as at any failover.
    pub(in crate::node) async fn reacquire_leadership(self: &Arc<Self>, token: u64) {
        if self.campaign_in_progress.swap(true, Ordering::Relaxed) {
            return;
        }
        if let Some(lease) = self.valid_lease(token) {
            match self.send_campaign(lease, token).await {
                Ok(CompareAndSwap::Applied(version)) => {
                    log::info!("leadership reacquired shard={} token={version} previous={token}", self.id.0);
                    // Nothing can be stored under the previous token any more.
                    lock(&self.shard).take();
                    self.on_elected(version);
                }
                Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_leadership_record().await,
                Err(error) => log::debug!("leadership not reacquired shard={} reason=\"{error}\"", self.id.0),
            }
        }
        self.campaign_in_progress.store(false, Ordering::Relaxed);
    }

    /// Returns the lease while this token is valid.
    fn valid_lease(&self, token: u64) -> Option<u64> {
        let election = lock(&self.election);
        election.lease().filter(|_| election.valid_token(clock::now()) == Some(token))
    }

    /// Returns how long this controller waits before it campaigns for this shard. If there are several shards, the
    /// delay spreads them over the controllers.
    fn campaign_delay_s(&self) -> f64 {
        if self.shards().len() < 2 {
            return 0.0;
        }
        campaign_delay_s(&self.settings.node, &self.settings.nodes(), self.id, self.shards_led())
    }

    /// Crash-loop backoff: deletes the leadership record of an earlier process of this node, so that another
    /// controller can be elected, and writes a backoff key that later processes of this node read and that expires
    /// with its lease.
    async fn yield_leadership(&self, version: u64) {
        let Ok(lease) = self.state.grant((CRASH_LOOP_BACKOFF_S * 1000.0) as u64).await else { return };
        let Ok(value) = serde_json::to_value(lock(&self.election).own_record()) else { return };
        let condition = Compare { key: self.leadership_key.clone(), version };
        let backoff = Mutation::Put { key: backoff_key(&self.settings.node), value, lease: Some(lease) };
        let mutations = vec![Mutation::Delete { key: self.leadership_key.clone() }, backoff];
        match self.state.commit(vec![condition], mutations, RequestPriority::Urgent).await {
            Ok(CompareAndSwap::Applied(_)) => self.on_leadership_yielded(version),
            Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_leadership_record().await,
            Err(error) => log::debug!("leadership not yielded shard={} reason=\"{error}\"", self.id.0),
        }
    }

    fn on_leadership_yielded(&self, token: u64) {
        log::warn!("leadership yielded shard={} token={token} reason=crash_loop", self.id.0);
        let mut election = lock(&self.election);
        election.leadership_yielded(clock::now());
        election.observe_record(None, clock::now());
    }
}
