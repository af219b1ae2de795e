//! Job status requests and cancellations. They are answered by the leader of the job's shard, by forwarding to that
//! leader, or from the stored record alone. A final state is never reported before it is stored, and a job is reported
//! as absent only if the state service has no record of it.

use super::request_priority;
use crate::clock;
use crate::job_status::{JobStatus, Lookup, status_of_item};
use crate::jobs::job_key;
use crate::node::{JobLocation, LeadershipStatus, Node, ShardRuntime};
use crate::peer::{JobAnswer as PeerAnswer, Outcome, Verb};
use crate::responses::{status_from_leader, status_from_record};
use crate::wire::{JobState, KeyValue};
use std::time::Duration;

/// How long a status request waits for a final state to be stored, in seconds.
const SHOW_TIMEOUT_S: f64 = 0.9;
/// How long a cancellation request waits for the cancellation to be stored, in seconds.
const CANCEL_TIMEOUT_S: f64 = 3.2;
/// How long a follower waits for the leader's response to a forwarded cancellation.
const FORWARDED_CANCEL_TIMEOUT: Duration = Duration::from_millis(3500);
/// How often the leader checks whether a final state has been stored.
const COMMIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The stored state of a job.
enum StoredJob {
    Final(JobStatus),
    /// An open job, or a record that cannot be parsed.
    NotFinal(KeyValue),
    Absent,
    /// The state service did not respond.
    Unavailable,
}

fn settle_timeout_s(verb: Verb) -> f64 {
    if verb == Verb::Show { SHOW_TIMEOUT_S } else { CANCEL_TIMEOUT_S }
}

impl Node {
    /// Shows or cancels a job: locally if this node leads its shard, otherwise through the leader.
    pub async fn look_up_job(&self, verb: Verb, id: &str) -> Lookup {
        let shard = match self.locate_job(id, request_priority(verb)).await {
            JobLocation::In(shard) => shard,
            JobLocation::Answered(lookup) => return lookup,
        };
        let lookup = match shard.leadership_status(clock::now()) {
            LeadershipStatus::Leading => shard.look_up_as_leader(verb, id).await,
            LeadershipStatus::Following(leader) => self.look_up_at_leader(&leader, &shard, verb, id).await,
            LeadershipStatus::NoLeader => self.look_up_stored(verb, id).await,
        };
        if lookup == Lookup::Unavailable {
            self.forget_job_shard(id);
        }
        lookup
    }

    /// Asks the leader. If it does not respond, falls back to the stored record.
    async fn look_up_at_leader(&self, leader: &str, shard: &ShardRuntime, verb: Verb, id: &str) -> Lookup {
        if let Some(status) = self.final_status(id) {
            return Lookup::Known(status);
        }
        let timeout = (verb == Verb::Cancel).then_some(FORWARDED_CANCEL_TIMEOUT);
        match self.peers.ask(leader, verb, (id, shard.id.0), timeout).await {
            Some(answer) => self.on_leader_answer(id, &answer),
            None => self.look_up_stored(verb, id).await,
        }
    }

    fn on_leader_answer(&self, id: &str, answer: &PeerAnswer) -> Lookup {
        match (answer.outcome(), JobState::parse(&answer.state)) {
            (Outcome::Known, Some(state)) => {
                let status = JobStatus { state, done: answer.done, running: answer.running };
                self.remember_final_status(id, status);
                Lookup::Known(status)
            }
            (Outcome::Unknown, _) => Lookup::Absent,
            _ => Lookup::Unavailable,
        }
    }

    /// Looks up a job from its stored record, without the leader. Final states are stored before they are reported, so
    /// an open record proves that the job was open after the request arrived. Without this fallback, a node that cannot
    /// reach the leader could not answer requests about open jobs.
    async fn look_up_stored(&self, verb: Verb, id: &str) -> Lookup {
        match self.stored_job(verb, id).await {
            StoredJob::Final(status) => Lookup::Known(status),
            StoredJob::NotFinal(item) => status_from_record(verb, &item),
            StoredJob::Absent => Lookup::Absent,
            StoredJob::Unavailable => Lookup::Unavailable,
        }
    }

    async fn stored_job(&self, verb: Verb, id: &str) -> StoredJob {
        if let Some(status) = self.final_status(id) {
            return StoredJob::Final(status);
        }
        let item = match self.state.get(&job_key(id), request_priority(verb)).await {
            Ok(Some(item)) => item,
            Ok(None) => return StoredJob::Absent,
            Err(_) => return StoredJob::Unavailable,
        };
        match status_of_item(&item) {
            Some(status) if status.is_final() => {
                self.remember_final_status(id, status);
                StoredJob::Final(status)
            }
            _ => StoredJob::NotFinal(item),
        }
    }
}

impl ShardRuntime {
    /// Shows or cancels a job as the leader of its shard. Waits up to `SHOW_TIMEOUT_S` or `CANCEL_TIMEOUT_S` for a
    /// final state or a cancellation to be stored.
    pub async fn look_up_as_leader(&self, verb: Verb, id: &str) -> Lookup {
        let started_at = clock::now();
        let mut has_read_record = false;
        loop {
            let now = clock::now();
            let view = self.with_shard(now, |state| {
                if verb == Verb::Cancel {
                    state.cancel(id);
                }
                (state.token, state.job_view(id))
            });
            let Some((token, view)) = view else { return Lookup::Unavailable };
            let Some(view) = view else {
                if has_read_record {
                    return Lookup::Unavailable;
                }
                has_read_record = true;
                if let Some(lookup) = self.read_unknown_job(verb, id, token).await {
                    return lookup;
                }
                continue;
            };
            if let Some(status) = status_from_leader(verb, view) {
                return Lookup::Known(status);
            }
            if now - started_at > settle_timeout_s(verb) {
                return Lookup::Unavailable;
            }
            // A final state is reported only once it is stored.
            self.wake();
            async_io::Timer::after(COMMIT_POLL_INTERVAL).await;
        }
    }

    /// Reads the record of a job that is not in the shard's memory, as final jobs need not be. Returns `None` for an
    /// open record, after adding the job to the shard if it belongs there.
    async fn read_unknown_job(&self, verb: Verb, id: &str, token: u64) -> Option<Lookup> {
        match self.stored_job(verb, id).await {
            StoredJob::Final(status) => Some(Lookup::Known(status)),
            StoredJob::NotFinal(item) => {
                // A job of another shard is not added; the lookup then ends as unavailable.
                self.apply_job(token, &item);
                None
            }
            StoredJob::Absent => Some(Lookup::Absent),
            StoredJob::Unavailable => Some(Lookup::Unavailable),
        }
    }
}
