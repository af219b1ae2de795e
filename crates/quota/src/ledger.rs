//! Tracks the resources that each level of the tree uses, and makes the decisions that depend on
//! it: admission, fair-share order and preemption.

use crate::tree::{LevelIndex, ROOT, TeamIndex, Tree};
use crate::{Amount, EPSILON};

/// The fair-share order of a possible start. Smaller goes first: a start that borrows from a nearer
/// level, then the borrower with the smallest weighted share of the lender.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct FairSharePosition {
    /// 0: within the team's own guarantee; 1: borrowed from a sibling; and so on upwards. Beyond
    /// the guarantee of the root: the number of levels on the team's path.
    pub distance: u8,
    /// Share of the lender's guarantee that the borrower already uses, divided by its weight.
    pub share: f64,
}

/// A task that holds resources and is a candidate for preemption.
#[derive(Debug, Clone, Copy)]
pub struct BorrowedTask<T> {
    pub task: T,
    pub team: TeamIndex,
    pub need: Amount,
    /// Seconds of work that preempting the task loses.
    pub lost_work_s: f64,
    pub service: bool,
    /// 0 for the most important work; higher numbers are less important.
    pub priority: u8,
}

/// The resource usage of every level of a quota tree.
#[derive(Debug, Clone)]
pub struct Ledger {
    tree: Tree,
    used: Vec<Amount>,
    /// Resources that may be in use on machines that have not sent a heartbeat yet. The team is unknown,
    /// so the amount counts at every level.
    pub unreported: Amount,
    /// Number of levels read or written so far: a measure of the cost of decisions.
    pub levels_visited: std::cell::Cell<u64>,
}

impl Ledger {
    /// Creates a ledger without usage.
    pub fn new(tree: Tree) -> Ledger {
        let used = vec![Amount::NONE; tree.levels.len()];
        Ledger { tree, used, unreported: Amount::NONE, levels_visited: std::cell::Cell::new(0) }
    }

    /// Returns the quota tree.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the usage of a level, that of the levels below it included.
    pub fn used(&self, level: LevelIndex) -> Amount {
        self.used[level.0 as usize]
    }

    /// Returns the levels of a team, from the team to the root, and counts them as visited.
    fn path(&self, team: TeamIndex) -> &[LevelIndex] {
        let path = self.tree.path(team);
        self.levels_visited.set(self.levels_visited.get() + path.len() as u64);
        path
    }

    /// Replaces the tree. The usage of each team is kept and counted along its path in the new tree.
    pub fn replace_tree(&mut self, tree: Tree) {
        let teams: Vec<(TeamIndex, Amount)> =
            self.tree.levels.iter().zip(&self.used).filter_map(|(level, used)| Some((level.team?, *used))).collect();
        let (unreported, levels_visited) = (self.unreported, self.levels_visited.get());
        *self = Ledger { unreported, ..Ledger::new(tree) };
        self.levels_visited.set(levels_visited);
        for (team, used) in teams {
            self.add_usage(team, used);
        }
    }

    /// Adds an amount to the usage of a team and of every level above it; a negative amount is a release.
    pub fn add_usage(&mut self, team: TeamIndex, by: Amount) {
        self.levels_visited.set(self.levels_visited.get() + self.tree.path(team).len() as u64);
        for level in self.tree.path(team) {
            let used = &mut self.used[level.0 as usize];
            *used = used.plus(by);
            // Rounds to zero, so that rounding errors of sums do not leave a small negative usage.
            let snap_to_zero = |v: f64| if v.abs() < EPSILON { 0.0 } else { v };
            *used = Amount::new(snap_to_zero(used.cpus), snap_to_zero(used.gpus));
        }
    }

    /// Returns a ledger over the same tree without usage, to count requested resources against the limits.
    pub fn empty(&self) -> Ledger {
        Ledger::new(self.tree.clone())
    }

