//! A TCP relay whose open connections can go silent while new ones work.

use std::net::SocketAddr;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// A relay to one address. It stops accepting when dropped.
pub struct Relay {
    address: SocketAddr,
    silenced: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay to `target` on any port of this host.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let silenced = watch::Sender::new(0);
        tokio::spawn(accept(listener, target, silenced.subscribe()));
        Ok(Self { address, silenced })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all connections that are open now silent for good: they stay open, and what is sent
    /// over them is lost.
    pub fn silence_open_connections(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut silenced: watch::Receiver<u64>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = silenced.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(relay(stream, target, silenced.clone()));
        }
    }
}

async fn relay(from: TcpStream, target: SocketAddr, mut silenced: watch::Receiver<u64>) {
    silenced.borrow_and_update();
    let Ok(to) = TcpStream::connect(target).await else {
        return;
    };
    let (from_reader, from_writer) = from.into_split();
    let (to_reader, to_writer) = to.into_split();
    tokio::join!(
        copy(from_reader, to_writer, silenced.clone()),
        copy(to_reader, from_writer, silenced),
    );
}

async fn copy<R, W>(mut reader: R, mut writer: W, mut silenced: watch::Receiver<u64>)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_silent = false;
    loop {
        let read = tokio::select! {
            read = reader.read(&mut buffer) => read,
            Ok(()) = silenced.changed() => {
                is_silent = true;
                continue;
            }
        };
        let read_bytes = match read {
            Ok(0) | Err(_) if is_silent => std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(read_bytes) => read_bytes,
        };
        if !is_silent && writer.write_all(&buffer[..read_bytes]).await.is_err() {
            return;
        }
    }
}
