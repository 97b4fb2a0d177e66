//! Assembles a process from its parts.

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

/// How long idle connections between the nodes and to the external systems stay open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client with at most so many connections.
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

/// Serves until the process is ended.
pub async fn serve(settings: Settings, features: Features) -> io::Result<()> {
    let shared = Shared::with_features(settings, features);
    // Lease and replica have a thread and a client of their own: on a small machine a scheduling cycle,
    // a state summary or a burst of heartbeats takes seconds, and neither may be lost for slowness.
    let records = Arbiter::new();
    let store = start_store(&records, &shared);
    let public = public_server(&shared, &store)?;
    let peers = peer_server(&shared, &store)?;
    start_election(&records, &shared, &store);
    start_loops(&shared, &store);

    let settings = &shared.settings;
    let (public_addr, peer_bind) = (settings.public_addr, settings.peer_bind);
    info!(member = settings.member, %public_addr, %peer_bind, "serving");
    futures_util::future::try_join(public, peers).await?;
    Ok(())
}

fn start_store(records: &Arbiter, shared: &Arc<Shared>) -> Addr<StoreActor> {
    let shared = shared.clone();
    StoreActor::start_in_arbiter(&records.handle(), move |_| {
        let client = StoreClient::new(&shared.settings, http_client(shared.sockets.store));
        let replica = shared.replica.clone();
        StoreActor::new(&shared.settings.clone(), client, replica, shared)
    })
}

fn start_election(records: &Arbiter, shared: &Arc<Shared>, store: &Addr<StoreActor>) {
    let (shared, store) = (shared.clone(), store.clone());
    ElectionActor::start_in_arbiter(&records.handle(), move |_| {
        let client = StoreClient::new(&shared.settings, http_client(shared.sockets.election));
        ElectionActor::new(shared, client, store)
    });
}

/// The server for users, agents and the load balancer.
fn public_server(shared: &Arc<Shared>, store: &Addr<StoreActor>) -> io::Result<Server> {
    let data: web::Data<Shared> = web::Data::from(shared.clone());
    let store = web::Data::new(store.clone());
    let connections = shared.connections.clone();
    let sockets = &shared.sockets;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(store.clone())
            .configure(api::public)
    })
    .on_connect(move |_, extensions| {
        extensions.insert(OpenConnection::new(connections.clone()));
    })
    .workers(1)
    .max_connections(sockets.public)
    .backlog(sockets.backlog)
    .keep_alive(sockets.idle)
    .disable_signals()
    .bind(shared.settings.public_addr)?;
    Ok(server.run())
}

/// The server for the other nodes and for operators.
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
    .max_connections(shared.sockets.peers_in)
    .keep_alive(KEEP_ALIVE)
    .disable_signals()
    .bind(shared.settings.peer_bind)?;
    Ok(server.run())
}

/// Starts the loops that run on the main thread.
fn start_loops(shared: &Arc<Shared>, store: &Addr<StoreActor>) {
    let sockets = &shared.sockets;
    let http = http_client(sockets.own);
    // Agents that don't answer must not hold the connections for queries to the external systems.
    let direct = http_client(sockets.direct);
    let unmet_demand = SharedDemand::default();
    SchedulerActor::new(shared.clone(), store.clone(), direct, unmet_demand.clone()).start();
    let cloud = CloudClient::new(shared.settings.external.cloud, http.clone());
    FleetActor::new(shared.clone(), cloud, unmet_demand).start();
    // A leader that is slow to answer must not hold the connections for state summaries.
    ForwardActor::new(shared.clone(), http_client(sockets.forwarding)).start();
    MetricsActor::new(shared.clone()).start();
    if shared.links.active().is_some() {
        // A peer that delays rows must not hold the connections for state summaries.
        let rows = http_client(sockets.rows);
        LinksActor::new(shared.clone(), store.clone(), rows).start();
    }
    PeersActor::new(shared.clone(), store.clone(), http).start();
}
