//! Finds the shard that a job or a machine belongs to, if there are several, and maps the keys of a shard to stored
//! keys. Nothing here moves a job or a machine.

use crate::clock;
use crate::job_status::{Lookup, status_of};
use crate::jobs::{JOB_PREFIX, JobRecord, PART_PREFIX, PROGRESS_PREFIX, Phase, job_key};
use crate::node::{LeadershipStatus, Node, ShardRuntime, lock};
use crate::peer::MachineQuestion;
use crate::shard::{Shard, parse_job_record};
use crate::state::{RequestPriority, StateError};
use crate::wire::KeyValue;
use lupinspur_sharding::ShardId;
use lupinspur_sharding::activation::{ActivePlan, NOBODY};
use std::sync::Arc;

/// Where a question about a job is answered.
pub enum JobLocation {
    /// The shard that has the job, or would have it.
    In(Arc<ShardRuntime>),
    /// The answer, if no shard is needed for it.
    Answered(Lookup),
}

impl Node {
    /// Returns the runtime of this shard, if the active plan has it.
    pub fn shard(&self, shard_id: ShardId) -> Option<Arc<ShardRuntime>> {
        self.shards().get(shard_id.as_usize()).cloned()
    }

    /// Returns the runtime of shard 0 if it is the only shard, or will be after the current merge.
    fn only_shard(&self) -> Option<Arc<ShardRuntime>> {
        let runtimes = self.shards();
        (runtimes.len() == 1 || self.is_merging()).then(|| runtimes[0].clone())
    }

    /// Returns the shard that the job of this record belongs to.
    pub fn shard_of_record(&self, record: &JobRecord) -> ShardId {
        let shards = self.shards().len();
        record.shard.filter(|shard| (*shard as usize) < shards).map_or(ShardId(0), ShardId)
    }

    /// Returns the home shard of a team's new jobs; none if there is only one shard.
    pub fn home_shard(&self, team: &str) -> Option<ShardId> {
        let plan = lock(&self.active_plan).clone()?;
        Some(self.home_shard_in_plan(&plan, team))
    }

    /// Returns the shard led by this node that knows this job.
    pub fn shard_knowing_job(&self, id: &str, now: f64) -> Option<Arc<ShardRuntime>> {
        self.shards()
            .iter()
            .find(|runtime| runtime.with_shard(now, |shard| shard.jobs.find(id).is_some()) == Some(true))
            .cloned()
    }

    /// Remembers in which shard this job was found.
    pub fn remember_job_shard(&self, id: &str, shard_id: ShardId) {
        lock(&self.shard_by_job).put(id.to_owned(), shard_id);
    }

    /// Forgets the shard of this job, because the job was not found there. The next lookup starts again.
    pub fn forget_job_shard(&self, id: &str) {
        lock(&self.shard_by_job).pop(id);
    }

    /// Finds out where a question about this job is answered. For a job that this node does not know, it asks the
    /// other leaders first, and reads the record from the state service only if none of them knows it. With one
    /// read per question, the polls of users exhausted a rate limit of 100 requests per second.
    pub async fn locate_job(&self, id: &str, priority: RequestPriority) -> JobLocation {
        if let Some(runtime) = self.only_shard() {
            return JobLocation::In(runtime);
        }
        if let Some(status) = self.final_status(id) {
            return JobLocation::Answered(Lookup::Known(status));
        }
        if let Some(runtime) = self.shard_knowing_job(id, clock::now()) {
            return JobLocation::In(runtime);
        }
        let remembered = lock(&self.shard_by_job).get(id).copied();
        if let Some(runtime) = remembered.and_then(|shard_id| self.shard(shard_id)) {
            return JobLocation::In(runtime);
        }
        for node in self.other_leaders(clock::now()) {
            let question = MachineQuestion { machine: String::new(), job: id.to_owned() };
            if let Some(answer) = self.peers.ask_expects(&node, question).await.filter(|answer| answer.known)
                && let Some(runtime) = self.shard(ShardId(answer.cell))
            {
                self.remember_job_shard(id, runtime.id);
                return JobLocation::In(runtime);
            }
        }
        match self.state.get(&job_key(id), priority).await {
            Ok(None) => JobLocation::Answered(Lookup::Absent),
            Ok(Some(item)) => match parse_job_record(&item.key, &item.value) {
                Ok(record) if record.phase == Phase::Open => {
                    let shard_id = self.shard_of_record(&record);
                    self.remember_job_shard(id, shard_id);
                    self.shard(shard_id).map_or(JobLocation::Answered(Lookup::Unavailable), JobLocation::In)
                }
                Ok(record) => {
                    let status = status_of(&record);
                    self.remember_final_status(id, status);
                    JobLocation::Answered(Lookup::Known(status))
                }
                Err(_) => JobLocation::Answered(Lookup::Unavailable),
            },
            Err(_) => JobLocation::Answered(Lookup::Unavailable),
        }
    }

