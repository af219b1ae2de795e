//! Questions about jobs and cancellations: answered by the job's leader, by asking it, or from the stored record alone.
//! Never reports a final state that is not stored, nor a job as absent unless the state service says so.

use super::request_priority;
use crate::clock;
use crate::job_status::{JobStatus, Lookup, status_of_item};
use crate::jobs::job_key;
use crate::node::{JobLocation, LeadershipStatus, Node, ShardRuntime};
use crate::peer::{JobAnswer as PeerAnswer, Outcome, Verb};
use crate::responses::{status_from_leader, status_from_record};
use crate::wire::{JobState, KeyValue};
use std::time::Duration;

/// How long a question waits for a final state that is being stored, in seconds.
const SHOW_TIMEOUT_S: f64 = 0.9;
/// How long a cancellation waits until it is stored, in seconds.
const CANCEL_TIMEOUT_S: f64 = 3.2;
/// How long a follower waits for the leader's answer to a cancellation.
const FORWARDED_CANCEL_TIMEOUT: Duration = Duration::from_millis(3500);
/// How often a leader looks again for a final state that is being stored.
const COMMIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What is stored of a job.
enum StoredJob {
    Final(JobStatus),
    /// Open, or a record that cannot be read.
    NotFinal(KeyValue),
    Absent,
    /// The state service gave no answer.
    Unavailable,
}

fn settle_timeout_s(verb: Verb) -> f64 {
    if verb == Verb::Show { SHOW_TIMEOUT_S } else { CANCEL_TIMEOUT_S }
}

impl Node {
    /// Shows or cancels a job, here if this node is its leader, else by asking the leader.
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

    /// Asks the leader; where it does not answer, the stored record.
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

    /// Without the leader: what the record says. One that is open was open when it was read, which
    /// was after the question: final states are stored before anybody is told of them. Questions about open
    /// jobs once got no answer by nodes that could not reach the leader, for as long as that lasted.
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
    /// Shows or cancels a job as its leader. Waits until a final state or a cancellation is stored, for up to
    /// `SHOW_TIMEOUT_S` or `CANCEL_TIMEOUT_S`.
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

    /// Reads the record of a job that the shard does not know: final and absent jobs need not be known to the
    /// shard. None: the record was applied to the shard, if it is one of its jobs.
    async fn read_unknown_job(&self, verb: Verb, id: &str, token: u64) -> Option<Lookup> {
        match self.stored_job(verb, id).await {
            StoredJob::Final(status) => Some(Lookup::Known(status)),
            StoredJob::NotFinal(item) => {
                // Another shard's job is not added, and nothing can be said of it here.
                self.apply_job(token, &item);
                None
            }
            StoredJob::Absent => Some(Lookup::Absent),
            StoredJob::Unavailable => Some(Lookup::Unavailable),
        }
    }
}
