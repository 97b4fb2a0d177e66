//! The operators' interface: JSON on the peer address.

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
use crate::wire::Problem;

/// Largest body taken from an operator.
const BODY_LIMIT: usize = 64 * 1024;

type Store = web::Data<Addr<StoreActor>>;

/// The routes for operators.
pub fn routes(config: &mut web::ServiceConfig) {
    config.service(
        web::scope("/admin")
            .app_data(web::PayloadConfig::new(BODY_LIMIT))
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

/// What `find` takes from the leader's cluster state, or which node leads.
fn from_cluster<T: Serialize>(
    shared: &Shared,
    what: &str,
    find: impl Fn(&Cluster, Instant) -> Option<T>,
) -> HttpResponse {
    let now = Instant::now();
    let role = shared.election.lock().role(now);
    if !matches!(role, Role::Leader(_)) {
        let error = match role {
            Role::Follower(Some(leader)) => format!("{} leads; ask there", leader.member),
            _ => "nobody is known to lead; try again".to_owned(),
        };
        return refuse(HttpResponse::ServiceUnavailable(), error);
    }
    let found = {
        let cluster = shared.cluster.lock();
        cluster.as_ref().and_then(|cluster| find(cluster, now))
    };
    match found {
        Some(found) => HttpResponse::Ok().json(found),
        None => refuse(HttpResponse::NotFound(), format!("no such {what}")),
    }
}

fn refuse(mut answer: actix_web::HttpResponseBuilder, error: String) -> HttpResponse {
    answer.json(Problem { error })
}

fn unavailable() -> HttpResponse {
    let error = "the state service does not answer; try again".to_owned();
    let mut answer = refuse(HttpResponse::ServiceUnavailable(), error);
    answer
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    answer
}
