//! A loopback TCP proxy for one link, with fault injection for each direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes forwarded at once.
const CHUNK: usize = 16 * 1024;

/// Treatment of the bytes in one direction of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// Forwards them.
    #[default]
    Pass,
    /// Holds them, and delivers them in order once the direction passes again.
    Hold,
    /// Drops them. The connection is unusable from then on, and is closed once the link is healed.
    Drop,
}

/// Mode of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkMode {
    /// Direction from the client.
    pub requests: Flow,
    /// Direction to the client.
    pub responses: Flow,
    /// Whether connections are closed, including new ones.
    pub refuses_connections: bool,
    /// Additional delay of each chunk.
    pub delay: Duration,
    /// Bandwidth limit in bytes per second.
    pub bytes_per_s: Option<u32>,
}

impl LinkMode {
    /// Everything is held in both directions: connections are accepted, and nothing is answered.
    pub const BLACKHOLE: Self = Self {
        requests: Flow::Hold,
        responses: Flow::Hold,
        refuses_connections: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Connections are refused.
    pub const REFUSED: Self = Self {
        requests: Flow::Pass,
        responses: Flow::Pass,
        refuses_connections: true,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Requests arrive, their responses are lost.
    pub const RESPONSES_LOST: Self = Self {
        requests: Flow::Pass,
        responses: Flow::Drop,
        refuses_connections: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Requests are lost.
    pub const REQUESTS_LOST: Self = Self {
        requests: Flow::Drop,
        responses: Flow::Pass,
        refuses_connections: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };

    fn healthy(&self) -> bool {
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

/// Control of a proxied link.
#[derive(Debug, Clone)]
pub struct Proxy {
    mode: Arc<watch::Sender<LinkMode>>,
    /// Its listen address.
    pub address: String,
}

impl Proxy {
    /// Listens on a loopback address of its own and forwards connections to `target`.
    pub fn start(target: &str) -> Self {
        let listener = crate::message::free_listener();
        let address = listener.local_addr().unwrap().to_string();
        listener.set_nonblocking(true).unwrap();
        let target: SocketAddr = target.parse().unwrap();
        let (mode, watched) = watch::channel(LinkMode::default());
        let proxy = Self {
            mode: Arc::new(mode),
            address,
        };
        actix::spawn(accept(listener, target, watched));
        proxy
    }

    /// Sets the mode of the link.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Ends all faults of the link.
    pub fn heal(&self) {
        self.set_mode(LinkMode::default());
    }
}

async fn accept(
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
        actix::spawn(connect(client, target, mode.clone()));
    }
}

async fn connect(client: TcpStream, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Small messages are sent one at a time and must not wait for each other.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = forward(from_client, to_server, Direction::Requests, mode.clone());
    let responses = forward(from_server, to_client, Direction::Responses, mode.clone());
    tokio::select! {
        () = requests => {}
        () = responses => {}
        () = refused(mode) => {}
    }
}

/// Completes when the link refuses connections.
async fn refused(mut mode: watch::Receiver<LinkMode>) {
    // An error means that the test has dropped the proxy.
    let _ = mode.wait_for(|mode| mode.refuses_connections).await;
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let Ok(count) = from.read(&mut chunk).await else {
            return;
        };
        let now = *mode.borrow();
        match now.flow(direction) {
            Flow::Pass => {}
            Flow::Hold => {
                let passes = mode.wait_for(|mode| mode.flow(direction) == Flow::Pass);
                if passes.await.is_err() {
                    return;
                }
            }
            Flow::Drop => {
                let _ = mode.wait_for(LinkMode::healthy).await;
                return;
            }
        }
        if count == 0 {
            return;
        }
        let throttled = now.bytes_per_s.map_or(Duration::ZERO, |limit| {
            Duration::from_secs_f64(count as f64 / f64::from(limit.max(1)))
        });
        tokio::time::sleep(now.delay + throttled).await;
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
