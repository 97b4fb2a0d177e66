//! The simulated scaling loop of a controller, and the cloud's treatment of its requests under faults.
//!
//! The decisions and the outstanding requests are the production code. As in production, a controller has one
//! scaling cycle at a time, and a cycle ends only when each of its requests has an outcome.

use knotlanding::fleet::outstanding::{OutstandingRental, RequestId, RequestOutcome};
use knotlanding::fleet::{CycleInput, RentalDecision};

use super::*;

/// A request without a response within this time has an unknown outcome.
const CLOUD_TIMEOUT_S: f64 = 3.0;

/// How the cloud treats requests during a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudFault {
    /// Requests are not executed and get no response.
    RequestsLost,
    /// Requests are executed, but get no response.
    ResponsesLost,
    /// Requests are refused.
    Refused,
    /// Requests get no response and are executed 2 to 16 s later.
    ExecutedLate,
}

/// The state of the cloud besides its machines, and its faults.
#[derive(Default)]
pub struct CloudState {
    /// How it treats requests, and the end of the fault.
    pub(super) fault: Option<(CloudFault, f64)>,
    /// The machines of executed rentals, by idempotency key.
    rentals_by_key: BTreeMap<String, Vec<String>>,
    /// Requests that got no response.
    pub unanswered_requests: usize,
    /// Time until which the operators have idle machines released at once.
    pub(super) idle_released_until: f64,
}

/// A request to rent or to release machines.
#[derive(Clone, Debug)]
pub(super) enum CloudCall {
    Release(Vec<MachineId>),
    Rent(OutstandingRental),
}

/// The response to a request, or the lack of one.
#[derive(Clone, Debug)]
pub(super) enum CloudResponse {
    Released,
    Rented(Vec<String>),
    Refused,
    TimedOut,
}

/// A controller's request on its way to the cloud or back.
#[derive(Clone, Debug)]
pub(super) struct CloudExchange {
    pub(super) index: usize,
    pub(super) incarnation: u64,
    id: RequestId,
    call: CloudCall,
}

impl Simulation {
    /// Runs one scaling cycle, unless the one before still waits for a response.
    pub(super) fn step_fleet(&mut self, index: usize) {
        if self.controllers[index].cloud_responses_awaited > 0 {
            return;
        }
        let now = self.instant();
        let shared = self.controllers[index].shared.clone();
        let term = self.controllers[index].requests.term();
        shared.with_cluster_of(term, |cluster| {
            self.controllers[index]
                .requests
                .withdraw_unsent(Some(cluster));
        });
        let Some(leadership) = shared.election.lock().leadership(now) else {
            return;
        };
        self.controllers[index].requests.enter_term(leadership.term);
        let repeated = self.controllers[index].requests.rentals();
        let repeated: Vec<(RequestId, OutstandingRental)> =
            repeated.map(|(id, rental)| (id, rental.clone())).collect();
        for (id, rental) in repeated {
            self.call_cloud(index, id, CloudCall::Rent(rental));
        }
        for RentalDecision { pool, count } in self.decide_fleet(index, leadership.term) {
            let (id, rental) = self.controllers[index].requests.add_rental(&pool, count);
            self.call_cloud(index, id, CloudCall::Rent(rental));
        }
        let releases = self.controllers[index].requests.releases();
        let releases: Vec<(RequestId, Vec<MachineId>)> = releases
            .map(|(id, release)| (id, release.machines.clone()))
            .collect();
        for (id, machines) in releases {
            self.call_cloud(index, id, CloudCall::Release(machines));
        }
    }

    /// Decides on rentals, which are returned, and on releases, which are outstanding from then on.
    fn decide_fleet(&mut self, index: usize, term: Term) -> Vec<RentalDecision> {
        let now = self.instant();
        let machine_list = self.machine_list();
        let mut idle_policy = IdlePolicy::default();
        if self.now_s < self.cloud.idle_released_until {
            idle_policy.idle_factor = 0.0;
        }
        let policy = &self.policy;
        let controller = &mut self.controllers[index];
        let requests = &mut controller.requests;
        let input = CycleInput {
            policy,
            unmet_demand: &controller.unmet_demand,
            capacity_backoff: &controller.capacity_backoff,
            idle_policy,
            now,
        };
        let rentals = controller.shared.with_cluster_of(term, |cluster| {
            cluster.apply_machine_list(&machine_list, now);
            fleet::run_cycle(cluster, requests, input)
        });
        rentals.unwrap_or_default()
    }

