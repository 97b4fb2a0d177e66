//! What users, workers, the load balancer and operators reach. Handlers decode, call the
//! modules that decide, and encode.

pub mod admin;
pub mod links;
pub mod users;
pub mod workers;

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::{self, HeaderValue};
use actix_web::http::ConnectionType;
use actix_web::http::StatusCode;
use actix_web::middleware::{from_fn, Next};
use actix_web::{web, HttpResponse};
use serde::Serialize;

use crate::service::Shared;
use crate::wire::{self, Problem};

/// Seconds after which a refused request may come again.
pub const RETRY_AFTER_S: u32 = 1;

/// An answer with a CBOR body.
pub fn cbor<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    HttpResponse::build(status)
        .content_type(wire::CBOR)
        .body(wire::encode(body))
}

/// A refusal that says why.
pub fn problem(status: StatusCode, error: impl Into<String>) -> HttpResponse {
    let error = error.into();
    cbor(status, &Problem { error })
}

/// A temporary refusal, with the time after which the request may be repeated.
pub fn later(status: StatusCode, error: &str) -> HttpResponse {
    let mut answer = problem(status, error);
    answer
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    answer
}

/// Closes a user's connection after its answer when connections run short.
async fn close_when_scarce(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let shared = request.app_data::<web::Data<Shared>>().cloned();
    let mut answer = next.call(request).await?;
    if shared.is_some_and(|shared| shared.connections.open() > shared.sockets.users_close) {
        let head = answer.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(answer)
}

/// The routes on the public address.
pub fn public(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(wire::BODY_LIMIT))
        .route("/hello", web::post().to(workers::heartbeat))
        .route("/up", web::get().to(users::health))
        .service(
            web::scope("/api/jobs")
                .wrap(from_fn(close_when_scarce))
                .route("", web::post().to(users::submit))
                .route("/{id}", web::get().to(users::poll))
                .route("/{id}/abort", web::post().to(users::cancel)),
        );
}
