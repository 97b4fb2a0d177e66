//! The client of the administration interface. It sends the request of a subcommand to one controller.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::{Method, StatusCode};
use awc::Client;
use thiserror::Error;

use crate::cli::AdminAction;

/// Timeout for a controller's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body: the status of 4,000 machines and 20,000 jobs takes about 6 MB.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Why an administration request failed.
#[derive(Debug, Error)]
pub enum AdminClientError {
    /// The file with the settings to send cannot be read.
    #[error("cannot read settings from {path}: {source}")]
    UnreadableFile {
        /// The path as it was given.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// No response was received.
    #[error("no response from {controller}: {source}")]
    NoResponse {
        /// The controller to which the request was sent.
        controller: SocketAddrV4,
        /// The error of the HTTP client.
        source: SendRequestError,
    },
    /// The response was truncated, or its body is too large.
    #[error("incomplete response from {controller}: {source}")]
    IncompleteResponse {
        /// The controller to which the request was sent.
        controller: SocketAddrV4,
        /// The error of the HTTP client.
        source: PayloadError,
    },
    /// The controller responded with an error status.
    #[error("{controller} rejected the request ({status}): {body}")]
    Rejected {
        /// The controller to which the request was sent.
        controller: SocketAddrV4,
        /// The HTTP status of the response.
        status: StatusCode,
        /// The body of the response, which contains the reason.
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

    fn for_action(action: AdminAction) -> Result<Self, AdminClientError> {
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
                body: Some(read_argument(json)?),
            },
            AdminAction::Drain { machine } => Self {
                method: Method::POST,
                path: format!("machines/{machine}/drain"),
                body: None,
            },
        })
    }
}

/// Returns the argument itself, or the contents of the file whose path follows an `@`.
fn read_argument(argument: String) -> Result<String, AdminClientError> {
    let Some(path) = argument.strip_prefix('@') else {
        return Ok(argument);
    };
    std::fs::read_to_string(path).map_err(|source| AdminClientError::UnreadableFile {
        path: path.to_owned(),
        source,
    })
}

/// Sends the request for `action` to `controller` and returns the body of the response.
pub async fn execute(
    controller: SocketAddrV4,
    action: AdminAction,
) -> Result<String, AdminClientError> {
    let request = AdminRequest::for_action(action)?;
    let client = Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let outgoing = client.request(
        request.method,
        format!("http://{controller}/admin/{}", request.path),
    );
    let sent = match request.body {
        Some(body) => outgoing.send_body(body),
        None => outgoing.send(),
    };
    let mut response = sent
        .await
        .map_err(|source| AdminClientError::NoResponse { controller, source })?;
    let status = response.status();
    let body = response
        .body()
        .limit(RESPONSE_BYTES_MAX)
        .await
        .map_err(|source| AdminClientError::IncompleteResponse { controller, source })?;
    let body = String::from_utf8_lossy(&body).into_owned();
    if !status.is_success() {
        return Err(AdminClientError::Rejected {
            controller,
            status,
            body,
        });
    }
    Ok(body)
}
