//! Handlers of `GET /admin/status`, `/admin/metrics` and `/admin/jobs/{id}`.

use std::time::Instant;

use actix_web::{web, HttpResponse};

use super::views::{controller_status, JobStatus};
use super::{cluster_response, error_response};
use crate::model::JobId;
use crate::service::Shared;

/// `GET /admin/status`: the state of this controller, and on the leader that of all machines and jobs.
pub async fn status(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(controller_status(&shared))
}

/// `GET /admin/metrics`: counters and histograms of this process.
pub async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    let now = Instant::now();
    HttpResponse::Ok().json(shared.metrics_view(now))
}

/// `GET /admin/jobs/{id}`: the status of one unfinished job; only the leader has it.
pub async fn job(shared: web::Data<Shared>, path: web::Path<String>) -> HttpResponse {
    let Some(id) = JobId::parse(&path) else {
        return error_response(HttpResponse::NotFound(), "no such job".to_owned());
    };
    cluster_response(&shared, "job under way", |cluster, now| {
        cluster.jobs.get(&id).map(|job| JobStatus::of(job, now))
    })
}
