//! A stand-in for the cloud, whose answers the test chooses.

use std::collections::VecDeque;
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::sync::Arc;

use actix_web::{web, App, HttpResponse, HttpServer};
use parking_lot::Mutex;

use crate::wire::{self, MachineNames, MachinePage, RentalRequest};

/// How the cloud treats a rental or a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It executes the request and responds.
    Executed,
    /// It responds with 503 and does not execute the request.
    Refused,
    /// It does not execute the request, and its response is cut off.
    LostBeforeExecution,
    /// It executes the request, and its response is cut off.
    LostAfterExecution,
}

#[derive(Default)]
struct State {
    answers: VecDeque<Answer>,
    on_next_request: Option<Box<dyn FnOnce() + Send>>,
    released: Vec<String>,
    rentals: Vec<RentalRequest>,
}

/// The stand-in; it runs as long as the test.
pub struct CloudStandIn {
    pub address: SocketAddrV4,
    state: Arc<Mutex<State>>,
}

impl CloudStandIn {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
            panic!("an IPv4 address was bound");
        };
        let state = Arc::new(Mutex::new(State::default()));
        let data = web::Data::from(state.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route("/machines", web::get().to(list))
                .route("/machines", web::post().to(rent))
                .route("/machines/return", web::post().to(release))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        Self { address, state }
    }

    /// Sets the answer to the next rental or release for which none is set yet. Further ones are executed.
    pub fn next(&self, answer: Answer) {
        self.state.lock().answers.push_back(answer);
    }

    /// Calls `action` when the next rental or release arrives.
    pub fn on_next_request(&self, action: impl FnOnce() + Send + 'static) {
        self.state.lock().on_next_request = Some(Box::new(action));
    }

    /// The machines whose release was executed, in order.
    pub fn released(&self) -> Vec<String> {
        self.state.lock().released.clone()
    }

    /// The number of machines that the cloud has rented out.
    pub fn machines_rented(&self) -> u32 {
        let state = self.state.lock();
        state.rentals.iter().map(|rental| rental.count).sum()
    }
}

impl State {
    fn next_answer(&mut self) -> Answer {
        if let Some(action) = self.on_next_request.take() {
            action();
        }
        self.answers.pop_front().unwrap_or(Answer::Executed)
    }
}

fn respond(answer: Answer, body: Vec<u8>) -> HttpResponse {
    match answer {
        Answer::Executed => HttpResponse::Ok().body(body),
        Answer::Refused => HttpResponse::ServiceUnavailable().finish(),
        Answer::LostBeforeExecution | Answer::LostAfterExecution => {
            let cut_off = Err::<web::Bytes, _>(std::io::Error::other("cut off"));
            HttpResponse::Ok().streaming(futures_util::stream::iter([cut_off]))
        }
    }
}

fn is_executed(answer: Answer) -> bool {
    matches!(answer, Answer::Executed | Answer::LostAfterExecution)
}

async fn list() -> HttpResponse {
    let page = MachinePage {
        machines: Vec::new(),
        more: false,
    };
    HttpResponse::Ok().body(wire::encode(&page))
}

async fn rent(state: web::Data<Mutex<State>>, body: web::Bytes) -> HttpResponse {
    let request: RentalRequest = wire::decode(&body).unwrap();
    let mut state = state.lock();
    let answer = state.next_answer();
    let known = state
        .rentals
        .iter()
        .any(|rental| rental.request == request.request);
    if is_executed(answer) && !known {
        state.rentals.push(request.clone());
    }
    let names = (0..request.count).map(|number| format!("m-{}-{number}", request.request));
    let machines = names.collect();
    respond(answer, wire::encode(&MachineNames { machines }))
}

async fn release(state: web::Data<Mutex<State>>, body: web::Bytes) -> HttpResponse {
    let names: MachineNames = wire::decode(&body).unwrap();
    let mut state = state.lock();
    let answer = state.next_answer();
    if is_executed(answer) {
        state.released.extend(names.machines);
    }
    respond(answer, wire::encode(&()))
}
