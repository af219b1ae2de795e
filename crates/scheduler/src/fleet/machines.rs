//! All machines of a shard, and the order in which commands are pushed to them.

use super::Machine;
use crate::intern::{DenseIndex, MachineIndex, PagedTable, TypeIndex, ZoneIndex};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// All machines by index. Deleted ones are kept for some time, so that late heartbeats of them are recognized.
#[derive(Debug, Default)]
pub struct Machines {
    pub list: PagedTable<MachineIndex, Machine>,
    by_name: HashMap<Arc<str>, MachineIndex>,
    /// Machines that are not gone.
    pub present: BTreeSet<MachineIndex>,
    /// Machines to which a push is due. Without this set, a scan of all machines for each push took most of the
    /// processor time at hundreds of machines.
    pub push_due: BTreeSet<MachineIndex>,
    /// Machines in `push_due` that precede all others, by urgency.
    urgent_pushes: BTreeSet<(PushUrgency, MachineIndex)>,
}

/// Why commands are pushed to a machine before others, the most urgent reason first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PushUrgency {
    /// A task of a cancelled job runs there, or may run there by the machine's record.
    Cancelled,
    /// The machine's record names a job that is over for another or an unknown reason.
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
    /// Returns the machine of this name.
    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns a machine that may have been removed.
    pub fn get_mut(&mut self, machine_index: MachineIndex) -> Option<&mut Machine> {
        self.list.get_mut(machine_index)
    }

    /// Requests a push to this machine before others. The time limit of a cancellation runs from the response to its
    /// user and goes on through failovers. Without precedence, sixty leaders in a row that each ended within a second
    /// began with the same machines, and none reached the one on which a cancelled task was still running.
    pub fn push_first(&mut self, machine_index: MachineIndex, urgency: PushUrgency) {
        self.push_due.insert(machine_index);
        self.urgent_pushes.insert((urgency, machine_index));
    }

    /// Returns the next machine to push to among those that are ready, urgent ones first, and removes its request. A
    /// machine with an urgent request also remains in `push_due`.
    pub fn next_push(&mut self, ready: impl Fn(&Machine) -> bool) -> Option<MachineIndex> {
        let urgent = self.urgent_pushes.iter().copied().find(|&(_, machine_index)| ready(&self[machine_index]));
        if let Some((urgency, machine_index)) = urgent {
            self.urgent_pushes.remove(&(urgency, machine_index));
            return Some(machine_index);
        }
        let machine_index = self.push_due.iter().copied().find(|&machine_index| ready(&self[machine_index]))?;
        self.push_due.remove(&machine_index);
        Some(machine_index)
    }

    /// Removes a machine that has been gone for long, and its name.
    pub fn remove(&mut self, machine_index: MachineIndex) {
        self.push_due.remove(&machine_index);
        self.urgent_pushes.retain(|(_, urgent)| *urgent != machine_index);
        self.forget_name(machine_index);
        self.list.remove(machine_index);
    }

    /// Removes a machine's name from the index, unless another machine has taken the name over.
    pub fn forget_name(&mut self, machine_index: MachineIndex) {
        if let Some(machine) = self.list.get(machine_index)
            && self.by_name.get(&machine.name) == Some(&machine_index)
        {
            self.by_name.remove(&machine.name);
        }
    }

    /// Returns the machine of this name, which is added as a booting machine if it is unknown.
    pub fn add(&mut self, name: &str, type_index: TypeIndex, zone: ZoneIndex, spot: bool, now: f64) -> MachineIndex {
        if let Some(machine_index) = self.find(name) {
            return machine_index;
        }
        let shared: Arc<str> = name.into();
        let machine_index = self.list.push(Machine::new(shared.clone(), type_index, zone, spot, now));
        self.by_name.insert(shared, machine_index);
        self.present.insert(machine_index);
        machine_index
    }

    /// Iterates over the machines that are not gone.
    pub fn iter(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.present.iter().map(|&machine_index| (machine_index, &self[machine_index]))
    }
}
