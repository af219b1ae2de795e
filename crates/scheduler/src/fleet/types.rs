//! The machine types and zones.

use crate::intern::{DenseIndex, Names, TypeIndex, ZoneIndex};
use crate::wire::MachineType;

/// The machine types and zones, interned.
#[derive(Debug, Default)]
pub struct Types {
    pub names: Names<TypeIndex>,
    pub list: Vec<MachineType>,
    pub zones: Names<ZoneIndex>,
}

impl Types {
    pub fn update(&mut self, types: Vec<MachineType>) {
        for t in types {
            for z in &t.zones {
                self.zones.intern(z);
            }
            let i = self.names.intern(&t.name);
            if i.as_usize() < self.list.len() {
                self.list[i.as_usize()] = t;
            } else {
                self.list.push(t);
            }
        }
    }

    pub fn get(&self, type_index: TypeIndex) -> &MachineType {
        &self.list[type_index.as_usize()]
    }

    pub fn known(&self) -> bool {
        !self.list.is_empty()
    }
}
