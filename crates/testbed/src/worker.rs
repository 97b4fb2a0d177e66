//! A stand-in for a worker: reports, leases, sessions, tokens and commands by the published protocol.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ciborium::{cbor, Value};

use crate::cloud::WorkerTimes;
use crate::history::{Event, History};
use crate::message::{decode, encode, field, number, text};

/// A worker gives an answer up after that time.
const ANSWER_DROPPED: Duration = Duration::from_secs(4);

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
    session: u64,
    sequence: u64,
    token: u64,
    /// Sending of the last answered report, or the beginning of the session.
    lease_from: Instant,
    tasks: Vec<Task>,
}

/// One machine.
pub struct Worker {
    name: String,
    /// Where it takes direct commands.
    pub address: String,
    /// Its zone.
    pub zone: String,
    controllers: Vec<String>,
    times: WorkerTimes,
    history: History,
    state: Mutex<State>,
}

impl Worker {
    /// A worker that has just come up, and the ways by which it reaches the controllers.
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
                session: 1,
                sequence: 0,
                token: 0,
                lease_from: Instant::now(),
                tasks: Vec::new(),
            }),
        }
    }

    /// The machine is gone, and all that was on it.
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
        self.history.add(Event::Ended {
            task: task.to_owned(),
            machine: self.name.clone(),
        });
    }

    /// What time alone brings: the end of the lease, and of tasks.
    fn tick(&self, state: &mut State) {
        let now = Instant::now();
        if now.duration_since(state.lease_from) > self.times.lease {
            self.kill_all(state);
            state.session += 1;
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

    /// The report as it is now, with the next number.
    pub fn report(&self) -> Value {
        let mut state = self.state.lock().unwrap();
        self.tick(&mut state);
        state.sequence += 1;
        let tasks: Vec<Value> = state.tasks.iter().map(reported).collect();
        let report = cbor!({
            "host" => self.name, "address" => self.address, "build" => "cpu16",
            "yard" => self.zone, "loaners" => false, "tenure" => state.session,
            "tally" => state.sequence, "baton" => state.token, "recallS" => null,
            "strands" => tasks
        });
        report.unwrap()
    }

    /// Executes a direct command; whether it was, and the report after it.
    pub fn command(&self, body: &Value) -> (bool, Value) {
        let executed = {
            let mut state = self.state.lock().unwrap();
            self.tick(&mut state);
            let (token, session) = (number(body, "baton"), number(body, "tenure"));
            let valid = token >= state.token && session == state.session;
            if valid {
                state.token = token;
                self.execute(&mut state, body, token);
            }
            valid
        };
        (executed, self.report())
    }

    /// Takes the 200 to a report that was sent at `sent` in `session`.
    fn answered(&self, sent: Instant, session: u64, body: &Value) {
        let mut state = self.state.lock().unwrap();
        self.tick(&mut state);
        let token = number(body, "baton");
        let dropped = session != state.session || token < state.token || !state.up;
        if dropped || sent.elapsed() > ANSWER_DROPPED {
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
                    self.history.add(Event::Started {
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

fn reported(task: &Task) -> Value {
    let (id, attempt) = (task.id.as_str(), task.attempt);
    let report = match task.state {
        TaskState::Running(_) => cbor!({"strand" => id, "try" => attempt, "status" => "running"}),
        TaskState::Done => {
            cbor!({"strand" => id, "try" => attempt, "status" => "exited", "cause" => "done"})
        }
        TaskState::Stopped => {
            cbor!({"strand" => id, "try" => attempt, "status" => "exited", "cause" => "stopped"})
        }
    };
    report.unwrap()
}

/// The worker's loop: one report under way at a time, to one controller at a time.
pub async fn run(worker: Arc<Worker>) {
    let http = awc::Client::builder().timeout(ANSWER_DROPPED).finish();
    let mut at = 0;
    while worker.up() && !worker.controllers.is_empty() {
        tokio::time::sleep(worker.times.report).await;
        let report = worker.report();
        let session = number(&report, "tenure");
        let url = format!("http://{}/hello", worker.controllers[at]);
        let sent = Instant::now();
        let answer = http.post(url).send_body(encode(&report)).await;
        let next = (at + 1) % worker.controllers.len();
        let Ok(mut answer) = answer else {
            at = next;
            tokio::time::sleep(worker.times.next_controller).await;
            continue;
        };
        let body = answer.body().await;
        let body = body.map_or(Value::Null, |bytes| decode(&bytes));
        match answer.status().as_u16() {
            200 => worker.answered(sent, session, &body),
            421 => at = named(&text(&body, "answerTo"), &worker, at).unwrap_or(next),
            _ => {
                at = next;
                tokio::time::sleep(worker.times.next_controller).await;
            }
        }
    }
}

/// The controller of that name, if it is another one. They are named `knot-0` and so on.
fn named(name: &str, worker: &Worker, at: usize) -> Option<usize> {
    let number: usize = name.strip_prefix("knot-")?.parse().ok()?;
    (number != at && number < worker.controllers.len()).then_some(number)
}
