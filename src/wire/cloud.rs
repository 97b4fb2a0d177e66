//! Bodies of requests to the cloud and of their responses.

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
    pull_gb_per_s: f64,
    #[serde(rename = "rate", deserialize_with = "number", default)]
    hourly_price: f64,
    #[serde(rename = "marketPrice", deserialize_with = "number", default)]
    hourly_spot_price: f64,
    #[serde(rename = "bootS", deserialize_with = "number", default)]
    boot_s: f64,
    #[serde(rename = "yards", default)]
    zones: Vec<String>,
}

impl MachineTypeCatalog {
    /// Converts the entries to the types of [`crate::model`].
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
                hourly_price: entry.hourly_price,
                hourly_spot_price: entry.hourly_spot_price,
                boot_time: crate::time::secs(entry.boot_s),
                cache_gb: entry.cache_gb,
                pull_gb_per_s: entry.pull_gb_per_s,
                zones: entry.zones,
            })
            .collect()
    }
}

/// A request to rent machines of one type in one zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    /// The idempotency key, which is unique for each request.
    #[serde(rename = "hire")]
    pub request: String,
    /// Name of the machine type in the catalog.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone in which the machines are rented.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machines are spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines requested.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machines granted to a rental request, or machines to release.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names in the cloud's machine list.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// One machine in the cloud's machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name, unique within the cloud.
    #[serde(rename = "nameId")]
    pub id: String,
    /// The agent's address for direct commands; empty if the cloud does not report it.
    #[serde(default)]
    pub address: String,
    /// The machine type; empty if the cloud does not report it.
    #[serde(rename = "build", default)]
    pub machine_type: String,
    /// The machine's zone; empty if the cloud does not report it.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    pub status: String,
    /// The rental age: seconds since the rental request.
    #[serde(rename = "heldS", deserialize_with = "number", default)]
    pub age_s: f64,
}

/// A page of the cloud's machine list.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines of this page.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
}
