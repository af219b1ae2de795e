//! The leader's writes. Each transaction is conditional on the version of the leadership record and of every key that
//! it changes. If the response to a write is lost, the stored keys are read before the write is sent again.

use crate::clock;
use crate::job_status::JobStatus;
use crate::node::{EXECUTOR, MAX_CONCURRENT_COMMITS, ShardRuntime, lock};
use crate::shard::PendingWrite;
use crate::state::{CompareAndSwap, MAX_TRANSACTION_BYTES, RequestPriority, StateError};
use crate::wire::{Compare, KeyValue, Mutation};
use async_channel::Sender;
use async_io::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Number of available writes that checkpoints and other deferrable writes leave for urgent ones.
const RESERVED_WRITES: usize = 4;
const READ_RETRY_PAUSE: Duration = Duration::from_millis(200);
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The shard no longer has the token under which an operation was started.
struct LeadershipLost;

/// The writes of one transaction, and the token under which they were created.
struct WriteBatch {
    token: u64,
    writes: Vec<PendingWrite>,
}

impl ShardRuntime {
    pub(in crate::node) async fn write_loop(self: Arc<Self>) {
        let (done_sender, done_receiver) = async_channel::bounded::<()>(MAX_CONCURRENT_COMMITS);
        let mut running = 0;
        while self.is_open() {
            Self::wait_for_wake(&self.wakes.writes.1).await;
            while done_receiver.try_recv().is_ok() {
                running -= 1;
            }
            while running < MAX_CONCURRENT_COMMITS {
                let Some(batch) = self.next_batch() else { break };
                running += 1;
                EXECUTOR.spawn(self.clone().write_in_background(batch, done_sender.clone())).detach();
            }
        }
    }

    /// Returns the writes that are due, as many as the rate limit and the transaction size allow now.
    fn next_batch(&self) -> Option<WriteBatch> {
        let now = clock::now();
        let available = self.state.available_writes();
        let max_writes = self.state.txn_ops.min(available);
        let spare = available.saturating_sub(RESERVED_WRITES);
        if max_writes == 0 {
            return None;
        }
        let batch = self.with_shard(now, |shard| WriteBatch {
            token: shard.token,
            writes: shard.next_writes(max_writes, MAX_TRANSACTION_BYTES, spare, now),
        });
        batch.filter(|batch| !batch.writes.is_empty())
    }

    async fn write_in_background(self: Arc<Self>, batch: WriteBatch, done: Sender<()>) {
        self.write(batch.token, batch.writes).await;
        let _ = done.send(()).await;
        let _ = self.wakes.writes.0.try_send(());
    }

    async fn write(&self, token: u64, writes: Vec<PendingWrite>) {
        let conditions = self.write_conditions(token, &writes);
        let mutations = writes.iter().map(|write| self.to_stored_mutation(&write.mutation)).collect();
        match self.state.commit(conditions, mutations, RequestPriority::Normal).await {
            Ok(CompareAndSwap::Applied(revision)) => {
                self.on_leadership_confirmed(token, revision);
                self.on_writes_stored(token, writes, revision);
            }
            // A version differs from the expected one, or the outcome is unknown.
            Ok(CompareAndSwap::Conflict(_)) | Err(StateError::Unknown) => {
                let _ = self.resolve_writes(token, writes).await;
            }
            Err(_) => {
                Timer::after(WRITE_RETRY_PAUSE).await;
                self.reject_writes(token, writes);
            }
        }
    }

    fn write_conditions(&self, token: u64, writes: &[PendingWrite]) -> Vec<Compare> {
        let mut conditions = vec![Compare { key: self.leadership_key.clone(), version: token }];
        let on_version = |write: &PendingWrite| Compare { key: self.to_stored_key(&write.key), version: write.version };
        conditions.extend(writes.iter().map(on_version));
        conditions
    }

    fn to_stored_mutation(&self, mutation: &Mutation) -> Mutation {
        match mutation.clone() {
            Mutation::Put { key, value, lease } => Mutation::Put { key: self.to_stored_key(&key), value, lease },
            Mutation::Delete { key } => Mutation::Delete { key: self.to_stored_key(&key) },
        }
    }

    /// Reads each key from the state service to find out whether its write was applied.
    async fn resolve_writes(&self, token: u64, writes: Vec<PendingWrite>) -> Result<(), LeadershipLost> {
        let (mut stored, mut rejected) = (Vec::new(), Vec::new());
        for write in writes {
            let item = self.read_until_answered(token, &write.key).await?;
            let version = item.as_ref().map_or(0, |item| item.version);
            if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
                shard.on_version_known(&write.key, version);
            }
            if write.matches_stored(item.as_ref()) { stored.push((write, version)) } else { rejected.push(write) }
        }
        self.read_leadership_record().await;
        for (write, version) in stored {
            self.on_writes_stored(token, vec![write], version);
        }
        self.reject_writes(token, rejected);
        Ok(())
    }

    /// Reads a key of this shard until the state service answers, or the shard of this token is gone.
    async fn read_until_answered(&self, token: u64, key: &str) -> Result<Option<KeyValue>, LeadershipLost> {
        loop {
            match self.state.get(&self.to_stored_key(key), RequestPriority::Normal).await {
                Ok(item) => return Ok(item),
                Err(_) => Timer::after(READ_RETRY_PAUSE).await,
            };
            if lock(&self.shard).as_ref().is_none_or(|shard| shard.token != token) {
                return Err(LeadershipLost);
            }
        }
    }

    fn reject_writes(&self, token: u64, writes: Vec<PendingWrite>) {
        if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
            shard.on_writes_rejected(writes);
        }
    }

    /// Informs the shard with this token of a revision at which a write conditional on its leadership record was applied.
    fn on_leadership_confirmed(&self, token: u64, revision: u64) {
        if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
            shard.on_leadership_confirmed(revision);
        }
    }

    /// Informs the shard with this token that its writes are stored as of this revision.
    fn on_writes_stored(&self, token: u64, writes: Vec<PendingWrite>, revision: u64) {
        let now = clock::now();
        let mut ended_jobs = Vec::new();
        if let Some(shard) = lock(&self.shard).as_mut().filter(|shard| shard.token == token) {
            ended_jobs = shard.job_ends_in(&writes);
            shard.on_writes_applied(writes, revision, now);
        }
        // The node answers for these jobs without the state service, also once the shard has dropped them.
        for (id, state, done) in ended_jobs {
            self.remember_final_status(&id, JobStatus { state, done, running: 0 });
        }
        let _ = self.wakes.pushes.0.try_send(());
        // Jobs that depend on one that is now stored as done may start.
        self.wake();
    }
}
