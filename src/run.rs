//! Puts a process together from its parts.

use std::io;
use std::time::Duration;

use actix::Actor;
use actix_web::{web, App, HttpServer};
use awc::{Client, Connector};
use tracing::info;

use crate::actors::election::ElectionActor;
use crate::actors::fleet::FleetActor;
use crate::actors::forward::ForwardActor;
use crate::actors::links::LinksActor;
use crate::actors::metrics::MetricsActor;
use crate::actors::peers::PeersActor;
use crate::actors::scheduler::{SchedulerActor, SharedDemand};
use crate::config::Settings;
use crate::features::Features;
use crate::fleet::client::CloudClient;
use crate::service::{OpenConnection, Shared};
use crate::store::actor::StoreActor;
use crate::store::client::StoreClient;
use crate::{api, peer};

/// Idle connections between the nodes and to the services stay open for that long.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// A connection that has not come about by then won't.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

fn http_client(most: usize) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_LIMIT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(most);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

/// Serves until the process is ended.
pub async fn serve(settings: Settings, features: Features) -> io::Result<()> {
    let (public_addr, peer_bind) = (settings.public_addr, settings.peer_bind);
    let external = settings.external.clone();
    let member = settings.member.clone();

    let shared = Shared::with_features(settings, features);
    let sockets = shared.sockets.clone();
    let http = http_client(sockets.own);
    // Machines that don't answer must not hold the places of those who ask the services.
    let direct = http_client(sockets.direct);
    // What keeps lead and replica has a thread and a client of its own: on a small machine a round,
    // a digest or a burst of reports takes seconds, and neither is to be lost for slowness.
    let records = actix::Arbiter::new();
    let (for_store, most) = (shared.clone(), sockets.store);
    let store = StoreActor::start_in_arbiter(&records.handle(), move |_| {
        let client = StoreClient::new(&for_store.settings, http_client(most));
        let replica = for_store.replica.clone();
        StoreActor::new(&for_store.settings.clone(), client, replica, for_store)
    });
    let unmet_demand = SharedDemand::default();

    let data: web::Data<Shared> = web::Data::from(shared.clone());
    let to_store = web::Data::new(store.clone());
    let open = shared.connections.clone();
    let public = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(to_store.clone())
            .configure(api::public)
    })
    .on_connect(move |_, extensions| {
        extensions.insert(OpenConnection::new(open.clone()));
    })
    .workers(1)
    .max_connections(sockets.public)
    .backlog(sockets.backlog)
    .keep_alive(sockets.idle)
    .disable_signals()
    .bind(public_addr)?
    .run();

    let data: web::Data<Shared> = web::Data::from(shared.clone());
    let to_store = web::Data::new(store.clone());
    let peers = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(to_store.clone())
            .configure(peer::routes)
            .configure(api::admin::routes)
    })
    .workers(1)
    .max_connections(sockets.peers_in)
    .keep_alive(KEEP_ALIVE)
    .disable_signals()
    .bind(peer_bind)?
    .run();

    let (for_leader, to_commit, most) = (shared.clone(), store.clone(), sockets.election);
    ElectionActor::start_in_arbiter(&records.handle(), move |_| {
        let client = StoreClient::new(&for_leader.settings, http_client(most));
        ElectionActor::new(for_leader, client, to_commit)
    });
    SchedulerActor::new(shared.clone(), store.clone(), direct, unmet_demand.clone()).start();
    let cloud = CloudClient::new(external.cloud, http.clone());
    FleetActor::new(shared.clone(), cloud, unmet_demand).start();
    // A leader that is slow to answer must not hold the places of the digests.
    ForwardActor::new(shared.clone(), http_client(sockets.forwarding)).start();
    MetricsActor::new(shared.clone()).start();
    if shared.links.active().is_some() {
        // A peer that holds rows up must not hold the places of the digests.
        let for_rows = http_client(sockets.rows);
        LinksActor::new(shared.clone(), store.clone(), for_rows).start();
    }
    PeersActor::new(shared, store, http).start();

    info!(member, %public_addr, %peer_bind, "serving");
    futures_util::future::try_join(public, peers).await?;
    Ok(())
}
