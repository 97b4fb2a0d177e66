//! Bodies between the cloud's interface and this system.

use serde::{Deserialize, Serialize};

use super::number::number;
use crate::model::{MachineType, Resources};

/// The cloud's catalog of machine types.
#[derive(Debug, Deserialize)]
pub struct MachineTypeCatalog {
    #[serde(rename = "builds")]
    machine_types: Vec<MachineTypeEntry>,
}

#[derive(Debug, Deserialize)]
struct MachineTypeEntry {
    name: String,
    #[serde(rename = "cores", deserialize_with = "number")]
    cpus: f64,
    #[serde(rename = "cards", deserialize_with = "number", default)]
    gpus: f64,
    #[serde(rename = "ramGb", deserialize_with = "number")]
    memory: f64,
    #[serde(rename = "localGb", deserialize_with = "number", default)]
    cache_gb: f64,
    #[serde(rename = "pullGbPerS", deserialize_with = "number", default)]
    fetch_rate: f64,
    #[serde(rename = "rate", deserialize_with = "number", default)]
    price: f64,
    #[serde(rename = "marketPrice", deserialize_with = "number", default)]
    spot_price: f64,
    #[serde(rename = "bootS", deserialize_with = "number", default)]
    boot_s: f64,
    #[serde(rename = "yards", default)]
    zones: Vec<String>,
}

impl MachineTypeCatalog {
    /// The catalog in the model's terms.
    pub fn machine_types(self) -> Vec<MachineType> {
        self.machine_types
            .into_iter()
            .map(|entry| MachineType {
                name: entry.name,
                capacity: Resources {
                    cpus: entry.cpus,
                    gpus: entry.gpus,
                    memory: entry.memory,
                },
                hourly_price: entry.price,
                hourly_spot_price: entry.spot_price,
                boot_time: crate::time::secs(entry.boot_s),
                cache_gb: entry.cache_gb,
                pull_gb_per_s: entry.fetch_rate,
                zones: entry.zones,
            })
            .collect()
    }
}

/// A rental request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    /// The idempotency key, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machines by name: those that a rental request was granted, or those to release.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// One machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "nameId")]
    pub id: String,
    /// The address that takes direct commands.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "build", default)]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    pub status: String,
    /// The rental age: time since the rental request.
    #[serde(rename = "heldS", deserialize_with = "number", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
}
