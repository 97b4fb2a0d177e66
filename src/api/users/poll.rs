//! Handler of `GET /api/jobs/{id}`.

use actix_web::{web, HttpResponse};

use super::status::{read_verdict, verdict_response};
use super::{no_such_job, StoreAddr};
use crate::model::JobId;
use crate::service::Shared;

/// `GET /api/jobs/{id}`: the status of a job.
pub async fn poll(
    shared: web::Data<Shared>,
    store: StoreAddr,
    path: web::Path<String>,
) -> HttpResponse {
    shared.metrics.lock().requests.polls += 1;
    let Some(id) = JobId::parse(&path) else {
        return no_such_job();
    };
    let read = read_verdict(&shared, &store, &id).await;
    verdict_response(&shared, &id, read, no_such_job)
}
