//! A TCP relay that delays, resets, silences or cuts one way the connections that pass it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// What a relay does to the connections that pass it.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    // Connections that were open when this was raised are silent.
    silenced: u64,
    // Connections that were open when this was raised are reset.
    reset: u64,
    // Bytes are held back for this time.
    delay_ms: u64,
    // Bytes from the target are lost.
    one_way: bool,
}

/// A relay to one address. It stops accepting when dropped.
pub struct Relay {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
}

impl Relay {
    /// Starts a relay to `target` on any port of this host.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let faults = watch::Sender::new(Faults::default());
        tokio::spawn(accept(listener, target, faults.subscribe()));
        Ok(Self { address, faults })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all connections that are open now silent for good: they stay open, and what is sent
    /// over them is lost.
    pub fn silence_open_connections(&self) {
        self.faults.send_modify(|faults| faults.silenced += 1);
    }

    /// Resets all connections that are open now.
    pub fn reset_open_connections(&self) {
        self.faults.send_modify(|faults| faults.reset += 1);
    }

    /// Holds bytes back for a time, in both directions.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.faults.send_modify(|faults| faults.delay_ms = delay_ms);
    }

    /// Loses what the target sends, or no longer does.
    pub fn set_one_way(&self, one_way: bool) {
        self.faults.send_modify(|faults| faults.one_way = one_way);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut faults: watch::Receiver<Faults>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = faults.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(relay(stream, target, faults.clone()));
        }
    }
}

async fn relay(from: TcpStream, target: SocketAddr, mut faults: watch::Receiver<Faults>) {
    let at_start = *faults.borrow_and_update();
    let Ok(to) = TcpStream::connect(target).await else {
        return;
    };
    let (from_reader, from_writer) = from.into_split();
    let (to_reader, to_writer) = to.into_split();
    let up = copy(from_reader, to_writer, faults.clone(), at_start, false);
    let down = copy(to_reader, from_writer, faults.clone(), at_start, true);
    let reset = async {
        // Ends with the relay as well as with a reset.
        let _ = faults.wait_for(|now| now.reset != at_start.reset).await;
    };
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        () = reset => {}
    }
}

async fn copy<R, W>(
    mut reader: R,
    mut writer: W,
    faults: watch::Receiver<Faults>,
    at_start: Faults,
    from_target: bool,
) where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await;
        let now = *faults.borrow();
        let is_silent = now.silenced != at_start.silenced;
        let read_bytes = match read {
            Ok(0) | Err(_) if is_silent => std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(read_bytes) => read_bytes,
        };
        if is_silent || (from_target && now.one_way) {
            continue;
        }
        if now.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(now.delay_ms)).await;
        }
        if writer.write_all(&buffer[..read_bytes]).await.is_err() {
            return;
        }
    }
}
