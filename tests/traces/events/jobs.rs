//! Events of jobs: submission, cancellation and polls.

use crate::world::World;
use lupinspur::jobs::job_key;
use lupinspur::shard::JobView;

impl World {
    /// Executes the event if it is of this kind; returns whether it is.
    pub(super) fn jobs_event(&mut self, now: f64, what: &str, args: &[&str]) -> bool {
        let first = args.first().copied().unwrap_or("");
        match what {
            "job" => {
                let (record, version) = self.accept(first, args, now);
                self.shard().add_job(record, version, now);
                self.shard().tick(now);
            }
            "cancel" => _ = self.shard().cancel(first),
            "show" => {
                let answer = self.shard().job_view(first);
                let text = match answer {
                    None => "unknown".to_owned(),
                    Some(JobView::Committing) => "being stored, nothing can be told".to_owned(),
                    Some(JobView::Visible(state, done, running)) => {
                        format!("{}, {done} done, {running} running", state.as_str())
                    }
                };
                self.print(&format!("{first}: {text}"));
            }
            // Another controller accepts a job; the leader doesn't know of it yet.
            "accepted" => _ = self.accept(first, args, now),
            // The watch delivers the record of an accepted job.
            "heard-of" => {
                let (value, version) = self.store[&job_key(first)].clone();
                let record = serde_json::from_value(value).expect("a record");
                self.shard().add_job(record, version, now);
                self.shard().tick(now);
            }
            "waiting" => {
                let waiting = self.shard().dependencies.waiting_count();
                let live = self.shard().jobs.live.len();
                self.print(&format!("{waiting} jobs wait for others, {live} have something to do"));
            }
            // Prints the live jobs by priority, effective deadline and index.
            "order" => {
                let shard = self.shard();
                let mut jobs: Vec<_> = shard.jobs.live.iter().map(|job| &shard.jobs[*job]).collect();
                jobs.sort_by_key(|job| {
                    (job.priority, job.effective_deadline_ms((now * 1000.0) as u64, 1.0), job.index)
                });
                let ids: Vec<String> = jobs.iter().map(|job| job.id.to_string()).collect();
                self.print(&format!("order: {}", ids.join(", ")));
            }
            // Prints the ids of the queued jobs in placement order.
            "turns" => {
                let ids = self.shard().placement_order(now);
                self.print(&format!("turns: {}", ids.join(", ")));
            }
            _ => return false,
        }
        true
    }
}
