//! A stand-in for a worker agent: heartbeats, leases, epochs, fencing tokens and commands by the published
//! protocol.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ciborium::{cbor, Value};

use crate::cloud::WorkerTimes;
use crate::history::{Event, History};
use crate::message::{decode, encode, field, number, text};

/// Timeout after which a worker drops the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskState {
    Running(Instant),
    Done,
    Stopped,
}

#[derive(Debug)]
struct Task {
    id: String,
    attempt: u64,
    state: TaskState,
}

#[derive(Debug)]
struct State {
    up: bool,
    epoch: u64,
    sequence: u64,
    token: u64,
    /// Sending time of the last answered heartbeat, or the start of the epoch.
    lease_from: Instant,
    tasks: Vec<Task>,
}

/// The agent of one machine.
pub struct Worker {
    name: String,
    /// Its address for direct commands.
    pub address: String,
    /// Its zone.
    pub zone: String,
    controllers: Vec<String>,
    times: WorkerTimes,
    history: History,
    state: Mutex<State>,
}

impl Worker {
    /// A worker that has just started, with its routes to the controllers.
    pub fn new(
        name: &str,
        zone: &str,
        address: String,
        controllers: Vec<String>,
        times: WorkerTimes,
        history: History,
    ) -> Self {
        Self {
            name: name.to_owned(),
            address,
            zone: zone.to_owned(),
            controllers,
            times,
            history,
            state: Mutex::new(State {
                up: true,
                epoch: 1,
                sequence: 0,
                token: 0,
                lease_from: Instant::now(),
                tasks: Vec::new(),
            }),
        }
    }

    /// The machine is released, and its tasks end.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        self.kill_all(&mut state);
    }

    fn kill_all(&self, state: &mut State) {
        for task in std::mem::take(&mut state.tasks) {
            if matches!(task.state, TaskState::Running(_)) {
                self.ended(&task.id);
            }
        }
    }

    fn ended(&self, task: &str) {
        self.history.record(Event::Ended {
            task: task.to_owned(),
            machine: self.name.clone(),
        });
    }

    /// Applies what is due by time: the expiry of the lease, and the end of tasks.
    fn tick(&self, state: &mut State) {
        let now = Instant::now();
        if now.duration_since(state.lease_from) > self.times.lease {
            self.kill_all(state);
            state.epoch += 1;
            state.lease_from = now;
        }
        for task in &mut state.tasks {
            let TaskState::Running(since) = task.state else {
                continue;
            };
            if now.duration_since(since) >= self.times.run {
                task.state = TaskState::Done;
                self.ended(&task.id);
            }
        }
    }

    /// The next heartbeat, with its sequence number.
    pub fn heartbeat(&self) -> Value {
        let mut state = self.state.lock().unwrap();
        self.tick(&mut state);
        state.sequence += 1;
        let tasks: Vec<Value> = state.tasks.iter().map(task_status).collect();
        let heartbeat = cbor!({
            "host" => self.name, "address" => self.address, "build" => "cpu16",
            "yard" => self.zone, "loaners" => false, "tenure" => state.epoch,
            "tally" => state.sequence, "baton" => state.token, "recallS" => null,
            "strands" => tasks
        });
        heartbeat.unwrap()
    }

    /// Executes a direct command. Returns whether it was accepted, and the heartbeat after it.
    pub fn command(&self, body: &Value) -> (bool, Value) {
        let executed = {
            let mut state = self.state.lock().unwrap();
            self.tick(&mut state);
            let (token, epoch) = (number(body, "baton"), number(body, "tenure"));
            let valid = token >= state.token && epoch == state.epoch;
            if valid {
                state.token = token;
                self.execute(&mut state, body, token);
            }
            valid
        };
        (executed, self.heartbeat())
    }

    /// Handles the 200 response to a heartbeat sent at `sent` in `epoch`.
    fn answered(&self, sent: Instant, epoch: u64, body: &Value) {
        let mut state = self.state.lock().unwrap();
        self.tick(&mut state);
        let token = number(body, "baton");
        let dropped = epoch != state.epoch || token < state.token || !state.up;
        if dropped || sent.elapsed() > RESPONSE_TIMEOUT {
            return;
        }
        state.token = token;
        state.lease_from = sent;
        self.execute(&mut state, body, token);
    }

    fn execute(&self, state: &mut State, body: &Value, token: u64) {
        let Some(Value::Array(orders)) = field(body, "orders") else {
            return;
        };
        for order in orders {
            let (id, attempt) = (text(order, "strand"), number(order, "try"));
            let found = state
                .tasks
                .iter()
                .position(|task| task.id == id && task.attempt == attempt);
            match (text(order, "verb").as_str(), found) {
                ("run", None) => {
                    self.history.record(Event::Started {
                        task: id.clone(),
                        attempt,
                        machine: self.name.clone(),
                        token,
                    });
                    state.tasks.push(Task {
                        id,
                        attempt,
                        state: TaskState::Running(Instant::now()),
                    });
                }
                ("kill", Some(at)) => {
                    let task = &mut state.tasks[at];
                    if matches!(task.state, TaskState::Running(_)) {
                        task.state = TaskState::Stopped;
                        self.ended(&id);
                    }
                }
                ("clear", Some(at)) => {
                    let running = matches!(state.tasks[at].state, TaskState::Running(_));
                    if !running {
                        state.tasks.remove(at);
                    }
                }
                _ => {}
            }
        }
    }

    fn up(&self) -> bool {
        self.state.lock().unwrap().up
    }
}

fn task_status(task: &Task) -> Value {
    let (id, attempt) = (task.id.as_str(), task.attempt);
    let status = match task.state {
        TaskState::Running(_) => cbor!({"strand" => id, "try" => attempt, "status" => "running"}),
        TaskState::Done => {
            cbor!({"strand" => id, "try" => attempt, "status" => "exited", "cause" => "done"})
        }
        TaskState::Stopped => {
            cbor!({"strand" => id, "try" => attempt, "status" => "exited", "cause" => "stopped"})
        }
    };
    status.unwrap()
}

/// The worker's loop: one heartbeat in flight at a time, to one controller at a time.
pub async fn run(worker: Arc<Worker>) {
    let http = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let mut at = 0;
    while worker.up() && !worker.controllers.is_empty() {
        tokio::time::sleep(worker.times.heartbeat).await;
        let heartbeat = worker.heartbeat();
        let epoch = number(&heartbeat, "tenure");
        let url = format!("http://{}/hello", worker.controllers[at]);
        let sent = Instant::now();
        let answer = http.post(url).send_body(encode(&heartbeat)).await;
        let next = (at + 1) % worker.controllers.len();
        let Ok(mut answer) = answer else {
            at = next;
            tokio::time::sleep(worker.times.next_controller).await;
            continue;
        };
        let body = answer.body().await;
        let body = body.map_or(Value::Null, |bytes| decode(&bytes));
        match answer.status().as_u16() {
            200 => worker.answered(sent, epoch, &body),
            421 => at = controller_named(&text(&body, "answerTo"), &worker, at).unwrap_or(next),
            _ => {
                at = next;
                tokio::time::sleep(worker.times.next_controller).await;
            }
        }
    }
}

/// The controller with this name, unless it is the present one. They are named `knot-0` and so on.
fn controller_named(name: &str, worker: &Worker, at: usize) -> Option<usize> {
    let number: usize = name.strip_prefix("knot-")?.parse().ok()?;
    (number != at && number < worker.controllers.len()).then_some(number)
}
