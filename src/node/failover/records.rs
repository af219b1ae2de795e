//! Reads the job records that a new leader needs: the checkpoint and the changes since it or, if the checkpoint
//! cannot be used, every stored record. Nothing is written here.

use crate::jobs::{JOB_PREFIX, JobRecord, Phase};
use crate::node::ShardRuntime;
use crate::shard::{LoadedCheckpoint, inherited_totals, parse_job_record};
use crate::state::{RequestPriority, StateError};
use crate::wire::{KeyValue, WatchReply};
use lupinspur_recovery::{Checkpoint, CheckpointError};
use lupinspur_service_levels::inheritance::InheritedTotals;
use std::collections::HashMap;
use std::time::Duration;

/// The job records that a new leader needs, and the checkpoint and measurements that the previous leader stored.
#[derive(Default)]
pub(super) struct FailoverRecords {
    /// Records by job id, each with its version.
    pub(super) jobs: HashMap<String, (JobRecord, u64)>,
    pub(super) checkpoint: LoadedCheckpoint,
    /// The service-level totals of the previous leader, and their place among the stored values of the checkpoint.
    pub(super) inherited_totals: Option<(InheritedTotals, u8)>,
    /// The number of records that were dropped because their jobs are over.
    ended: u64,
}

/// Whether records of jobs that are over are dropped, or kept because the job may have ended after the checkpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndedJobs {
    Drop,
    Keep,
}

impl FailoverRecords {
    /// Adds a record if the shard needs it.
    fn add(
        &mut self,
        runtime: &ShardRuntime,
        key: &str,
        value: &serde_json::Value,
        version: u64,
        ended_jobs: EndedJobs,
    ) {
        let keep_ended = ended_jobs == EndedJobs::Keep;
        match parse_job_record(key, value) {
            // The job belongs to another shard, or has moved to one.
            Ok(record) if !runtime.is_relevant(&record) => {
                self.jobs.remove(&record.job.id);
                if keep_ended {
                    self.checkpoint.gone.push(record.job.id);
                }
            }
            Ok(record) if record.phase == Phase::Open || keep_ended => {
                self.jobs.insert(record.job.id.clone(), (record, version));
            }
            Ok(_) => self.ended += 1,
            Err(error) => {
                log::error!("job record unreadable key={key} reason=\"{error}\"");
                self.checkpoint.incomplete = true;
            }
        }
    }

    /// Adds the jobs that are open in the checkpoint and every change since. Returns the revision that this covers.
    fn add_checkpoint(&mut self, runtime: &ShardRuntime, mut checkpoint: Checkpoint, since: WatchReply) -> u64 {
        for open in std::mem::take(&mut checkpoint.open) {
            let key = format!("{JOB_PREFIX}{}", open.id);
            self.add(runtime, &key, &open.value, open.version, EndedJobs::Drop);
        }
        let (checkpoint_revision, changes) = (checkpoint.head.revision, since.events.len());
        for event in since.events {
            if let (Some(key), Some(value)) = (&event.put, &event.value) {
                self.add(runtime, key, value, event.version, EndedJobs::Keep);
            }
        }
        log::info!("checkpoint read revision={checkpoint_revision} changes_since={changes}");
        self.checkpoint.read = Some(checkpoint);
        let revision = since.revision.max(checkpoint_revision);
        self.checkpoint.revision = revision;
        revision
    }
}

impl ShardRuntime {
    /// Reads the records of the open jobs. Also returns the revision up to which they are complete.
    pub(super) async fn read_jobs(&self) -> Result<(FailoverRecords, u64), StateError> {
        let mut records = FailoverRecords::default();
        match self.read_checkpoint(&mut records).await? {
            Ok(checkpoint) => match self.state.watch(JOB_PREFIX, checkpoint.head.revision, Duration::ZERO).await {
                Ok(since) => {
                    let revision = records.add_checkpoint(self, checkpoint, since);
                    return Ok((records, revision));
                }
                Err(StateError::TooOld) => {
                    log::warn!("checkpoint skipped revision={} reason=changes_compacted", checkpoint.head.revision)
                }
                Err(error) => return Err(error),
            },
            Err(CheckpointError::NotFound) => log::info!("checkpoint skipped reason=none_stored"),
            Err(error) => log::warn!("checkpoint skipped reason=\"{error}\""),
        }
        let revision = self.read_every_job(&mut records).await?;
        Ok((records, revision))
    }

    /// Reads the stored checkpoint. The inner error says why it cannot be used.
    async fn read_checkpoint(
        &self,
        records: &mut FailoverRecords,
    ) -> Result<Result<Checkpoint, CheckpointError>, StateError> {
        let items = self.list_own(lupinspur_recovery::PREFIX).await?;
        records.checkpoint.keys = items.iter().map(|item| (item.key.clone(), item.version)).collect();
        records.inherited_totals = inherited_totals(items.iter().map(|item| (item.key.as_str(), &item.value)));
        // Until a merge is complete, this shard's own checkpoint does not cover the jobs of the other shards.
        let complete = !self.absorbs_all_shards();
        let usable = items.iter().filter(|_| complete);
        Ok(lupinspur_recovery::read(usable.map(|item| (item.key.as_str(), &item.value))))
    }

    /// Reads every stored job record, page by page. Returns the revision of the list.
    async fn read_every_job(&self, records: &mut FailoverRecords) -> Result<u64, StateError> {
        let add = |item: KeyValue| {
            records.add(self, &item.key, &item.value, item.version, EndedJobs::Drop);
        };
        let revision = self.state.for_each(JOB_PREFIX, RequestPriority::Normal, add).await?;
        log::info!("job records read open={} ended={}", records.jobs.len(), records.ended);
        records.checkpoint.revision = revision;
        Ok(revision)
    }
}
