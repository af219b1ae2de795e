//! Which shard a job or a machine belongs to, where there are several.

use super::*;
use crate::peer::MachineQuestion;
use lupinspur_sharding::activation::{ActivePlan, NOBODY};

/// Where a job is to be asked for.
pub enum JobLocation {
    /// This shard has it, or would have it.
    In(Arc<ShardRuntime>),
    /// What can be said without any shard.
    Answered(Lookup),
}

impl Node {
    pub fn shard(&self, ix: ShardId) -> Option<Arc<ShardRuntime>> {
        self.shards().get(ix.as_usize()).cloned()
    }

    /// The one shard that there is, if there is only one.
    fn only_shard(&self) -> Option<Arc<ShardRuntime>> {
        let cells = self.shards();
        (cells.len() == 1 || self.is_merging()).then(|| cells[0].clone())
    }

    /// The shard of whatever this record is of.
    pub fn shard_of_record(&self, record: &JobRecord) -> ShardId {
        let of = self.shards().len();
        record.shard.filter(|c| (*c as usize) < of).map_or(ShardId(0), ShardId)
    }

    /// The home of a team's new jobs; none where there is only one shard.
    pub fn home_shard(&self, team: &str) -> Option<ShardId> {
        let plan = lock(&self.active_plan).clone()?;
        Some(self.home_by(&plan, team))
    }

    /// An owned shard that knows this job.
    pub fn shard_knowing_job(&self, id: &str, now: f64) -> Option<Arc<ShardRuntime>> {
        self.shards().iter().find(|c| c.with_shard(now, |s| s.jobs.find(id).is_some()) == Some(true)).cloned()
    }

    pub fn note_job_shard(&self, id: &str, cell: ShardId) {
        lock(&self.shard_by_job).put(id.to_owned(), cell);
    }

    /// The shard turned out to be another one: the next question reads the record again.
    pub fn forget_job_shard(&self, id: &str) {
        lock(&self.shard_by_job).pop(id);
    }

    /// Where this job is to be asked for. One that this node has not met yet is asked for at the
    /// other leaders; only what none of them knows costs a request to the state service. With a
    /// request for each, polls took all that there were of booking's hundred a second.
    pub async fn locate_job(&self, id: &str, turn: RequestPriority) -> JobLocation {
        if let Some(c) = self.only_shard() {
            return JobLocation::In(c);
        }
        if let Some(t) = self.known_end(id) {
            return JobLocation::Answered(Lookup::Known(t));
        }
        if let Some(c) = self.shard_knowing_job(id, clock::now()) {
            return JobLocation::In(c);
        }
        let noted = lock(&self.shard_by_job).get(id).copied();
        if let Some(c) = noted.and_then(|c| self.shard(c)) {
            return JobLocation::In(c);
        }
        for node in self.other_leaders(clock::now()) {
            let q = MachineQuestion { machine: String::new(), job: id.to_owned() };
            if let Some(a) = self.peers.ask_expects(&node, q).await.filter(|a| a.known)
                && let Some(c) = self.shard(ShardId(a.cell))
            {
                self.note_job_shard(id, c.id);
                return JobLocation::In(c);
            }
        }
        match self.state.get(&crate::jobs::job_key(id), turn).await {
            Ok(None) => JobLocation::Answered(Lookup::Absent),
            Ok(Some(item)) => match parse_job_record(&item.key, &item.value) {
                Ok(r) if r.phase == Phase::Open => {
                    let cell = self.shard_of_record(&r);
                    self.note_job_shard(id, cell);
                    self.shard(cell).map_or(JobLocation::Answered(Lookup::Unavailable), JobLocation::In)
                }
                Ok(r) => {
                    let told = crate::job_status::status_of(&r);
                    self.note_end(id, told);
                    JobLocation::Answered(Lookup::Known(told))
                }
                Err(_) => JobLocation::Answered(Lookup::Unavailable),
            },
            Err(_) => JobLocation::Answered(Lookup::Unavailable),
        }
    }

