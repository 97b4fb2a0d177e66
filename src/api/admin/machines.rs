//! `GET /admin/machines/{name}` and `POST /admin/machines/{name}/drain`.

use actix_web::{web, HttpResponse};

use super::settings::{change, VersionedSettings};
use super::views::MachineStatus;
use super::{from_cluster, Store};
use crate::model::MachineId;
use crate::service::Shared;

/// `GET /admin/machines/{name}`: one machine.
pub async fn machine(shared: web::Data<Shared>, path: web::Path<String>) -> HttpResponse {
    let id = MachineId(path.as_str().into());
    from_cluster(&shared, "machine", |cluster, now| {
        let machine = cluster.machines.get(&id)?;
        let judge = cluster.health_judge(now);
        Some(MachineStatus::of(cluster, machine, &judge))
    })
}

/// `POST /admin/machines/{name}/drain`: no new tasks for the machine.
pub async fn drain(
    shared: web::Data<Shared>,
    store: Store,
    path: web::Path<String>,
) -> HttpResponse {
    let version = shared.replica.lock().settings.version;
    let mut settings = shared.operator.lock().clone();
    let name = path.into_inner();
    if !settings.drained.contains(&name) {
        settings.drained.push(name);
    }
    change(&shared, &store, VersionedSettings { version, settings }).await
}
