//! A stand-in for the agent of a machine: heartbeats, leases, epochs, fencing tokens and commands as the
//! published protocol defines them.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ciborium::{cbor, Value};

use crate::cloud::WorkerTimes;
use crate::history::{Event, History};
use crate::message::{decode, encode, field, number, text};

/// Time after the sending of a heartbeat from which an agent discards the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskState {
    /// Contains the time at which the task started.
    Running(Instant),
    Done,
    Terminated,
}

#[derive(Debug)]
struct Task {
    id: String,
    attempt: u64,
    state: TaskState,
}

#[derive(Debug)]
struct WorkerState {
    /// `false` once the machine is released.
    is_running: bool,
    /// Advanced when the worker lease expires.
    epoch: u64,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Highest fencing token received.
    token: u64,
    /// Time at which the last acknowledged heartbeat was sent, or at which the epoch began.
    lease_renewed_at: Instant,
    tasks: Vec<Task>,
}

/// The agent of one machine.
pub struct Worker {
    name: String,
    /// Address at which the machine receives direct commands.
    pub address: String,
    /// Name of the machine's zone.
    pub zone: String,
    /// Addresses of the controllers, in the order of their names.
    controllers: Vec<String>,
    times: WorkerTimes,
    history: History,
    state: Mutex<WorkerState>,
}

impl Worker {
    /// Creates an agent without tasks, in epoch 1. `controllers` are the addresses at which it reaches them,
    /// in the order of their names.
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
            state: Mutex::new(WorkerState {
                is_running: true,
                epoch: 1,
                sequence: 0,
                token: 0,
                lease_renewed_at: Instant::now(),
                tasks: Vec::new(),
            }),
        }
    }

    /// Terminates all tasks and ends the heartbeats. Called when the machine is released.
    pub fn terminate(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_running = false;
        self.terminate_all_tasks(&mut state);
    }

    fn terminate_all_tasks(&self, state: &mut WorkerState) {
        for task in std::mem::take(&mut state.tasks) {
            if matches!(task.state, TaskState::Running(_)) {
                self.record_end(&task.id);
            }
        }
    }

    fn record_end(&self, task: &str) {
        self.history.record(Event::Ended {
            task: task.to_owned(),
            machine: self.name.clone(),
        });
    }

    /// Applies what has happened by the current time: the worker lease expires, and tasks finish.
    fn apply_elapsed_time(&self, state: &mut WorkerState) {
        let now = Instant::now();
        if now.duration_since(state.lease_renewed_at) > self.times.lease_duration {
            self.terminate_all_tasks(state);
            state.epoch += 1;
            state.lease_renewed_at = now;
        }
        for task in &mut state.tasks {
            let TaskState::Running(since) = task.state else {
                continue;
            };
            if now.duration_since(since) >= self.times.task_duration {
                task.state = TaskState::Done;
                self.record_end(&task.id);
            }
        }
    }

    /// Returns the next heartbeat; each one has a higher sequence number.
    pub fn heartbeat(&self) -> Value {
        let mut state = self.state.lock().unwrap();
        self.apply_elapsed_time(&mut state);
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

    /// Executes direct commands, unless their token is lower than the last one or their epoch is another one.
    /// Returns whether they were executed, and a heartbeat with the state afterwards.
    pub fn execute_direct_commands(&self, body: &Value) -> (bool, Value) {
        let executed = {
            let mut state = self.state.lock().unwrap();
            self.apply_elapsed_time(&mut state);
            let (token, epoch) = (number(body, "baton"), number(body, "tenure"));
            let valid = token >= state.token && epoch == state.epoch;
            if valid {
                state.token = token;
                self.execute_commands(&mut state, body, token);
            }
            valid
        };
        (executed, self.heartbeat())
    }

    /// Handles the response with status 200 to a heartbeat that was sent at `sent_at` in `epoch`.
    fn handle_response(&self, sent_at: Instant, epoch: u64, body: &Value) {
        let mut state = self.state.lock().unwrap();
        self.apply_elapsed_time(&mut state);
        let token = number(body, "baton");
        let outdated = epoch != state.epoch || token < state.token || !state.is_running;
        if outdated || sent_at.elapsed() > RESPONSE_TIMEOUT {
            return;
        }
        state.token = token;
        state.lease_renewed_at = sent_at;
        self.execute_commands(&mut state, body, token);
    }

    fn execute_commands(&self, state: &mut WorkerState, body: &Value, token: u64) {
        let Some(Value::Array(commands)) = field(body, "orders") else {
            return;
        };
        for command in commands {
            let (id, attempt) = (text(command, "strand"), number(command, "try"));
            let position = state
                .tasks
                .iter()
                .position(|task| task.id == id && task.attempt == attempt);
            match (text(command, "verb").as_str(), position) {
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
                ("kill", Some(index)) => {
                    let task = &mut state.tasks[index];
                    if matches!(task.state, TaskState::Running(_)) {
                        task.state = TaskState::Terminated;
                        self.record_end(&id);
                    }
                }
                ("clear", Some(index)) => {
                    let running = matches!(state.tasks[index].state, TaskState::Running(_));
                    if !running {
                        state.tasks.remove(index);
                    }
                }
                _ => {}
            }
        }
    }

    fn is_running(&self) -> bool {
        self.state.lock().unwrap().is_running
    }
}

fn task_status(task: &Task) -> Value {
    let (id, attempt) = (task.id.as_str(), task.attempt);
    let status = match task.state {
        TaskState::Running(_) => cbor!({"strand" => id, "try" => attempt, "status" => "running"}),
        TaskState::Done => {
            cbor!({"strand" => id, "try" => attempt, "status" => "exited", "cause" => "done"})
        }
        TaskState::Terminated => {
            cbor!({"strand" => id, "try" => attempt, "status" => "exited", "cause" => "stopped"})
        }
    };
    status.unwrap()
}

/// Sends heartbeats, one at a time, until the machine is released. An agent stays with one controller until a
/// heartbeat fails or a 421 response names another one.
pub async fn send_heartbeats(worker: Arc<Worker>) {
    let http = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let mut index = 0;
    while worker.is_running() && !worker.controllers.is_empty() {
        tokio::time::sleep(worker.times.heartbeat_interval).await;
        let heartbeat = worker.heartbeat();
        let epoch = number(&heartbeat, "tenure");
        let url = format!("http://{}/hello", worker.controllers[index]);
        let sent_at = Instant::now();
        let result = http.post(url).send_body(encode(&heartbeat)).await;
        let next = (index + 1) % worker.controllers.len();
        let Ok(mut response) = result else {
            index = next;
            tokio::time::sleep(worker.times.failover_delay).await;
            continue;
        };
        let body = response.body().await;
        let body = body.map_or(Value::Null, |bytes| decode(&bytes));
        match response.status().as_u16() {
            200 => worker.handle_response(sent_at, epoch, &body),
            421 => index = index_by_name(&text(&body, "answerTo"), &worker, index).unwrap_or(next),
            _ => {
                index = next;
                tokio::time::sleep(worker.times.failover_delay).await;
            }
        }
    }
}

/// Returns the index of the controller with this name (`knot-0` and so on); `None` if the name is unknown or
/// is that of the current controller.
fn index_by_name(name: &str, worker: &Worker, current: usize) -> Option<usize> {
    let index: usize = name.strip_prefix("knot-")?.parse().ok()?;
    (index != current && index < worker.controllers.len()).then_some(index)
}
