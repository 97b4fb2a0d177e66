//! Users: submissions, polls and cancellations, sent to a node that the load balancer might choose.

use std::time::Duration;

use ciborium::{cbor, Value};
use knotlanding_testbed::message::{decode, encode, text};

use crate::record::Record;

#[derive(Clone)]
pub struct Users {
    http: awc::Client,
    record: Record,
}

/// An array of small tasks of one team.
pub fn array(id: &str, tasks: u64, cores: f64, expect_s: f64) -> Value {
    cbor!({
        "nameId" => id, "lane" => "loadcast", "owner" => "gridops", "shape" => "array",
        "rank" => "standard", "strands" => tasks, "cores" => cores, "cards" => 0.0,
        "ramGb" => 0.1, "bundle" => "img-01", "sizeGb" => 0.1, "builds" => null,
        "yard" => null, "oneZone" => false, "apart" => false, "loaners" => true,
        "expectS" => expect_s, "markEveryS" => 0.0, "markCostS" => 0.0, "dueS" => null
    })
    .unwrap()
}

impl Users {
    pub fn new(record: Record) -> Self {
        let connector = awc::Connector::new().limit(1000);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(Duration::from_secs(5))
            .finish();
        Self { http, record }
    }

    /// Submits a job; returns the status, or 0 without a response within 5 s.
    pub async fn submit(&self, node: &str, job: &Value) -> u16 {
        let sent = self
            .http
            .post(format!("http://{node}/api/jobs"))
            .send_body(encode(job))
            .await;
        let status = sent.map_or(0, |response| response.status().as_u16());
        self.record.line(format!(
            "user: submit {} at {node}: {status}",
            text(job, "nameId")
        ));
        status
    }

    /// Submits a job until it is accepted, as users do, for up to 60 s.
    pub async fn submit_until_accepted(&self, nodes: &[String], job: &Value) -> bool {
        for attempt in 0..50 {
            let node = &nodes[attempt % nodes.len()];
            match self.submit(node, job).await {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => actix::clock::sleep(Duration::from_secs(1)).await,
            }
        }
        false
    }

    /// Polls a job: the status of the job, `404`, or nothing without such an answer within 2 s.
    pub async fn poll(&self, node: &str, id: &str) -> Option<String> {
        let request = self.http.get(format!("http://{node}/api/jobs/{id}"));
        let mut response = request.timeout(Duration::from_secs(2)).send().await.ok()?;
        match response.status().as_u16() {
            200 => {
                let status = text(&decode(&response.body().await.ok()?), "status");
                self.record
                    .line(format!("user: poll {id} at {node}: {status}"));
                Some(status)
            }
            404 => Some("404".to_owned()),
            _ => None,
        }
    }

    /// Asks once to cancel a job: the status of the job in a 200, or nothing.
    pub async fn cancel(&self, node: &str, id: &str) -> Option<String> {
        let sent = self
            .http
            .post(format!("http://{node}/api/jobs/{id}/abort"))
            .send()
            .await;
        let mut answer = None;
        let mut code = 0;
        if let Ok(mut response) = sent {
            code = response.status().as_u16();
            if code == 200 {
                let body = response.body().await.ok()?;
                answer = Some(text(&decode(&body), "status"));
            }
        }
        self.record
            .line(format!("user: abort {id} at {node}: {code} {answer:?}"));
        answer
    }

    /// `GET /up`: the status, or nothing without a response within 1 s.
    pub async fn up(&self, node: &str) -> Option<u16> {
        // A new connection for each probe.
        let request = self.http.get(format!("http://{node}/up")).force_close();
        let sent = request.timeout(Duration::from_secs(1)).send().await;
        sent.ok().map(|response| response.status().as_u16())
    }
}
