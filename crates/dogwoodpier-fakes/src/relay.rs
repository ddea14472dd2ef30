//! A TCP relay that can delay or reset the connections that pass through it, or discard their bytes
//! in one or both directions.

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

/// Faults that a relay injects into the connections that pass through it.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    // Incremented to silence all open connections: a connection that started at a lower value
    // discards all bytes.
    silence_count: u64,
    // Incremented to reset all open connections: a connection that started at a lower value is
    // closed.
    reset_count: u64,
    // Delay before bytes are forwarded, in both directions.
    delay_ms: u64,
    // True to discard the bytes that the target sends.
    one_way: bool,
}

/// A relay to one address. Dropping it stops the listener and closes the open connections.
pub struct Relay {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
}

impl Relay {
    /// Starts a relay to `target` on a free port of this host.
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

    /// Silences all open connections permanently: they stay open, but the relay discards all bytes
    /// sent over them. New connections are not affected.
    pub fn silence_open_connections(&self) {
        self.faults.send_modify(|faults| faults.silence_count += 1);
    }

    /// Closes all open connections and drops bytes in flight. New connections are not affected.
    pub fn reset_open_connections(&self) {
        self.faults.send_modify(|faults| faults.reset_count += 1);
    }

    /// Sets the delay before bytes are forwarded, in both directions.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.faults.send_modify(|faults| faults.delay_ms = delay_ms);
    }

    /// Sets whether the bytes that the target sends are discarded.
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
    let faults_at_start = *faults.borrow_and_update();
    let Ok(to) = TcpStream::connect(target).await else {
        return;
    };
    let (from_reader, from_writer) = from.into_split();
    let (to_reader, to_writer) = to.into_split();
    let up = forward(
        from_reader,
        to_writer,
        faults.clone(),
        faults_at_start,
        false,
    );
    let down = forward(
        to_reader,
        from_writer,
        faults.clone(),
        faults_at_start,
        true,
    );
    let reset = async {
        // Returns on a reset and also when the relay is dropped.
        let _ = faults
            .wait_for(|current| current.reset_count != faults_at_start.reset_count)
            .await;
    };
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        () = reset => {}
    }
}

async fn forward<R, W>(
    mut reader: R,
    mut writer: W,
    faults: watch::Receiver<Faults>,
    faults_at_start: Faults,
    from_target: bool,
) where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await;
        let current = *faults.borrow();
        let is_silent = current.silence_count != faults_at_start.silence_count;
        let read_bytes = match read {
            Ok(0) | Err(_) if is_silent => std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(read_bytes) => read_bytes,
        };
        if is_silent || (from_target && current.one_way) {
            continue;
        }
        if current.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(current.delay_ms)).await;
        }
        if writer.write_all(&buffer[..read_bytes]).await.is_err() {
            return;
        }
    }
}