    fn call_cloud(&mut self, index: usize, id: RequestId, call: CloudCall) {
        self.controllers[index].cloud_responses_awaited += 1;
        let exchange = CloudExchange {
            index,
            incarnation: self.controllers[index].incarnation,
            id,
            call,
        };
        self.send(Message::CloudRequest(Box::new(exchange)));
    }

    /// Delivers a request to the cloud.
    pub(super) fn receive_cloud_request(&mut self, exchange: Box<CloudExchange>) {
        let fault = self.cloud.fault.filter(|(_, until)| self.now_s < *until);
        let response = match fault.map(|(fault, _)| fault) {
            None => self.execute_cloud_call(&exchange.call),
            Some(CloudFault::Refused) => CloudResponse::Refused,
            Some(CloudFault::RequestsLost) => CloudResponse::TimedOut,
            Some(CloudFault::ResponsesLost) => {
                self.execute_cloud_call(&exchange.call);
                CloudResponse::TimedOut
            }
            Some(CloudFault::ExecutedLate) => {
                let after = self.rng.random_range(2.0..16.0);
                self.deliver_after(after, Message::LateCloudCall(exchange.call.clone()));
                CloudResponse::TimedOut
            }
        };
        let message = Message::CloudResponse(exchange, response.clone());
        if matches!(response, CloudResponse::TimedOut) {
            self.cloud.unanswered_requests += 1;
            self.deliver_after(CLOUD_TIMEOUT_S, message);
        } else {
            self.send(message);
        }
    }

    /// Executes a request. A rental whose idempotency key is known rents nothing more.
    pub(super) fn execute_cloud_call(&mut self, call: &CloudCall) -> CloudResponse {
        match call {
            CloudCall::Release(machines) => {
                for id in machines {
                    self.workers.remove(&*id.0);
                    self.failed_machines.remove(&*id.0);
                }
                CloudResponse::Released
            }
            CloudCall::Rent(rental) => {
                let key = &rental.request.request;
                if let Some(names) = self.cloud.rentals_by_key.get(key) {
                    return CloudResponse::Rented(names.clone());
                }
                let names = self.rent_machines(&rental.pool, rental.request.count);
                if !names.is_empty() {
                    self.cloud.rentals_by_key.insert(key.clone(), names.clone());
                }
                CloudResponse::Rented(names)
            }
        }
    }

    /// Delivers the cloud's response, or the timeout, to the controller that sent the request.
    pub(super) fn receive_cloud_response(
        &mut self,
        exchange: &CloudExchange,
        response: CloudResponse,
    ) {
        let index = exchange.index;
        let to_hold = || Message::CloudResponse(Box::new(exchange.clone()), response.clone());
        if !self.accepts(index, Some(exchange.incarnation), to_hold) {
            return;
        }
        self.controllers[index].cloud_responses_awaited -= 1;
        let outcome = match &response {
            CloudResponse::Released | CloudResponse::Rented(_) => RequestOutcome::Completed,
            CloudResponse::Refused => RequestOutcome::NotExecuted,
            CloudResponse::TimedOut => RequestOutcome::Unknown,
        };
        let shared = self.controllers[index].shared.clone();
        match &exchange.call {
            CloudCall::Release(machines) => {
                if outcome == RequestOutcome::Completed {
                    shared.machines_released(machines);
                }
                let controller = &mut self.controllers[index];
                let mut guard = shared.cluster.lock();
                let term = controller.requests.term();
                let cluster = guard.as_mut().filter(|cluster| cluster.term == term);
                controller
                    .requests
                    .apply_release_outcome(exchange.id, outcome, cluster);
            }
            CloudCall::Rent(rental) => {
                if let CloudResponse::Rented(names) = &response {
                    self.apply_rental(index, &rental.pool, names);
                }
                self.controllers[index]
                    .requests
                    .apply_rental_outcome(exchange.id, outcome);
            }
        }
    }

    fn apply_rental(&mut self, index: usize, pool: &MachinePool, names: &[String]) {
        let now = self.instant();
        let controller = &mut self.controllers[index];
        if let Some(cluster) = controller.shared.cluster.lock().as_mut() {
            cluster.add_rented_machines(names, pool, now);
        }
        if names.is_empty() {
            controller.capacity_backoff.record_exhausted(pool, now);
        }
    }
}
