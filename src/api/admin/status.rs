//! `GET /admin/status`, `/admin/metrics` and `/admin/jobs/{id}`.

use std::time::Instant;

use actix_web::{web, HttpResponse};

use super::views::{node_status, JobStatus};
use super::{from_cluster, refuse};
use crate::model::JobId;
use crate::service::Shared;

/// `GET /admin/status`
pub async fn status(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(node_status(&shared))
}

/// `GET /admin/metrics`
pub async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    let now = Instant::now();
    HttpResponse::Ok().json(shared.metrics_view(now))
}

/// `GET /admin/jobs/{id}`: one job that is not over.
pub async fn job(shared: web::Data<Shared>, path: web::Path<String>) -> HttpResponse {
    let Some(id) = JobId::parse(&path) else {
        return refuse(HttpResponse::NotFound(), "no such job".to_owned());
    };
    from_cluster(&shared, "job under way", |cluster, now| {
        cluster.jobs.get(&id).map(|job| JobStatus::of(job, now))
    })
}
