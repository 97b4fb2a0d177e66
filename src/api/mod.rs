//! HTTP handlers for users, agents, the load balancer and operators. A handler decodes the request,
//! calls the module that makes the decision, and encodes the response.

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
use crate::wire::{self, ErrorBody};

/// `Retry-After` of a temporarily rejected request, in seconds.
pub const RETRY_AFTER_S: u32 = 1;

/// Builds a response with a CBOR body.
pub fn cbor_response<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    HttpResponse::build(status)
        .content_type(wire::CBOR_CONTENT_TYPE)
        .body(wire::encode(body))
}

/// Builds an error response whose CBOR body gives the reason.
pub fn error_response(status: StatusCode, error: impl Into<String>) -> HttpResponse {
    let error = error.into();
    cbor_response(status, &ErrorBody { error })
}

/// Builds an error response with a `Retry-After` header, for a request that may be repeated later.
pub fn retry_later(status: StatusCode, error: &str) -> HttpResponse {
    let mut response = error_response(status, error);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}

/// Closes a user's connection after the response while more public connections are open than the
/// threshold for users.
async fn close_above_threshold(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let shared = request.app_data::<web::Data<Shared>>().cloned();
    let mut response = next.call(request).await?;
    if shared.is_some_and(|shared| shared.connections.open() > shared.sockets.user_close_threshold)
    {
        let head = response.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

/// Registers the routes of the public address.
pub fn public_routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(wire::BODY_BYTES_MAX))
        .route("/hello", web::post().to(workers::heartbeat))
        .route("/up", web::get().to(users::health))
        .service(
            web::scope("/api/jobs")
                .wrap(from_fn(close_above_threshold))
                .route("", web::post().to(users::submit))
                .route("/{id}", web::get().to(users::poll))
                .route("/{id}/abort", web::post().to(users::cancel)),
        );
}
