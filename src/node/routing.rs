//! Which cell a job or a machine belongs to, where there are several.

use super::*;
use crate::peer::MachineQuestion;
use lupinspur_cells::activation::{InForce, NOBODY};

/// Where a job is to be asked for.
pub enum Place {
    /// This cell has it, or would have it.
    In(Arc<Cell>),
    /// What can be said without any cell.
    Answered(Lookup),
}

impl Node {
    pub fn cell(&self, ix: CellIx) -> Option<Arc<Cell>> {
        self.cells().get(ix.ix()).cloned()
    }

    /// The one cell that there is, if there is only one.
    fn only(&self) -> Option<Arc<Cell>> {
        let cells = self.cells();
        (cells.len() == 1 || self.merges()).then(|| cells[0].clone())
    }

    /// The cell of whatever this record is of.
    pub fn cell_of_record(&self, r: &JobRecord) -> CellIx {
        let of = self.cells().len();
        r.cell.filter(|c| (*c as usize) < of).map_or(CellIx(0), CellIx)
    }

    /// The home of a team's new jobs; none where there is only one cell.
    pub fn home(&self, team: &str) -> Option<CellIx> {
        let plan = lock(&self.in_force).clone()?;
        Some(self.home_by(&plan, team))
    }

    /// An owned cell that knows this job.
    pub fn knows_job(&self, id: &str, now: f64) -> Option<Arc<Cell>> {
        self.cells().iter().find(|c| c.with_shard(now, |s| s.jobs.find(id).is_some()) == Some(true)).cloned()
    }

    pub fn note_cell(&self, id: &str, cell: CellIx) {
        lock(&self.job_cells).put(id.to_owned(), cell);
    }

    /// The cell turned out to be another one: the next question reads the record again.
    pub fn forget_cell(&self, id: &str) {
        lock(&self.job_cells).pop(id);
    }

    /// Where this job is to be asked for. One that this node has not met yet is asked for at the
    /// other owners; only what none of them knows costs a request to the state service. With a
    /// request for each, polls took all that there were of booking's hundred a second.
    pub async fn place_of(&self, id: &str, turn: RequestPriority) -> Place {
        if let Some(c) = self.only() {
            return Place::In(c);
        }
        if let Some(t) = self.final_known(id) {
            return Place::Answered(Lookup::Known(t));
        }
        if let Some(c) = self.knows_job(id, clock::now()) {
            return Place::In(c);
        }
        let noted = lock(&self.job_cells).get(id).copied();
        if let Some(c) = noted.and_then(|c| self.cell(c)) {
            return Place::In(c);
        }
        for node in self.other_leaders(clock::now()) {
            let q = MachineQuestion { machine: String::new(), job: id.to_owned() };
            if let Some(a) = self.peers.ask_expects(&node, q).await.filter(|a| a.known)
                && let Some(c) = self.cell(CellIx(a.cell))
            {
                self.note_cell(id, c.ix);
                return Place::In(c);
            }
        }
        match self.state.get(&crate::jobs::job_key(id), turn).await {
            Ok(None) => Place::Answered(Lookup::Absent),
            Ok(Some(item)) => match job_of(&item.key, &item.value) {
                Ok(r) if r.phase == Phase::Open => {
                    let cell = self.cell_of_record(&r);
                    self.note_cell(id, cell);
                    self.cell(cell).map_or(Place::Answered(Lookup::Unable), Place::In)
                }
                Ok(r) => {
                    let told = crate::job_status::status_of(&r);
                    self.note_final(id, told);
                    Place::Answered(Lookup::Known(told))
                }
                Err(_) => Place::Answered(Lookup::Unable),
            },
            Err(_) => Place::Answered(Lookup::Unable),
        }
    }

