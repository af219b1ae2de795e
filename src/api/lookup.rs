//! Questions about jobs and cancellations: by the leader, by asking it, or by the stored record alone.

use super::turn;
use crate::clock;
use crate::job_status::{JobStatus, Lookup, status_of_item};
use crate::jobs::job_key;
use crate::node::{JobLocation, LeadershipStatus, Node, ShardRuntime};
use crate::peer::{JobAnswer as PeerAnswer, Outcome, Verb};
use crate::responses::{status_from_leader, status_from_record};
use crate::wire::JobState;
use std::time::Duration;

/// How long a question waits for a final state that is just being stored.
const SETTLES_WITHIN_S: f64 = 0.9;
const CANCELS_WITHIN_S: f64 = 3.2;

impl Node {
    /// Shows or cancels a job, here if this is its leader, else by asking the leader.
    pub async fn about(&self, verb: Verb, id: &str) -> Lookup {
        let cell = match self.locate_job(id, turn(verb)).await {
            JobLocation::In(c) => c,
            JobLocation::Answered(w) => return w,
        };
        let lookup = match cell.leadership_status(clock::now()) {
            LeadershipStatus::Leading => cell.about_here(verb, id).await,
            LeadershipStatus::Following(node) => {
                if let Some(t) = self.known_end(id) {
                    return Lookup::Known(t);
                }
                let limit = (verb == Verb::Cancel).then_some(Duration::from_millis(3500));
                match self.peers.ask(&node, verb, (id, cell.id.0), limit).await {
                    Some(a) => self.heard_from_peer(id, &a),
                    None => self.about_stored(verb, id).await,
                }
            }
            LeadershipStatus::NoLeader => self.about_stored(verb, id).await,
        };
        if lookup == Lookup::Unavailable {
            self.forget_job_shard(id);
        }
        lookup
    }

    fn heard_from_peer(&self, id: &str, a: &PeerAnswer) -> Lookup {
        match (a.outcome(), JobState::parse(&a.state)) {
            (Outcome::Known, Some(state)) => {
                let t = JobStatus { state, done: a.done, running: a.running };
                self.note_end(id, t);
                Lookup::Known(t)
            }
            (Outcome::Unknown, _) => Lookup::Absent,
            _ => Lookup::Unavailable,
        }
    }

    /// Without the leader: what the record says. One that is open was open when it was read, which
    /// was after the question: ends are stored before anybody is told of them. Questions about open
    /// jobs once got no answer by nodes that could not reach the leader, for as long as that lasted.
    async fn about_stored(&self, verb: Verb, id: &str) -> Lookup {
        if let Some(t) = self.known_end(id) {
            return Lookup::Known(t);
        }
        match self.state.get(&job_key(id), turn(verb)).await {
            Ok(None) => Lookup::Absent,
            Ok(Some(item)) => {
                let lookup = status_from_record(verb, &item);
                if let Lookup::Known(told) = lookup {
                    self.note_end(id, told);
                }
                lookup
            }
            Err(_) => Lookup::Unavailable,
        }
    }
}

impl ShardRuntime {
    /// The leader's own answer.
    pub async fn about_here(&self, verb: Verb, id: &str) -> Lookup {
        let began = clock::now();
        let mut looked = false;
        loop {
            let now = clock::now();
            let seen = self.with_shard(now, |s| {
                if verb == Verb::Cancel {
                    s.cancel(id);
                }
                (s.token, s.job_view(id))
            });
            let Some((token, seen)) = seen else { return Lookup::Unavailable };
            match seen {
                Some(shown) => {
                    if let Some(told) = status_from_leader(verb, shown) {
                        return Lookup::Known(told);
                    }
                    if now - began > if verb == Verb::Show { SETTLES_WITHIN_S } else { CANCELS_WITHIN_S } {
                        return Lookup::Unavailable;
                    }
                    // A final state is told only once it is stored.
                    self.wake();
                    async_io::Timer::after(Duration::from_millis(10)).await;
                }
                None if looked => return Lookup::Unavailable,
                None => {
                    if let Some(t) = self.known_end(id) {
                        return Lookup::Known(t);
                    }
                    match self.state.get(&job_key(id), turn(verb)).await {
                        Ok(None) => return Lookup::Absent,
                        // What is over need not be known here: its record says it all.
                        Ok(Some(item)) => match status_of_item(&item) {
                            Some(t) if t.is_final() => {
                                self.note_end(id, t);
                                return Lookup::Known(t);
                            }
                            _ => {
                                // Another shard's is not taken in, and nothing can be said of it here.
                                looked = true;
                                self.apply_job(token, &item);
                            }
                        },
                        Err(_) => return Lookup::Unavailable,
                    }
                }
            }
        }
    }
}
