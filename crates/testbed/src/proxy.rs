//! A loopback TCP proxy for one link, whose two directions can be cut apart from each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes passed on at once.
const CHUNK: usize = 16 * 1024;

/// What a link does with what goes one way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// Passes it on.
    #[default]
    Pass,
    /// Holds it, and delivers it in order once it passes again.
    Hold,
    /// Loses it. The connection is of no use from then on, and is closed when the link is whole again.
    Lose,
}

/// How a link is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkMode {
    /// From who opened the connection.
    pub requests: Flow,
    /// To who opened the connection.
    pub answers: Flow,
    /// Connections are closed, and new ones at once.
    pub refuse: bool,
    /// Time that each chunk takes longer.
    pub delay: Duration,
    /// Most bytes a second, if there is a limit.
    pub bytes_per_s: Option<u32>,
}

impl LinkMode {
    /// Everything is held in both directions: connections are accepted, and nothing is answered.
    pub const BLACKHOLE: Self = Self {
        requests: Flow::Hold,
        answers: Flow::Hold,
        refuse: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Connections are refused.
    pub const REFUSED: Self = Self {
        requests: Flow::Pass,
        answers: Flow::Pass,
        refuse: true,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Requests arrive, their answers are lost.
    pub const ANSWERS_LOST: Self = Self {
        requests: Flow::Pass,
        answers: Flow::Lose,
        refuse: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };
    /// Requests are lost.
    pub const REQUESTS_LOST: Self = Self {
        requests: Flow::Lose,
        answers: Flow::Pass,
        refuse: false,
        delay: Duration::ZERO,
        bytes_per_s: None,
    };

    fn whole(&self) -> bool {
        self.requests == Flow::Pass && self.answers == Flow::Pass && !self.refuse
    }

    fn flow(&self, direction: Direction) -> Flow {
        match direction {
            Direction::Requests => self.requests,
            Direction::Answers => self.answers,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    Requests,
    Answers,
}

/// The link's switch.
#[derive(Debug, Clone)]
pub struct Proxy {
    mode: Arc<watch::Sender<LinkMode>>,
    /// Where it listens.
    pub address: String,
}

impl Proxy {
    /// Listens on a loopback address of its own and passes connections on to `target`.
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

    /// Makes the link so from now on.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Makes the link whole.
    pub fn heal(&self) {
        self.set(LinkMode::default());
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
        if mode.borrow().refuse {
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
    // Small messages, sent one at a time.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = pump(from_client, to_server, Direction::Requests, mode.clone());
    let answers = pump(from_server, to_client, Direction::Answers, mode.clone());
    tokio::select! {
        () = requests => {}
        () = answers => {}
        () = refused(mode) => {}
    }
}

/// Ends when the link refuses connections.
async fn refused(mut mode: watch::Receiver<LinkMode>) {
    // The switch is gone with the test.
    let _ = mode.wait_for(|mode| mode.refuse).await;
}

async fn pump(
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
            Flow::Lose => {
                let _ = mode.wait_for(LinkMode::whole).await;
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
