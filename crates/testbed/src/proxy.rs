//! A loopback TCP proxy for one link, with faults injected separately for each direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES_MAX: usize = 16 * 1024;

/// Treatment of the bytes in one direction of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// Forwards them.
    #[default]
    Pass,
    /// Holds them, and delivers them in order once the direction is [`Flow::Pass`] again.
    Hold,
    /// Drops them. The connection transfers nothing in this direction from then on, and is closed once the
    /// link is healthy.
    Drop,
}

/// Mode of a link. The default forwards all bytes without delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkMode {
    /// Treatment of the bytes from the client to the server.
    pub requests: Flow,
    /// Treatment of the bytes from the server to the client.
    pub responses: Flow,
    /// Whether the proxy closes open connections and, immediately after accepting them, new ones.
    pub refuses_connections: bool,
    /// Additional delay of each chunk, which has at most 16 KiB.
    pub delay: Duration,
    /// Bandwidth limit in bytes per second, for each connection and direction; `None` for no limit.
    pub bytes_per_s: Option<u32>,
}

impl LinkMode {
    /// Holds all bytes in both directions: connections are accepted, but no response arrives.
    pub const BLACKHOLE: Self = Self {
        requests: Flow::Hold,
        responses: Flow::Hold,
        refuses_connections: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Closes open connections and new ones.
    pub const REFUSED: Self = Self {
        requests: Flow::Pass,
        responses: Flow::Pass,
        refuses_connections: true,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Requests arrive, but their responses are dropped.
    pub const RESPONSES_LOST: Self = Self {
        requests: Flow::Pass,
        responses: Flow::Drop,
        refuses_connections: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Requests are dropped.
    pub const REQUESTS_LOST: Self = Self {
        requests: Flow::Drop,
        responses: Flow::Pass,
        refuses_connections: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };

    fn is_healthy(&self) -> bool {
        self.requests == Flow::Pass && self.responses == Flow::Pass && !self.refuses_connections
    }

    fn flow(&self, direction: Direction) -> Flow {
        match direction {
            Direction::Requests => self.requests,
            Direction::Responses => self.responses,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    Requests,
    Responses,
}

/// Control of a proxied link. Clones control the same link.
#[derive(Debug, Clone)]
pub struct Proxy {
    mode: Arc<watch::Sender<LinkMode>>,
    /// Loopback address at which clients of the link connect.
    pub address: String,
}

impl Proxy {
    /// Listens on a loopback address of its own and forwards connections to the address `target`.
    pub fn start(target: &str) -> Self {
        let listener = crate::message::free_listener();
        let address = listener.local_addr().unwrap().to_string();
        listener.set_nonblocking(true).unwrap();
        let target: SocketAddr = target.parse().unwrap();
        let (mode, mode_receiver) = watch::channel(LinkMode::default());
        let proxy = Self {
            mode: Arc::new(mode),
            address,
        };
        actix::spawn(accept_connections(listener, target, mode_receiver));
        proxy
    }

    /// Sets the mode of the link, for open connections as well as new ones.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Ends all faults of the link; held bytes are then delivered.
    pub fn heal(&self) {
        self.set_mode(LinkMode::default());
    }
}

async fn accept_connections(
    listener: std::net::TcpListener,
    target: SocketAddr,
    mode: watch::Receiver<LinkMode>,
) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if mode.borrow().refuses_connections {
            drop(client);
            continue;
        }
        actix::spawn(forward_connection(client, target, mode.clone()));
    }
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<LinkMode>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would delay a small message until the one before it is acknowledged.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = forward(from_client, to_server, Direction::Requests, mode.clone());
    let responses = forward(from_server, to_client, Direction::Responses, mode.clone());
    tokio::select! {
        () = requests => {}
        () = responses => {}
        () = wait_until_refused(mode) => {}
    }
}

/// Returns when the link refuses connections.
async fn wait_until_refused(mut mode: watch::Receiver<LinkMode>) {
    // An error means that all handles of the proxy have been dropped, which closes the connection as well.
    let _ = mode.wait_for(|mode| mode.refuses_connections).await;
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut chunk = vec![0; CHUNK_BYTES_MAX];
    loop {
        let Ok(count) = from.read(&mut chunk).await else {
            return;
        };
        let current_mode = *mode.borrow();
        match current_mode.flow(direction) {
            Flow::Pass => {}
            Flow::Hold => {
                let passes = mode.wait_for(|mode| mode.flow(direction) == Flow::Pass);
                if passes.await.is_err() {
                    return;
                }
            }
            Flow::Drop => {
                let _ = mode.wait_for(LinkMode::is_healthy).await;
                return;
            }
        }
        if count == 0 {
            return;
        }
        let throttle_delay = current_mode.bytes_per_s.map_or(Duration::ZERO, |limit| {
            Duration::from_secs_f64(count as f64 / f64::from(limit.max(1)))
        });
        tokio::time::sleep(current_mode.delay + throttle_delay).await;
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