    /// The shard of a machine that reports here: the one that knows it, wherever it is owned. One
    /// that nobody knows goes to a shard whose token it would obey; none is said before all were
    /// asked.
    pub async fn shard_of_machine(&self, machine: &str, token: u64) -> Option<Arc<ShardRuntime>> {
        // Before shard 0 has read what the others had, it knows nothing of what runs there.
        if self.is_merging() {
            let knows = |s: &mut Shard| s.machines.find(machine).is_some();
            let one = self.shard(ShardId(0))?;
            return Some(one.clone())
                .filter(|c| c.absorbs_all_shards() || c.with_shard(clock::now(), knows) != Some(false));
        }
        if let Some(c) = self.only_shard() {
            return Some(c);
        }
        // Whose it is while it goes from shard to shard is stored.
        if let Some(c) = self.transfer_destination(machine).and_then(|c| self.shard(c)) {
            return Some(c);
        }
        let now = clock::now();
        let cells = self.shards();
        let knows = |c: &&Arc<ShardRuntime>| c.with_shard(now, |s| s.machines.find(machine).is_some()) == Some(true);
        if let Some(c) = cells.iter().find(knows) {
            return Some(c.clone());
        }
        let noted = lock(&self.shard_by_machine).get(machine).copied();
        if let Some(c) = noted.and_then(|c| cells.get(c.as_usize())) {
            return Some(c.clone());
        }
        let mut looked: Vec<bool> =
            cells.iter().map(|c| c.leadership_status(now) == LeadershipStatus::Leading).collect();
        for node in self.other_leaders(now) {
            let q = MachineQuestion { machine: machine.to_owned(), job: String::new() };
            let Some(a) = self.peers.ask_expects(&node, q).await else { continue };
            if a.known {
                lock(&self.shard_by_machine).put(machine.to_owned(), ShardId(a.cell));
                return self.shard(ShardId(a.cell));
            }
            for c in a.owned {
                if let Some(l) = looked.get_mut(c as usize) {
                    *l = true;
                }
            }
        }
        if !looked.iter().all(|l| *l) {
            return None;
        }
        let plan = lock(&self.active_plan).clone()?;
        let first = plan.shard_of_unknown(machine);
        let obeyed = |c: &&Arc<ShardRuntime>| lock(&c.election).observed_version().is_some_and(|v| v >= token);
        let cell = cells.get(first.as_usize()).filter(obeyed).or_else(|| cells.iter().find(obeyed))?;
        lock(&self.shard_by_machine).put(machine.to_owned(), cell.id);
        Some(cell.clone())
    }

    /// The same for a machine, which may be on its way from shard to shard.
    pub fn machine_known_by(&self, machine: &str) -> (Option<ShardId>, Vec<u32>) {
        let (known, looked) = self.known_by(|s| s.machines.find(machine).is_some());
        (self.transfer_destination(machine).or(known), looked)
    }

    /// What another controller asks: which shard that is owned here knows something, and which
    /// were looked through.
    pub fn known_by(&self, knows: impl Fn(&mut Shard) -> bool) -> (Option<ShardId>, Vec<u32>) {
        let (now, cells) = (clock::now(), self.shards());
        let looked: Vec<(ShardId, bool)> =
            cells.iter().filter_map(|c| Some((c.id, c.with_shard(now, &knows)?))).collect();
        let known = looked.iter().find(|l| l.1).map(|l| l.0);
        (known, looked.iter().map(|l| l.0.0).collect())
    }

    /// The other controllers that own shards.
    fn other_leaders(&self, now: f64) -> Vec<String> {
        let mut leaders: Vec<String> = Vec::new();
        for c in self.shards().iter() {
            if let LeadershipStatus::Following(node) = c.leadership_status(now)
                && !leaders.contains(&node)
            {
                leaders.push(node);
            }
        }
        leaders
    }
}

impl ShardRuntime {
    /// For people, in the log.
    pub fn name(&self) -> String {
        if self.shards().len() > 1 { format!("cell {}", self.id.0) } else { "the shard".into() }
    }

    /// The name of a key of this shard's own, as the state service has it. Jobs and their progress
    /// stand where they always stood, whosever they are.
    pub(super) fn to_stored_key(&self, key: &str) -> String {
        let shared = [JOB_PREFIX, PROGRESS_PREFIX, PART_PREFIX].iter().any(|p| key.starts_with(p));
        if shared || self.id.0 == 0 { key.to_owned() } else { format!("c{}/{key}", self.id.0) }
    }

    /// The other way round.
    pub(super) fn strip_stored_prefix(&self, mut item: KeyValue) -> KeyValue {
        if self.id.0 != 0
            && let Some(key) = item.key.strip_prefix(&format!("c{}/", self.id.0))
        {
            item.key = key.to_owned();
        }
        item
    }

    /// Everything of this shard under a prefix.
    pub(super) async fn list_own(&self, prefix: &str) -> Result<Vec<KeyValue>, StateError> {
        let (items, _) = self.state.list(&self.to_stored_key(prefix), RequestPriority::Normal).await?;
        Ok(items.into_iter().map(|i| self.strip_stored_prefix(i)).collect())
    }

    /// Does a record concern this shard? One that is over does, since others may wait for it.
    pub(super) fn is_relevant(&self, record: &JobRecord) -> bool {
        record.phase != Phase::Open || self.absorbs_all_shards() || self.shard_of_record(record) == self.id
    }

    /// Is this claim nobody's, with the plan in it?
    pub(super) fn active_plan_in(item: &KeyValue) -> Option<ActivePlan> {
        if item.value.get("node").and_then(serde_json::Value::as_str) != Some(NOBODY) {
            return None;
        }
        serde_json::from_value(item.value.clone()).ok()
    }
}