    /// Returns the shard of a machine that sent a heartbeat with this token: the shard that knows the machine, on
    /// whichever node it is led. A machine that no shard knows is assigned to a shard whose token is not older than
    /// the machine's. Returns none while not all shards could be asked.
    pub async fn shard_of_machine(&self, machine: &str, token: u64) -> Option<Arc<ShardRuntime>> {
        // Until shard 0 has read the state of the other shards, it does not know what runs on their machines.
        if self.is_merging() {
            let knows = |shard: &mut Shard| shard.machines.find(machine).is_some();
            let absorbing = self.shard(ShardId(0))?;
            return Some(absorbing.clone()).filter(|runtime| {
                runtime.absorbs_all_shards() || runtime.with_shard(clock::now(), knows) != Some(false)
            });
        }
        if let Some(runtime) = self.only_shard() {
            return Some(runtime);
        }
        // A machine that is being transferred belongs to the stored destination.
        if let Some(runtime) = self.transfer_destination(machine).and_then(|shard_id| self.shard(shard_id)) {
            return Some(runtime);
        }
        let now = clock::now();
        let runtimes = self.shards();
        let knows = |runtime: &&Arc<ShardRuntime>| {
            runtime.with_shard(now, |shard| shard.machines.find(machine).is_some()) == Some(true)
        };
        if let Some(runtime) = runtimes.iter().find(knows) {
            return Some(runtime.clone());
        }
        let remembered = lock(&self.shard_by_machine).get(machine).copied();
        if let Some(runtime) = remembered.and_then(|shard_id| runtimes.get(shard_id.as_usize())) {
            return Some(runtime.clone());
        }
        let mut shards_asked: Vec<bool> =
            runtimes.iter().map(|runtime| runtime.leadership_status(now) == LeadershipStatus::Leading).collect();
        for node in self.other_leaders(now) {
            let question = MachineQuestion { machine: machine.to_owned(), job: String::new() };
            let Some(answer) = self.peers.ask_expects(&node, question).await else { continue };
            if answer.known {
                lock(&self.shard_by_machine).put(machine.to_owned(), ShardId(answer.cell));
                return self.shard(ShardId(answer.cell));
            }
            for shard in answer.owned {
                if let Some(asked) = shards_asked.get_mut(shard as usize) {
                    *asked = true;
                }
            }
        }
        if !shards_asked.iter().all(|asked| *asked) {
            return None;
        }
        let plan = lock(&self.active_plan).clone()?;
        let preferred = plan.shard_of_unknown(machine);
        let accepted_by_machine = |runtime: &&Arc<ShardRuntime>| {
            lock(&runtime.election).observed_version().is_some_and(|version| version >= token)
        };
        let runtime = runtimes
            .get(preferred.as_usize())
            .filter(accepted_by_machine)
            .or_else(|| runtimes.iter().find(accepted_by_machine))?;
        lock(&self.shard_by_machine).put(machine.to_owned(), runtime.id);
        Some(runtime.clone())
    }

    /// Like [`Self::find_led_shard`] for a machine, which may be on its way to another shard.
    pub fn find_machine_shard(&self, machine: &str) -> (Option<ShardId>, Vec<u32>) {
        let (found, searched) = self.find_led_shard(|shard| shard.machines.find(machine).is_some());
        (self.transfer_destination(machine).or(found), searched)
    }

    /// Answers another controller's question: returns the shard led here for which `knows` is true, if any, and
    /// the numbers of the shards that were searched.
    pub fn find_led_shard(&self, knows: impl Fn(&mut Shard) -> bool) -> (Option<ShardId>, Vec<u32>) {
        let (now, runtimes) = (clock::now(), self.shards());
        let searched: Vec<(ShardId, bool)> =
            runtimes.iter().filter_map(|runtime| Some((runtime.id, runtime.with_shard(now, &knows)?))).collect();
        let found = searched.iter().find(|(_, known)| *known).map(|(shard_id, _)| *shard_id);
        (found, searched.iter().map(|(shard_id, _)| shard_id.0).collect())
    }

    /// Returns the names of the other controllers that lead shards.
    fn other_leaders(&self, now: f64) -> Vec<String> {
        let mut leaders: Vec<String> = Vec::new();
        for runtime in self.shards().iter() {
            if let LeadershipStatus::Following(node) = runtime.leadership_status(now)
                && !leaders.contains(&node)
            {
                leaders.push(node);
            }
        }
        leaders
    }
}

impl ShardRuntime {
    /// Returns the stored key for a key of this shard. Jobs and their progress have the same keys in every shard.
    pub(super) fn to_stored_key(&self, key: &str) -> String {
        let shared = [JOB_PREFIX, PROGRESS_PREFIX, PART_PREFIX].iter().any(|prefix| key.starts_with(prefix));
        if shared || self.id.0 == 0 { key.to_owned() } else { format!("c{}/{key}", self.id.0) }
    }

    /// Converts the stored key of an item back to the shard's key.
    pub(super) fn strip_stored_prefix(&self, mut item: KeyValue) -> KeyValue {
        if self.id.0 != 0
            && let Some(key) = item.key.strip_prefix(&format!("c{}/", self.id.0))
        {
            item.key = key.to_owned();
        }
        item
    }

    /// Lists all items of this shard under a prefix.
    pub(super) async fn list_own(&self, prefix: &str) -> Result<Vec<KeyValue>, StateError> {
        let (items, _) = self.state.list(&self.to_stored_key(prefix), RequestPriority::Normal).await?;
        Ok(items.into_iter().map(|item| self.strip_stored_prefix(item)).collect())
    }

    /// Returns whether a record concerns this shard. Every record of a job that is over does, because jobs of this
    /// shard may depend on it.
    pub(super) fn is_relevant(&self, record: &JobRecord) -> bool {
        record.phase != Phase::Open || self.absorbs_all_shards() || self.shard_of_record(record) == self.id
    }

    /// Returns the active plan if this leadership record names no node and contains one.
    pub(super) fn active_plan_in(item: &KeyValue) -> Option<ActivePlan> {
        if item.value.get("node").and_then(serde_json::Value::as_str) != Some(NOBODY) {
            return None;
        }
        serde_json::from_value(item.value.clone()).ok()
    }
}
