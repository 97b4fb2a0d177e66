//! The administration interface for operators: JSON on the peer address.

mod machines;
mod settings;
mod status;
mod views;

use std::time::Instant;

use actix::Addr;
use actix_web::http::header::{self, HeaderValue};
use actix_web::{web, HttpResponse};
use serde::Serialize;

pub use self::settings::VersionedSettings;
use super::RETRY_AFTER_S;
use crate::cluster::Cluster;
use crate::leader::Role;
use crate::service::Shared;
use crate::store::actor::StoreActor;
use crate::wire::ErrorBody;

/// Largest request body accepted from an operator.
const BODY_BYTES_MAX: usize = 64 * 1024;

type StoreAddr = web::Data<Addr<StoreActor>>;

/// Registers the routes for operators.
pub fn routes(config: &mut web::ServiceConfig) {
    config.service(
        web::scope("/admin")
            .app_data(web::PayloadConfig::new(BODY_BYTES_MAX))
            .route("/status", web::get().to(status::status))
            .route("/links", web::get().to(super::links::links))
            .route("/metrics", web::get().to(status::metrics))
            .route("/jobs/{id}", web::get().to(status::job))
            .route("/machines/{name}", web::get().to(machines::machine))
            .route("/settings", web::get().to(settings::settings))
            .route("/settings", web::put().to(settings::set_settings))
            .route("/machines/{name}/drain", web::post().to(machines::drain)),
    );
}

/// Responds with the result of `find` on the leader's cluster state. A controller that does not lead responds
/// with 503 and the name of the leader, if one is known; so does one whose leadership is just changing, since
/// its cluster state is not that of the term in which it leads.
fn cluster_response<T: Serialize>(
    shared: &Shared,
    what: &str,
    find: impl Fn(&Cluster, Instant) -> Option<T>,
) -> HttpResponse {
    let now = Instant::now();
    let role = shared.election.lock().role(now);
    let leadership = match role {
        Role::Leader(leadership) => leadership,
        Role::Follower(Some(leader)) => {
            return not_leading(format!("{} leads; ask there", leader.member));
        }
        Role::Follower(None) | Role::KeepAlive(_) => {
            return not_leading("nobody is known to lead; try again".to_owned());
        }
    };
    match shared.with_cluster_of(leadership.term, |cluster| find(cluster, now)) {
        Some(Some(found)) => HttpResponse::Ok().json(found),
        Some(None) => error_response(HttpResponse::NotFound(), format!("no such {what}")),
        None => not_leading("the leadership is changing; try again".to_owned()),
    }
}

fn not_leading(error: String) -> HttpResponse {
    error_response(HttpResponse::ServiceUnavailable(), error)
}

fn error_response(mut response: actix_web::HttpResponseBuilder, error: String) -> HttpResponse {
    response.json(ErrorBody { error })
}

fn store_unavailable() -> HttpResponse {
    let error = "the state service does not answer; try again".to_owned();
    let mut response = error_response(HttpResponse::ServiceUnavailable(), error);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}
