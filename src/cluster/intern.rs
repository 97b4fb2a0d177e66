//! Interned image names and pools. Scheduling cycles compare and look up thousands of them, which
//! is faster with small numbers.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::MachinePool;

/// The number of an image within one [`Images`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageId(u32);

/// The images of all jobs and machines seen so far.
#[derive(Clone, Debug, Default)]
pub struct Images {
    ids: HashMap<Arc<str>, ImageId>,
    names: Vec<Arc<str>>,
}

impl Images {
    /// The number of an image; a new image gets the next one.
    pub fn intern(&mut self, name: &str) -> ImageId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = ImageId(self.names.len() as u32);
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.ids.insert(name, id);
        id
    }

    /// The name of an image; empty if the number is unknown.
    pub fn name(&self, id: ImageId) -> &str {
        self.names.get(id.0 as usize).map_or("", |name| name)
    }
}

/// The number of a pool within one [`MachinePools`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u16);

/// The pools seen so far. There are so few that a linear search is fastest.
#[derive(Clone, Debug, Default)]
pub struct MachinePools(Vec<MachinePool>);

impl MachinePools {
    /// The number of a pool; a new pool gets the next one.
    pub fn intern(&mut self, machine_type: &str, zone: &str, spot: bool) -> PoolId {
        let same =
            |k: &MachinePool| k.spot == spot && k.zone == zone && k.machine_type == machine_type;
        if let Some(at) = self.0.iter().position(same) {
            return PoolId(at as u16);
        }
        self.0.push(MachinePool {
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
        });
        PoolId((self.0.len() - 1) as u16)
    }

    /// The pool with this number.
    pub fn get(&self, id: PoolId) -> Option<&MachinePool> {
        self.0.get(usize::from(id.0))
    }

    /// All pools with their numbers, in the order of the numbers.
    pub fn iter(&self) -> impl Iterator<Item = (PoolId, &MachinePool)> {
        let numbered = self.0.iter().enumerate();
        numbered.map(|(at, pool)| (PoolId(at as u16), pool))
    }

    /// The number of pools.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no pool yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
