//! All machines, and which of them should hear from this leader first.

use super::Machine;
use crate::intern::{DenseIndex, MachineIndex, PagedTable, TypeIndex, ZoneIndex};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// All machines, by index; gone ones stay as names so that late news is recognised.
#[derive(Debug, Default)]
pub struct Machines {
    pub list: PagedTable<MachineIndex, Machine>,
    by_name: HashMap<Arc<str>, MachineIndex>,
    pub present: BTreeSet<MachineIndex>,
    /// Machines that should hear from us directly: at hundreds of machines, looking
    /// through all of them for each command took most of the time there is.
    pub push_due: BTreeSet<MachineIndex>,
    /// Those among them that go before all others, by rank.
    push_first: BTreeSet<(PushUrgency, MachineIndex)>,
}

/// Why a machine hears from us before others do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PushUrgency {
    /// Something of a job that was cancelled runs there, or may by its record.
    Cancelled,
    /// Its record names a job that is over, nobody knows how.
    JobOver,
}

impl std::ops::Index<MachineIndex> for Machines {
    type Output = Machine;

    fn index(&self, machine_index: MachineIndex) -> &Machine {
        &self.list[machine_index.as_usize()]
    }
}

impl std::ops::IndexMut<MachineIndex> for Machines {
    fn index_mut(&mut self, machine_index: MachineIndex) -> &mut Machine {
        &mut self.list[machine_index.as_usize()]
    }
}

impl Machines {
    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.by_name.get(name).copied()
    }

    /// A machine that may have been given back.
    pub fn get_mut(&mut self, machine_index: MachineIndex) -> Option<&mut Machine> {
        self.list.get_mut(machine_index)
    }

    /// This machine should hear from us directly, before others do. A cancellation has
    /// its time from when its user was told, whoever owns meanwhile: leaders that ended within a
    /// second, sixty in a row, each began with the same machines and never came to the one where
    /// a cancelled task ran on.
    pub fn push_first(&mut self, machine_index: MachineIndex, why: PushUrgency) {
        self.push_due.insert(machine_index);
        self.push_first.insert((why, machine_index));
    }

    /// The next machine that should hear from us directly, of those that may.
    pub fn next_push(&mut self, ready: impl Fn(&Machine) -> bool) -> Option<MachineIndex> {
        let first = self.push_first.iter().copied().find(|f| ready(&self[f.1]));
        if let Some(f) = first {
            self.push_first.remove(&f);
            return Some(f.1);
        }
        let m = self.push_due.iter().copied().find(|&m| ready(&self[m]))?;
        self.push_due.remove(&m);
        Some(m)
    }

    /// A machine that is long gone leaves, with its name.
    pub fn remove(&mut self, machine_index: MachineIndex) {
        self.push_due.remove(&machine_index);
        self.push_first.retain(|f| f.1 != machine_index);
        self.forget_name(machine_index);
        self.list.remove(machine_index);
    }

    /// Whoever asks for this name finds it no more, unless it is another machine's by now.
    pub fn forget_name(&mut self, machine_index: MachineIndex) {
        if let Some(machine) = self.list.get(machine_index)
            && self.by_name.get(&machine.name) == Some(&machine_index)
        {
            self.by_name.remove(&machine.name);
        }
    }

    pub fn add(&mut self, name: &str, type_index: TypeIndex, zone: ZoneIndex, spot: bool, now: f64) -> MachineIndex {
        if let Some(m) = self.find(name) {
            return m;
        }
        let shared: Arc<str> = name.into();
        let m = self.list.push(Machine::new(shared.clone(), type_index, zone, spot, now));
        self.by_name.insert(shared, m);
        self.present.insert(m);
        m
    }

    pub fn iter(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.present.iter().map(|&m| (m, &self[m]))
    }
}
