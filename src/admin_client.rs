//! The client of the administration interface: one request to one controller, as the command line
//! asks for it.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::{Method, StatusCode};
use awc::Client;
use thiserror::Error;

use crate::cli::AdminAction;

/// Time for a controller's answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body: the status of 4,000 machines and 20,000 jobs has some 6 MB.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Why an administration request brought no result.
#[derive(Debug, Error)]
pub enum AdminClientError {
    /// The file with the settings to send can't be read.
    #[error("cannot read {path}: {source}")]
    UnreadableFile {
        /// The path as it was given.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// There was no response.
    #[error("{node} does not answer: {source}")]
    NoResponse {
        /// The controller that was asked.
        node: SocketAddrV4,
        /// The error of the HTTP client.
        source: SendRequestError,
    },
    /// The response ended before its body was complete, or the body is too large.
    #[error("{node} broke off: {source}")]
    IncompleteResponse {
        /// The controller that was asked.
        node: SocketAddrV4,
        /// The error of the HTTP client.
        source: PayloadError,
    },
    /// The controller answered with an error status.
    #[error("{node} refuses ({status}): {body}")]
    Refused {
        /// The controller that was asked.
        node: SocketAddrV4,
        /// Its status.
        status: StatusCode,
        /// Its body, which gives the reason.
        body: String,
    },
}

/// A request to the administration interface.
struct AdminRequest {
    method: Method,
    path: String,
    body: Option<String>,
}

impl AdminRequest {
    fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: None,
        }
    }

    fn from_action(action: AdminAction) -> Result<Self, AdminClientError> {
        Ok(match action {
            AdminAction::Status => Self::get("status"),
            AdminAction::Job { id } => Self::get(format!("jobs/{id}")),
            AdminAction::Machine { name } => Self::get(format!("machines/{name}")),
            AdminAction::Metrics => Self::get("metrics"),
            AdminAction::Links => Self::get("links"),
            AdminAction::Settings => Self::get("settings"),
            AdminAction::Set { json } => Self {
                method: Method::PUT,
                path: "settings".to_owned(),
                body: Some(inline_or_file(json)?),
            },
            AdminAction::Drain { machine } => Self {
                method: Method::POST,
                path: format!("machines/{machine}/drain"),
                body: None,
            },
        })
    }
}

/// The argument itself, or the contents of the file that it names after an `@`.
fn inline_or_file(argument: String) -> Result<String, AdminClientError> {
    let Some(path) = argument.strip_prefix('@') else {
        return Ok(argument);
    };
    std::fs::read_to_string(path).map_err(|source| AdminClientError::UnreadableFile {
        path: path.to_owned(),
        source,
    })
}

/// Carries an action out at `node` and returns the body of its response.
pub async fn execute(node: SocketAddrV4, action: AdminAction) -> Result<String, AdminClientError> {
    let request = AdminRequest::from_action(action)?;
    let client = Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let outgoing = client.request(
        request.method,
        format!("http://{node}/admin/{}", request.path),
    );
    let sent = match request.body {
        Some(body) => outgoing.send_body(body),
        None => outgoing.send(),
    };
    let mut response = sent
        .await
        .map_err(|source| AdminClientError::NoResponse { node, source })?;
    let status = response.status();
    let body = response
        .body()
        .limit(RESPONSE_BYTES_MAX)
        .await
        .map_err(|source| AdminClientError::IncompleteResponse { node, source })?;
    let body = String::from_utf8_lossy(&body).into_owned();
    if !status.is_success() {
        return Err(AdminClientError::Refused { node, status, body });
    }
    Ok(body)
}
