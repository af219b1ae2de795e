//! Machine types and zones.

use crate::intern::{DenseIndex, Names, TypeIndex, ZoneIndex};
use crate::wire::MachineType;

/// The machine types and zones, by index.
#[derive(Debug, Default)]
pub struct Types {
    pub names: Names<TypeIndex>,
    pub list: Vec<MachineType>,
    pub zones: Names<ZoneIndex>,
}

impl Types {
    /// Adds new types and replaces known ones.
    pub fn update(&mut self, types: Vec<MachineType>) {
        for machine_type in types {
            for zone in &machine_type.zones {
                self.zones.intern(zone);
            }
            let type_index = self.names.intern(&machine_type.name);
            if type_index.as_usize() < self.list.len() {
                self.list[type_index.as_usize()] = machine_type;
            } else {
                self.list.push(machine_type);
            }
        }
    }

    /// Returns the type of this index.
    pub fn get(&self, type_index: TypeIndex) -> &MachineType {
        &self.list[type_index.as_usize()]
    }

    /// Returns whether any type is known yet.
    pub fn known(&self) -> bool {
        !self.list.is_empty()
    }
}