    /// Returns how many tasks with this resource request fit under all limits on the team's path;
    /// infinity if no limit applies.
    pub fn tasks_within_limits(&self, team: TeamIndex, need: Amount) -> f64 {
        let left = |limit: f64, used: f64, need: f64| {
            if limit > 0.0 && need > 0.0 { ((limit - used).max(0.0) + EPSILON) / need } else { f64::INFINITY }
        };
        self.path(team).iter().fold(f64::INFINITY, |n, level| {
            let (limit, used) = (self.tree.at(*level).limit, self.used(*level));
            n.min(left(limit.cpus, used.cpus, need.cpus)).min(left(limit.gpus, used.gpus, need.gpus))
        })
    }

    /// Checks whether a task may start now. The error is the first level whose limit it would exceed.
    pub fn may_start(&self, team: TeamIndex, need: Amount) -> Result<(), LevelIndex> {
        let exceeds = |level: &&LevelIndex| {
            let with = self.used(**level).plus(need).plus(self.unreported);
            !with.under(self.tree.at(**level).limit, need)
        };
        self.path(team).iter().find(exceeds).map_or(Ok(()), |level| Err(*level))
    }

    /// Returns the fair-share order of starting a task with this resource request.
    pub fn fair_share_position(&self, team: TeamIndex, need: Amount) -> FairSharePosition {
        let path = self.path(team);
        let has_spare_guarantee =
            |level: &LevelIndex| self.used(*level).plus(need).within(self.tree.at(*level).guarantee, need);
        let distance = path.iter().position(has_spare_guarantee).unwrap_or(path.len());
        let share = match distance {
            0 => 0.0,
            // The share of the lender's child on this path: siblings compete as whole levels,
            // however many teams each of them contains.
            d => path.get(d - 1).map_or(0.0, |child| self.share(*child, path.get(d).copied().unwrap_or(ROOT))),
        };
        FairSharePosition { distance: distance as u8, share }
    }

    /// Returns the larger of the cpu and gpu fractions of the lender's guarantee that `child` uses,
    /// divided by the weight of `child`.
    fn share(&self, child: LevelIndex, lender: LevelIndex) -> f64 {
        let (used, of) = (self.used(child), self.tree.at(lender).guarantee);
        let part = |used: f64, of: f64| if used <= 0.0 { 0.0 } else { used / of.max(1.0) };
        part(used.cpus, of.cpus).max(part(used.gpus, of.gpus)) / self.tree.at(child).weight
    }

    /// Returns the number of levels on the team's path, from the team upwards, that use more than their
    /// guarantee before the first one that does not; 0 if the team borrows nothing.
    pub fn borrow_distance(&self, team: TeamIndex) -> u8 {
        let path = self.path(team);
        let within_guarantee = |level: &LevelIndex| {
            let (used, guarantee) = (self.used(*level), self.tree.at(*level).guarantee);
            used.cpus <= guarantee.cpus + EPSILON && used.gpus <= guarantee.gpus + EPSILON
        };
        path.iter().position(within_guarantee).unwrap_or(path.len()) as u8
    }

    /// Returns the levels that use more than their limit, for instance after a limit was lowered.
    pub fn levels_over_limit(&self) -> Vec<LevelIndex> {
        (0..self.used.len() as u32)
            .map(LevelIndex)
            .filter(|level| !self.used(*level).under(self.tree.at(*level).limit, Amount::new(1.0, 1.0)))
            .collect()
    }

