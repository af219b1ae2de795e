//! What every level uses, and what follows from that.

use crate::tree::{LevelIndex, TeamIndex, Tree, WHOLE};
use crate::{Amount, EPSILON};

/// How a start stands: what is lent by nearer levels goes first, then who has least of it.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct FairSharePosition {
    /// 0: within the team's own guarantee; 1: lent by a sibling; and so on upwards. Beyond
    /// the guarantee of the whole, one more than the path has levels.
    pub distance: u8,
    /// Of those that ask the same lender, the one with the least for its weight goes first.
    pub share: f64,
}

/// A task that holds something, as a candidate to give way.
#[derive(Debug, Clone, Copy)]
pub struct BorrowedTask<T> {
    pub task: T,
    pub team: TeamIndex,
    pub need: Amount,
    /// Seconds of work that are lost with it.
    pub loses: f64,
    pub service: bool,
    /// 0 for the most important work, and so on.
    pub priority: u8,
}

#[derive(Debug, Clone)]
pub struct Ledger {
    tree: Tree,
    used: Vec<Amount>,
    /// What machines that nobody heard may hold, of any team: it counts at every level.
    pub unseen: Amount,
    /// Levels that were looked at or written: what deciding costs.
    pub touched: std::cell::Cell<u64>,
}

impl Ledger {
    pub fn new(tree: Tree) -> Ledger {
        let used = vec![Amount::NONE; tree.levels.len()];
        Ledger { tree, used, unseen: Amount::NONE, touched: std::cell::Cell::new(0) }
    }

    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    pub fn used(&self, l: LevelIndex) -> Amount {
        self.used[l.0 as usize]
    }

    fn path(&self, t: TeamIndex) -> &[LevelIndex] {
        let path = self.tree.path(t);
        self.touched.set(self.touched.get() + path.len() as u64);
        path
    }

    /// Another tree from now on. What is held stays held, and counts where the team stands now.
    pub fn change(&mut self, tree: Tree) {
        let teams: Vec<(TeamIndex, Amount)> =
            self.tree.levels.iter().zip(&self.used).filter_map(|(l, u)| Some((l.team?, *u))).collect();
        let (unseen, touched) = (self.unseen, self.touched.get());
        *self = Ledger { unseen, ..Ledger::new(tree) };
        self.touched.set(touched);
        for (t, u) in teams {
            self.count(t, u);
        }
    }

    /// A use begins (or ends, with less than none).
    pub fn count(&mut self, t: TeamIndex, by: Amount) {
        self.touched.set(self.touched.get() + self.tree.path(t).len() as u64);
        for l in self.tree.path(t) {
            let u = &mut self.used[l.0 as usize];
            *u = u.plus(by);
            // Sums of fractions must not drift below none.
            let floor = |v: f64| if v.abs() < EPSILON { 0.0 } else { v };
            *u = Amount::new(floor(u.cpus), floor(u.gpus));
        }
    }

    /// The same tree with nothing used: to count what is wanted against its limits.
    pub fn empty(&self) -> Ledger {
        Ledger::new(self.tree.clone())
    }

    /// How many tasks of this need fit under all limits above a team; endless if none binds.
    pub fn room(&self, t: TeamIndex, need: Amount) -> f64 {
        let left = |limit: f64, used: f64, need: f64| {
            if limit > 0.0 && need > 0.0 { ((limit - used).max(0.0) + EPSILON) / need } else { f64::INFINITY }
        };
        self.path(t).iter().fold(f64::INFINITY, |n, l| {
            let (limit, used) = (self.tree.at(*l).limit, self.used(*l));
            n.min(left(limit.cpus, used.cpus, need.cpus)).min(left(limit.gpus, used.gpus, need.gpus))
        })
    }

    /// May this start now? If not: the first level whose limit it would exceed.
    pub fn may_start(&self, t: TeamIndex, need: Amount) -> Result<(), LevelIndex> {
        let over = |l: &&LevelIndex| {
            let with = self.used(**l).plus(need).plus(self.unseen);
            !with.under(self.tree.at(**l).limit, need)
        };
        self.path(t).iter().find(over).map_or(Ok(()), |l| Err(*l))
    }

    /// How a start of this need would stand.
    pub fn standing(&self, t: TeamIndex, need: Amount) -> FairSharePosition {
        let path = self.path(t);
        let lends = |l: &LevelIndex| self.used(*l).plus(need).within(self.tree.at(*l).guarantee, need);
        let distance = path.iter().position(lends).unwrap_or(path.len());
        let share = match distance {
            0 => 0.0,
            // What the lender's child on the way has, for its weight: siblings compete as
            // whole levels, however many teams are below them.
            d => path.get(d - 1).map_or(0.0, |child| self.share(*child, path.get(d).copied().unwrap_or(WHOLE))),
        };
        FairSharePosition { distance: distance as u8, share }
    }

