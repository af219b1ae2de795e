//! Jobs that come, end and are asked about.

use crate::world::World;
use lupinspur::jobs::job_key;
use lupinspur::shard::JobView;

impl World {
    /// Whether it is an event of this kind.
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
                    Some(JobView::Visible(s, d, r)) => format!("{}, {d} done, {r} running", s.as_str()),
                };
                self.say(&format!("{first}: {text}"));
            }
            // Another node accepts a job; the leader does not hear of it yet.
            "accepted" => _ = self.accept(first, args, now),
            // The watch brings it.
            "heard-of" => {
                let (value, version) = self.store[&job_key(first)].clone();
                let record = serde_json::from_value(value).expect("a record");
                self.shard().add_job(record, version, now);
                self.shard().tick(now);
            }
            "waiting" => {
                let n = self.shard().dependencies.waiting_count();
                let live = self.shard().jobs.live.len();
                self.say(&format!("{n} jobs wait for others, {live} have something to do"));
            }
            // Jobs in the order in which they get machines.
            "order" => {
                let s = self.shard();
                let mut jobs: Vec<_> = s.jobs.live.iter().map(|j| &s.jobs[*j]).collect();
                jobs.sort_by_key(|j| (j.priority, j.effective_deadline_ms((now * 1000.0) as u64, 1.0), j.index));
                let ids: Vec<String> = jobs.iter().map(|j| j.id.to_string()).collect();
                self.say(&format!("order: {}", ids.join(", ")));
            }
            // How the jobs that wait stand: what goes first, by id.
            "turns" => {
                let ids = self.shard().placement_order(now);
                self.say(&format!("turns: {}", ids.join(", ")));
            }
            _ => return false,
        }
        true
    }
}
