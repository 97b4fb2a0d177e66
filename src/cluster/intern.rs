//! Names that come again with every machine and task, as small numbers: scheduling cycles compare and look
//! them up by the thousand.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::MachinePool;

/// An image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageId(u32);

/// Images met so far.
#[derive(Clone, Debug, Default)]
pub struct Images {
    ids: HashMap<Arc<str>, ImageId>,
    names: Vec<Arc<str>>,
}

impl Images {
    /// An image's number.
    pub fn id(&mut self, name: &str) -> ImageId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = ImageId(self.names.len() as u32);
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.ids.insert(name, id);
        id
    }

    /// An image's name.
    pub fn name(&self, id: ImageId) -> &str {
        self.names.get(id.0 as usize).map_or("", |name| name)
    }
}

/// A type of machine in a zone, spot or ordinary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u16);

/// MachinePools met so far: a handful, so that a look through all of them is the fastest.
#[derive(Clone, Debug, Default)]
pub struct MachinePools(Vec<MachinePool>);

impl MachinePools {
    /// A kind's number.
    pub fn id(&mut self, machine_type: &str, zone: &str, spot: bool) -> PoolId {
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

    /// A kind.
    pub fn get(&self, id: PoolId) -> Option<&MachinePool> {
        self.0.get(usize::from(id.0))
    }

    /// All kinds with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (PoolId, &MachinePool)> {
        let numbered = self.0.iter().enumerate();
        numbered.map(|(at, pool)| (PoolId(at as u16), pool))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none was met yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
