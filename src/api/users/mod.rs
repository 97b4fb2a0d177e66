//! Users' requests. Any node answers them, whichever node leads: verdicts are written to and read
//! from the key-value store, and nothing else may be shown as a verdict.

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
use super::problem;
use crate::service::Shared;
use crate::store::actor::StoreActor;

/// A submission or cancellation is answered by then, while its user still waits.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

type Store = web::Data<Addr<StoreActor>>;

/// `GET /up`
pub async fn health(shared: web::Data<Shared>) -> HttpResponse {
    shared.metrics.lock().requests.health_checks += 1;
    if shared.can_serve_requests(Instant::now()) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

fn no_such_job() -> HttpResponse {
    problem(StatusCode::NOT_FOUND, "no such job")
}
