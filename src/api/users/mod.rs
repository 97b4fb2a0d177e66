//! Handlers of users' requests. Every controller serves them, whether it leads or not: a verdict is written
//! to and read from the key-value store, and no other source may supply a verdict in a response.

mod cancel;
mod poll;
mod status;
mod submit;

use std::time::{Duration, Instant};

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};

pub use self::cancel::cancel;
pub use self::poll::poll;
pub use self::submit::submit;
use super::error_response;
use crate::service::Shared;
use crate::store::actor::StoreActor;

/// Timeout for the response to a submission or cancellation, short enough that the user still waits for the
/// response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

type StoreAddr = web::Data<Addr<StoreActor>>;

/// `GET /up`: the health check of the load balancer; 503 if this controller should get no requests.
pub async fn health(shared: web::Data<Shared>) -> HttpResponse {
    shared.metrics.lock().requests.health_checks += 1;
    if shared.can_serve_requests(Instant::now()) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

fn no_such_job() -> HttpResponse {
    error_response(StatusCode::NOT_FOUND, "no such job")
}
