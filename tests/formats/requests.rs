//! Requests to the key-value store and to the cloud, and the decoding of the responses.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use knotlanding::config::Settings;
use knotlanding::fleet::client::{CloudClient, CloudError};
use knotlanding::model::{MachineId, Resources};
use knotlanding::store::client::StoreClient;
use knotlanding::store::{Change, Condition, StoreError, Transaction, TransactionOutcome};
use knotlanding::wire::{self, RentalRequest};

use crate::common;
use crate::fixture;

/// A server that records all requests and sends a prepared response.
#[derive(Clone, Default)]
struct RecordingServer {
    requests: Arc<Mutex<String>>,
    response: Arc<Mutex<(u16, Vec<u8>)>>,
}

impl RecordingServer {
    fn respond_with(&self, status: u16, body: Value) {
        *self.response.lock().unwrap() = (status, wire::encode(&body));
    }

    fn requests(&self) -> String {
        self.requests.lock().unwrap().clone()
    }

    /// Starts the server on a free port; returns its address.
    fn start(&self) -> std::net::SocketAddrV4 {
        let recording_server = self.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(recording_server.clone()))
                .default_service(web::to(record))
        })
        .workers(1)
        .disable_signals()
        .bind("127.0.0.1:0")
        .unwrap();
        let address = server.addrs()[0];
        actix_web::rt::spawn(server.run());
        match address {
            std::net::SocketAddr::V4(address) => address,
            std::net::SocketAddr::V6(address) => panic!("{address}"),
        }
    }
}

async fn record(
    recording_server: web::Data<RecordingServer>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let hex: String = body.iter().map(|byte| format!("{byte:02x}")).collect();
    let content_type = request.headers().get("content-type");
    let content_type = content_type.map_or("-", |value| value.to_str().unwrap());
    let line = format!(
        "{} {} {content_type} {hex}\n",
        request.method(),
        request.uri()
    );
    recording_server.requests.lock().unwrap().push_str(&line);
    let (status, body) = recording_server.response.lock().unwrap().clone();
    let status = actix_web::http::StatusCode::from_u16(status).unwrap();
    HttpResponse::build(status)
        .content_type(wire::CBOR_CONTENT_TYPE)
        .body(body)
}

fn http() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_secs(10))
        .finish()
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