    /// The cell of a machine that reports here: the one that knows it, wherever it is owned. One
    /// that nobody knows goes to a cell whose token it would obey; none is said before all were
    /// asked.
    pub async fn cell_of_machine(&self, machine: &str, token: u64) -> Option<Arc<Cell>> {
        // Before cell 0 has read what the others had, it knows nothing of what runs there.
        if self.merges() {
            let knows = |s: &mut Shard| s.machines.find(machine).is_some();
            let one = self.cell(CellIx(0))?;
            return Some(one.clone()).filter(|c| c.takes_all() || c.with_shard(clock::now(), knows) != Some(false));
        }
        if let Some(c) = self.only() {
            return Some(c);
        }
        // Whose it is while it goes from cell to cell is stored.
        if let Some(c) = self.on_its_way_to(machine).and_then(|c| self.cell(c)) {
            return Some(c);
        }
        let now = clock::now();
        let cells = self.cells();
        let knows = |c: &&Arc<Cell>| c.with_shard(now, |s| s.machines.find(machine).is_some()) == Some(true);
        if let Some(c) = cells.iter().find(knows) {
            return Some(c.clone());
        }
        let noted = lock(&self.machine_cells).get(machine).copied();
        if let Some(c) = noted.and_then(|c| cells.get(c.ix())) {
            return Some(c.clone());
        }
        let mut looked: Vec<bool> =
            cells.iter().map(|c| c.leadership_status(now) == LeadershipStatus::Leading).collect();
        for node in self.other_leaders(now) {
            let q = MachineQuestion { machine: machine.to_owned(), job: String::new() };
            let Some(a) = self.peers.ask_expects(&node, q).await else { continue };
            if a.known {
                lock(&self.machine_cells).put(machine.to_owned(), CellIx(a.cell));
                return self.cell(CellIx(a.cell));
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
        let plan = lock(&self.in_force).clone()?;
        let first = plan.cell_of_stranger(machine);
        let obeyed = |c: &&Arc<Cell>| lock(&c.election).observed_version().is_some_and(|v| v >= token);
        let cell = cells.get(first.ix()).filter(obeyed).or_else(|| cells.iter().find(obeyed))?;
        lock(&self.machine_cells).put(machine.to_owned(), cell.ix);
        Some(cell.clone())
    }

    /// The same for a machine, which may be on its way from cell to cell.
    pub fn machine_known_by(&self, machine: &str) -> (Option<CellIx>, Vec<u32>) {
        let (known, looked) = self.known_by(|s| s.machines.find(machine).is_some());
        (self.on_its_way_to(machine).or(known), looked)
    }

    /// What another controller asks: which cell that is owned here knows something, and which
    /// were looked through.
    pub fn known_by(&self, knows: impl Fn(&mut Shard) -> bool) -> (Option<CellIx>, Vec<u32>) {
        let (now, cells) = (clock::now(), self.cells());
        let looked: Vec<(CellIx, bool)> =
            cells.iter().filter_map(|c| Some((c.ix, c.with_shard(now, &knows)?))).collect();
        let known = looked.iter().find(|l| l.1).map(|l| l.0);
        (known, looked.iter().map(|l| l.0.0).collect())
    }

    /// The other controllers that own cells.
    fn other_leaders(&self, now: f64) -> Vec<String> {
        let mut owners: Vec<String> = Vec::new();
        for c in self.cells().iter() {
            if let LeadershipStatus::Following(node) = c.leadership_status(now)
                && !owners.contains(&node)
            {
                owners.push(node);
            }
        }
        owners
    }
}

impl Cell {
    /// For people, in the log.
    pub fn name(&self) -> String {
        if self.cells().len() > 1 { format!("cell {}", self.ix.0) } else { "the shard".into() }
    }

    /// The name of a key of this cell's own, as the state service has it. Jobs and their progress
    /// stand where they always stood, whosever they are.
    pub(super) fn outer(&self, key: &str) -> String {
        let shared = [JOB_PREFIX, PROGRESS_PREFIX, PART_PREFIX].iter().any(|p| key.starts_with(p));
        if shared || self.ix.0 == 0 { key.to_owned() } else { format!("c{}/{key}", self.ix.0) }
    }

    /// The other way round.
    pub(super) fn inner(&self, mut item: KeyValue) -> KeyValue {
        if self.ix.0 != 0
            && let Some(key) = item.key.strip_prefix(&format!("c{}/", self.ix.0))
        {
            item.key = key.to_owned();
        }
        item
    }

    /// Everything of this cell under a prefix.
    pub(super) async fn list_own(&self, prefix: &str) -> Result<Vec<KeyValue>, StateError> {
        let (items, _) = self.state.list(&self.outer(prefix), RequestPriority::Normal).await?;
        Ok(items.into_iter().map(|i| self.inner(i)).collect())
    }

    /// Does a record concern this cell? One that is over does, since others may wait for it.
    pub(super) fn concerns(&self, r: &JobRecord) -> bool {
        r.phase != Phase::Open || self.takes_all() || self.cell_of_record(r) == self.ix
    }

    /// Is this claim nobody's, with the plan in it?
    pub(super) fn plan_in(item: &KeyValue) -> Option<InForce> {
        if item.value.get("node").and_then(serde_json::Value::as_str) != Some(NOBODY) {
            return None;
        }
        serde_json::from_value(item.value.clone()).ok()
    }
}
