//! Starts the HTTP servers and actors of a controller process.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, Arbiter};
use actix_web::dev::Server;
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

/// Time after which idle connections between the controllers and to the external systems are closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates an HTTP client with at most `connections_max` open connections.
fn http_client(connections_max: usize) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(connections_max);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

/// Serves until a server fails or the process is terminated.
pub async fn serve(settings: Settings, features: Features) -> io::Result<()> {
    let shared = Shared::with_features(settings, features);
    // The leader lease and the replica have a separate thread and separate HTTP clients: on a small machine
    // a scheduling cycle, a state summary or a burst of heartbeats takes seconds, and such a delay must not
    // make the lease expire or the replica stale.
    let store_arbiter = Arbiter::new();
    let store = start_store(&store_arbiter, &shared);
    let public = public_server(&shared, &store)?;
    let peers = peer_server(&shared, &store)?;
    start_election(&store_arbiter, &shared, &store);
    start_main_thread_actors(&shared, &store);

    let settings = &shared.settings;
    let (public_addr, peer_bind) = (settings.public_addr, settings.peer_bind);
    info!(member = settings.member, %public_addr, %peer_bind, "serving");
    futures_util::future::try_join(public, peers).await?;
    Ok(())
}

fn start_store(arbiter: &Arbiter, shared: &Arc<Shared>) -> Addr<StoreActor> {
    let shared = shared.clone();
    StoreActor::start_in_arbiter(&arbiter.handle(), move |_| {
        let client = StoreClient::new(&shared.settings, http_client(shared.sockets.store));
        let replica = shared.replica.clone();
        StoreActor::new(&shared.settings.clone(), client, replica, shared)
    })
}

fn start_election(arbiter: &Arbiter, shared: &Arc<Shared>, store: &Addr<StoreActor>) {
    let (shared, store) = (shared.clone(), store.clone());
    ElectionActor::start_in_arbiter(&arbiter.handle(), move |_| {
        let client = StoreClient::new(&shared.settings, http_client(shared.sockets.election));
        ElectionActor::new(shared, client, store)
    });
}

/// Starts the server for users, agents and the load balancer.
fn public_server(shared: &Arc<Shared>, store: &Addr<StoreActor>) -> io::Result<Server> {
    let data: web::Data<Shared> = web::Data::from(shared.clone());
    let store = web::Data::new(store.clone());
    let connections = shared.connections.clone();
    let sockets = &shared.sockets;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(store.clone())
            .configure(api::public_routes)
    })
    .on_connect(move |_, extensions| {
        extensions.insert(OpenConnection::new(connections.clone()));
    })
    .workers(1)
    .max_connections(sockets.public)
    .backlog(sockets.backlog)
    .keep_alive(sockets.idle_timeout)
    .disable_signals()
    .bind(shared.settings.public_addr)?;
    Ok(server.run())
}

/// Starts the server for the peers and for operators.
fn peer_server(shared: &Arc<Shared>, store: &Addr<StoreActor>) -> io::Result<Server> {
    let data: web::Data<Shared> = web::Data::from(shared.clone());
    let store = web::Data::new(store.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(store.clone())
            .configure(peer::routes)
            .configure(api::admin::routes)
    })
    .workers(1)
    .max_connections(shared.sockets.peers_inbound)
    .keep_alive(KEEP_ALIVE)
    .disable_signals()
    .bind(shared.settings.peer_bind)?;
    Ok(server.run())
}

/// Starts the actors that run on the main thread.
fn start_main_thread_actors(shared: &Arc<Shared>, store: &Addr<StoreActor>) {
    let sockets = &shared.sockets;
    let http = http_client(sockets.cloud_and_peers);
    // Unresponsive agents must not occupy the connections to the cloud and the peers.
    let direct = http_client(sockets.direct_commands);
    let unmet_demand = SharedDemand::default();
    SchedulerActor::new(shared.clone(), store.clone(), direct, unmet_demand.clone()).start();
    let cloud = CloudClient::new(shared.settings.external.cloud, http.clone());
    FleetActor::new(shared.clone(), cloud, unmet_demand).start();
    // A slow leader must not occupy the connections for state summaries.
    ForwardActor::new(shared.clone(), http_client(sockets.forwarding)).start();
    MetricsActor::new(shared.clone()).start();
    if shared.links.active().is_some() {
        // A peer that is slow to accept rows must not occupy the connections for state summaries.
        let rows = http_client(sockets.rows);
        LinksActor::new(shared.clone(), store.clone(), rows).start();
    }
    PeersActor::new(shared.clone(), store.clone(), http).start();
}