#[actix_web::test]
async fn requests_to_the_store_keep_their_form() {
    let recording_server = RecordingServer::default();
    let mut settings =
        Settings::parse(&common::settings_with_unreachable_addresses(), "a test").unwrap();
    settings.external.store = recording_server.start();
    let client = StoreClient::new(&settings, http());

    let transaction = Transaction {
        conditions: vec![Condition::new("kl/leader", 0), Condition::new("kl/term", 7)],
        changes: vec![
            Change::Put {
                key: "kl/leader".to_owned(),
                value: cbor!({"member" => "knot-1"}).unwrap(),
                lease: Some(7),
            },
            Change::put("kl/term", cbor!({"term" => 41}).unwrap()),
            Change::delete("kl/done/wk-000412/0"),
        ],
    };
    recording_server.respond_with(200, cbor!({"epoch" => 432}).unwrap());
    assert_eq!(
        client.transact(&transaction).await,
        TransactionOutcome::Committed(432)
    );
    let conditions_only = Transaction {
        conditions: vec![Condition::new("kl/job/wk-000412", 0)],
        changes: Vec::new(),
    };
    let failed = cbor!({"failed" => ["kl/job/wk-000412"], "epoch" => 431}).unwrap();
    recording_server.respond_with(409, failed);
    assert_eq!(
        client.transact(&conditions_only).await,
        TransactionOutcome::Conflict {
            failed: vec!["kl/job/wk-000412".to_owned()],
            revision: 431,
        }
    );

    let row =
        cbor!({"path" => "kl/term", "v" => {"term" => 41}, "stamp" => 412, "hold" => 7}).unwrap();
    recording_server.respond_with(200, row.clone());
    let read = client.get("kl/term").await.unwrap().unwrap();
    assert_eq!((read.key.as_str(), read.version), ("kl/term", 412));
    recording_server.respond_with(404, cbor!({"epoch" => 431}).unwrap());
    assert!(client.get("kl/term").await.unwrap().is_none());

    let page = cbor!({"rows" => [row], "more" => true, "epoch" => 431});
    recording_server.respond_with(200, page.unwrap());
    let read = client.read_page("kl/", None).await.unwrap();
    assert_eq!(
        (read.key_values.len(), read.more, read.revision),
        (1, true, 431)
    );
    client.read_page("kl/", Some("kl/term")).await.unwrap();

    let watch_response = cbor!({"epoch" => 433, "events" => [
        {"set" => "c/9", "v" => 5, "stamp" => 433}, {"drop" => "c/d", "stamp" => 432}
    ]});
    recording_server.respond_with(200, watch_response.unwrap());
    let hold = Duration::from_millis(1500);
    let read = client
        .watch("kl/", 431, hold, REQUEST_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(read.revision, 433);
    assert_eq!(read.events[0].put_key.as_deref(), Some("c/9"));
    assert_eq!(read.events[0].value, Some(Value::from(5)));
    assert_eq!(read.events[1].deleted_key.as_deref(), Some("c/d"));
    assert_eq!(read.events[1].version, 432);
    recording_server.respond_with(410, cbor!({"error" => "gone"}).unwrap());
    let read = client.watch("kl/", 1, hold, REQUEST_TIMEOUT).await;
    assert_eq!(read.unwrap_err(), StoreError::HistoryCompacted);

    recording_server.respond_with(200, cbor!({"hold" => 7}).unwrap());
    let lease = client.grant(Duration::from_millis(3200)).await.unwrap();
    assert_eq!(lease, 7);
    client.renew(lease, REQUEST_TIMEOUT).await.unwrap();
    client.revoke(lease).await.unwrap();
    recording_server.respond_with(404, cbor!({"error" => "no such lease"}).unwrap());
    let renewed = client.renew(lease, REQUEST_TIMEOUT).await;
    assert_eq!(renewed.unwrap_err(), StoreError::LeaseExpired);

    fixture::assert_text("requests-state-service.txt", &recording_server.requests());
}

#[actix_web::test]
async fn requests_to_the_cloud_keep_their_form() {
    let recording_server = RecordingServer::default();
    let client = CloudClient::new(recording_server.start(), http());

    let machine_type = cbor!({"name" => "g8", "cores" => 96, "cards" => 8, "ramGb" => 768,
        "localGb" => 200, "pullGbPerS" => 1.0, "rate" => 12.0, "marketPrice" => 4.5,
        "bootS" => 45, "yards" => ["a", "b"]});
    let catalog = cbor!({"builds" => [machine_type.unwrap()]});
    recording_server.respond_with(200, catalog.unwrap());
    let read = client.catalog().await.unwrap().remove(0);
    let expected_capacity = Resources {
        cpus: 96.0,
        gpus: 8.0,
        memory: 768.0,
    };
    assert_eq!(
        (read.name.as_str(), read.capacity),
        ("g8", expected_capacity)
    );
    assert_eq!((read.hourly_price, read.hourly_spot_price), (12.0, 4.5));
    assert_eq!(read.boot_time, Duration::from_secs(45));
    assert_eq!((read.cache_gb, read.pull_gb_per_s), (200.0, 1.0));
    assert_eq!(read.zones, ["a", "b"]);

    let request = RentalRequest {
        request: "kl-41-17".to_owned(),
        machine_type: "g8".to_owned(),
        zone: "a".to_owned(),
        spot: true,
        count: 12,
    };
    recording_server.respond_with(200, cbor!({"hosts" => ["m-000231"]}).unwrap());
    assert_eq!(client.rent(&request).await.unwrap(), ["m-000231"]);
    recording_server.respond_with(503, cbor!({"error" => "no capacity"}).unwrap());
    let refused = client.rent(&request).await.unwrap_err();
    assert!(matches!(refused, CloudError::NoCapacity));

    recording_server.respond_with(200, cbor!({}).unwrap());
    let machines = [MachineId("m-000231".into()), MachineId("m-000232".into())];
    client.release(&machines).await.unwrap();

    let listed = cbor!({"nameId" => "m-000231", "address" => "10.1.0.232:9000", "build" => "g8",
        "yard" => "a", "loaners" => true, "status" => "running", "heldS" => 61.5});
    let page = cbor!({"hosts" => [listed.unwrap()], "more" => true});
    recording_server.respond_with(200, page.unwrap());
    let read = client.list_page(None).await.unwrap();
    assert!(read.more);
    fixture::assert_bytes("cloud-list-page.hex", &wire::encode(&read));
    client.list_page(Some("m-000231")).await.unwrap();

    fixture::assert_text("requests-cloud.txt", &recording_server.requests());
}
