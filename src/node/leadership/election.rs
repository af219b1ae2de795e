//! The election: a campaign writes the leadership record over the version that was seen, and the version of the
//! record that it wrote is the fencing token. It never writes over a record that it has not seen.

use crate::clock;
use crate::election::{CRASH_LOOP_BACKOFF_S, ElectionStep, backoff_key};
use crate::node::{EXECUTOR, ShardRuntime, lock};
use crate::state::{CompareAndSwap, RequestPriority, StateError};
use crate::wire::{Compare, Mutation};
use lupinspur_sharding::activation::campaign_delay_s;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// What the state service answers to a request that it does not understand.
const BAD_REQUEST: u16 = 400;

impl ShardRuntime {
    /// Campaigns for this shard, unless a campaign is under way.
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
        // Before the lock of the election: it looks at the elections of all shards.
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
        // Whoever does not know the machine types cannot act, and must not stand in the
        // way of those that can.
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
            ElectionStep::Campaign { lease, over } => match self.send_campaign(lease, over).await {
                Ok(CompareAndSwap::Applied(version)) => self.on_elected(version),
                Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_leadership_record().await,
                Err(StateError::NoSuchLease) => self.on_lease_expired(lease),
                Err(error) => log::debug!("campaign failed shard={} reason=\"{error}\"", self.id.0),
            },
            ElectionStep::AdoptOwnRecord { version } => self.on_elected(version),
            ElectionStep::Yield { over } => self.yield_leadership(over).await,
        }
    }

    /// Reads the state of the shard for a token for which it has not been read yet. Reading may take longer than
    /// the lease lasts: it goes on being renewed meanwhile. A reading that had to be over within a lease would
    /// never be over with a long history.
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

    /// A leadership record of this node is stored, as the answer or a later reading shows.
    fn on_elected(&self, version: u64) {
        if lock(&self.election).elected(version) {
            log::info!("leader elected shard={} token={version}", self.id.0);
        } else {
            log::warn!("leadership record expired shard={} token={version} reason=lease_expired", self.id.0);
        }
    }

    /// Writes the leadership record over that of this version; 0: over none.
    async fn send_campaign(&self, lease: u64, over: u64) -> Result<CompareAndSwap, StateError> {
        let record = lock(&self.election).prepare_campaign(lease, clock::wall_ms());
        let value = serde_json::to_value(&record).map_err(|_| StateError::NotExecuted(BAD_REQUEST))?;
        let condition = Compare { key: self.leadership_key.clone(), version: over };
        let mutation = Mutation::Put { key: self.leadership_key.clone(), value, lease: Some(lease) };
        self.state.commit(vec![condition], vec![mutation], RequestPriority::Urgent).await
    }

    /// Writes its own leadership record again: its token is newer than those of all other shards then, and what it
    /// knew is read again as at any failover.
    pub(in crate::node) async fn reacquire_leadership(self: &Arc<Self>, token: u64) {
        if self.campaign_in_progress.swap(true, Ordering::Relaxed) {
            return;
        }
        if let Some(lease) = self.valid_lease(token) {
            match self.send_campaign(lease, token).await {
                Ok(CompareAndSwap::Applied(version)) => {
                    log::info!("leadership reacquired shard={} token={version} previous={token}", self.id.0);
                    // Under the old one nothing can be stored any more.
                    lock(&self.shard).take();
                    self.on_elected(version);
                }
                Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => self.read_leadership_record().await,
                Err(error) => log::debug!("leadership not reacquired shard={} reason=\"{error}\"", self.id.0),
            }
        }
        self.campaign_in_progress.store(false, Ordering::Relaxed);
    }

    /// The lease, while this token is valid.
    fn valid_lease(&self, token: u64) -> Option<u64> {
        let election = lock(&self.election);
        election.lease().filter(|_| election.valid_token(clock::now()) == Some(token))
    }

    /// Where there are several shards, each controller leaves to others what is not its turn.
    fn campaign_delay_s(&self) -> f64 {
        if self.shards().len() < 2 {
            return 0.0;
        }
        campaign_delay_s(&self.settings.node, &self.settings.nodes(), self.id, self.shards_led())
    }

    /// Crash-loop backoff: leaves the record of an earlier process of this node to the other controllers, and a key
    /// for later processes that expires by itself.
    async fn yield_leadership(&self, over: u64) {
        let Ok(lease) = self.state.grant((CRASH_LOOP_BACKOFF_S * 1000.0) as u64).await else { return };
        let Ok(value) = serde_json::to_value(lock(&self.election).own_record()) else { return };
        let condition = Compare { key: self.leadership_key.clone(), version: over };
        let backoff = Mutation::Put { key: backoff_key(&self.settings.node), value, lease: Some(lease) };
        let mutations = vec![Mutation::Delete { key: self.leadership_key.clone() }, backoff];
        match self.state.commit(vec![condition], mutations, RequestPriority::Urgent).await {
            Ok(CompareAndSwap::Applied(_)) => self.on_leadership_yielded(over),
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