    /// The larger part of the lender's that this level uses, by its weight.
    fn share(&self, child: LevelIndex, lender: LevelIndex) -> f64 {
        let (used, of) = (self.used(child), self.tree.at(lender).guarantee);
        let part = |used: f64, of: f64| if used <= 0.0 { 0.0 } else { used / of.max(1.0) };
        part(used.cpus, of.cpus).max(part(used.gpus, of.gpus)) / self.tree.at(child).weight
    }

    /// How far away what a team holds last was lent; 0: nothing of it is.
    pub fn borrows(&self, t: TeamIndex) -> u8 {
        let path = self.path(t);
        let kept = |l: &LevelIndex| {
            let (u, g) = (self.used(*l), self.tree.at(*l).guarantee);
            u.cpus <= g.cpus + EPSILON && u.gpus <= g.gpus + EPSILON
        };
        path.iter().position(kept).unwrap_or(path.len()) as u8
    }

    /// Levels that use more than their limit, as after a parent that shrank.
    pub fn over(&self) -> Vec<LevelIndex> {
        (0..self.used.len() as u32)
            .map(LevelIndex)
            .filter(|l| !self.used(*l).under(self.tree.at(*l).limit, Amount::new(1.0, 1.0)))
            .collect()
    }

    /// Which of the tasks that are held give way so that a service of this team may start one
    /// task more, where a limit above it stands in the way: what has the lowest priority
    /// first, then what loses least work, and services never. Nothing gives way where that
    /// would not be enough. What nobody has heard of does not count here: it may be nothing,
    /// and is known soon.
    pub fn preempt_for<T: Copy>(
        &self,
        team: TeamIndex,
        need: Amount,
        held: &[BorrowedTask<T>],
        leaving: &[(TeamIndex, Amount)],
    ) -> Vec<T> {
        let mut short: Vec<(LevelIndex, Amount)> = Vec::new();
        for &l in self.path(team) {
            let limit = self.tree.at(l).limit;
            let with = self.used(l).plus(need);
            if !with.under(limit, need) {
                let of = |limit: f64, with: f64, need: f64| if limit > 0.0 && need > 0.0 { with - limit } else { 0.0 };
                short
                    .push((l, Amount::new(of(limit.cpus, with.cpus, need.cpus), of(limit.gpus, with.gpus, need.gpus))));
            }
        }
        for (t, a) in leaving {
            let path = self.path(*t);
            short.iter_mut().filter(|(l, _)| path.contains(l)).for_each(|(_, s)| *s = s.minus(*a));
        }
        let lacks = |s: &Amount, of: Amount| s.cpus > EPSILON && of.cpus > 0.0 || s.gpus > EPSILON && of.gpus > 0.0;
        let all = Amount::new(1.0, 1.0);
        if !short.iter().any(|(_, s)| lacks(s, all)) {
            return Vec::new();
        }
        let mut order: Vec<&BorrowedTask<T>> = held.iter().filter(|h| !h.service).collect();
        order.sort_by(|a, b| b.priority.cmp(&a.priority).then(a.loses.total_cmp(&b.loses)));
        let mut out = Vec::new();
        for h in order {
            let path = self.path(h.team);
            if short.iter().any(|(l, s)| path.contains(l) && lacks(s, h.need)) {
                out.push(h.task);
                short.iter_mut().filter(|(l, _)| path.contains(l)).for_each(|(_, s)| *s = s.minus(h.need));
            }
        }
        if short.iter().any(|(_, s)| lacks(s, all)) { Vec::new() } else { out }
    }

    /// Which of the tasks that are held give way, so that no level is over its limit:
    /// services last, what is lent from farthest away first, then what loses least work.
    /// `leaving`: what was told to go already and still counts.
    pub fn give_way<T: Copy>(&self, held: &[BorrowedTask<T>], leaving: &[(TeamIndex, Amount)]) -> Vec<T> {
        let over = self.over();
        if over.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<&BorrowedTask<T>> = held.iter().collect();
        let key = |h: &BorrowedTask<T>| (h.service, std::cmp::Reverse(self.borrows(h.team)));
        order.sort_by(|a, b| key(a).cmp(&key(b)).then(a.loses.total_cmp(&b.loses)));
        let mut excess: Vec<(LevelIndex, Amount)> =
            over.iter().map(|l| (*l, self.used(*l).minus(self.tree.at(*l).limit))).collect();
        for (t, a) in leaving {
            let path = self.path(*t);
            excess.iter_mut().filter(|(l, _)| path.contains(l)).for_each(|(_, e)| *e = e.minus(*a));
        }
        let mut out = Vec::new();
        for h in order {
            let path = self.path(h.team);
            let limit = |l: LevelIndex| self.tree.at(l).limit;
            let helps = excess.iter().any(|(l, e)| {
                let of = limit(*l);
                path.contains(l)
                    && (of.cpus > 0.0 && e.cpus > EPSILON && h.need.cpus > 0.0
                        || of.gpus > 0.0 && e.gpus > EPSILON && h.need.gpus > 0.0)
            });
            if helps {
                out.push(h.task);
                for (_, e) in excess.iter_mut().filter(|(l, _)| path.contains(l)) {
                    *e = e.minus(h.need);
                }
            }
        }
        out
    }
}