    /// Selects the held tasks to preempt so that a service of this team may start one more task
    /// where a limit on its path blocks it: lowest priority first, then least lost work, never
    /// services. Returns nothing if preemption could not free enough. `leaving` lists tasks that
    /// were already ordered to stop and still count. The possible usage of machines that have sent no
    /// heartbeat is ignored here: it may be zero, and is known soon.
    pub fn preempt_for<T: Copy>(
        &self,
        team: TeamIndex,
        need: Amount,
        held: &[BorrowedTask<T>],
        leaving: &[(TeamIndex, Amount)],
    ) -> Vec<T> {
        let mut shortage: Vec<(LevelIndex, Amount)> = Vec::new();
        for &level in self.path(team) {
            let limit = self.tree.at(level).limit;
            let with = self.used(level).plus(need);
            if !with.under(limit, need) {
                let excess =
                    |limit: f64, with: f64, need: f64| if limit > 0.0 && need > 0.0 { with - limit } else { 0.0 };
                shortage.push((
                    level,
                    Amount::new(excess(limit.cpus, with.cpus, need.cpus), excess(limit.gpus, with.gpus, need.gpus)),
                ));
            }
        }
        for (team, amount) in leaving {
            let path = self.path(*team);
            shortage.iter_mut().filter(|(level, _)| path.contains(level)).for_each(|(_, s)| *s = s.minus(*amount));
        }
        let lacks = |missing: &Amount, requested: Amount| {
            missing.cpus > EPSILON && requested.cpus > 0.0 || missing.gpus > EPSILON && requested.gpus > 0.0
        };
        let all = Amount::new(1.0, 1.0);
        if !shortage.iter().any(|(_, s)| lacks(s, all)) {
            return Vec::new();
        }
        let mut candidates: Vec<&BorrowedTask<T>> = held.iter().filter(|h| !h.service).collect();
        candidates.sort_by(|a, b| b.priority.cmp(&a.priority).then(a.lost_work_s.total_cmp(&b.lost_work_s)));
        let mut preempted = Vec::new();
        for task in candidates {
            let path = self.path(task.team);
            if shortage.iter().any(|(level, s)| path.contains(level) && lacks(s, task.need)) {
                preempted.push(task.task);
                shortage
                    .iter_mut()
                    .filter(|(level, _)| path.contains(level))
                    .for_each(|(_, s)| *s = s.minus(task.need));
            }
        }
        if shortage.iter().any(|(_, s)| lacks(s, all)) { Vec::new() } else { preempted }
    }

    /// Selects the held tasks to preempt so that no level stays over its limit: services last,
    /// tasks of the teams that borrow from farthest away first, then least lost work. `leaving`
    /// lists tasks that were already ordered to stop and still count.
    pub fn preempt_over_limit<T: Copy>(&self, held: &[BorrowedTask<T>], leaving: &[(TeamIndex, Amount)]) -> Vec<T> {
        let over = self.levels_over_limit();
        if over.is_empty() {
            return Vec::new();
        }
        let mut candidates: Vec<&BorrowedTask<T>> = held.iter().collect();
        let key = |h: &BorrowedTask<T>| (h.service, std::cmp::Reverse(self.borrow_distance(h.team)));
        candidates.sort_by(|a, b| key(a).cmp(&key(b)).then(a.lost_work_s.total_cmp(&b.lost_work_s)));
        let mut excess: Vec<(LevelIndex, Amount)> =
            over.iter().map(|level| (*level, self.used(*level).minus(self.tree.at(*level).limit))).collect();
        for (team, amount) in leaving {
            let path = self.path(*team);
            excess.iter_mut().filter(|(level, _)| path.contains(level)).for_each(|(_, e)| *e = e.minus(*amount));
        }
        let mut preempted = Vec::new();
        for task in candidates {
            let path = self.path(task.team);
            let limit = |level: LevelIndex| self.tree.at(level).limit;
            let helps = excess.iter().any(|(level, e)| {
                let of = limit(*level);
                path.contains(level)
                    && (of.cpus > 0.0 && e.cpus > EPSILON && task.need.cpus > 0.0
                        || of.gpus > 0.0 && e.gpus > EPSILON && task.need.gpus > 0.0)
            });
            if helps {
                preempted.push(task.task);
                for (_, e) in excess.iter_mut().filter(|(level, _)| path.contains(level)) {
                    *e = e.minus(task.need);
                }
            }
        }
        preempted
    }
}
