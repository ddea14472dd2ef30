//! The path from one machine to a runner, which can be cut.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A path. While it is cut, open connections live on and new ones are refused.
#[derive(Clone)]
pub struct Path {
    /// Address by which the machine reaches the runner.
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Path {
    /// Opens a path to a runner.
    pub fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let path = Self {
            address: listener.local_addr().expect("an address"),
            is_cut: Arc::default(),
        };
        let accepting = path.clone();
        thread::spawn(move || accepting.accept(listener, target));
        path
    }

    /// Cuts the path or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn accept(&self, listener: TcpListener, target: SocketAddr) -> io::Result<()> {
        let mut open = Some(listener);
        loop {
            match (&open, self.is_cut.load(Ordering::SeqCst)) {
                (Some(_), true) => open = None,
                (None, false) => open = Some(TcpListener::bind(self.address)?),
                _ => {}
            }
            if let Some(listener) = &open {
                listener.set_nonblocking(true)?;
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(false)?;
                    thread::spawn(move || forward(stream, target));
                    continue;
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn forward(mut from: TcpStream, target: SocketAddr) -> io::Result<()> {
    let mut to = TcpStream::connect(target)?;
    from.set_nodelay(true)?;
    to.set_nodelay(true)?;
    let (mut back_from, mut back_to) = (to.try_clone()?, from.try_clone()?);
    let answers = thread::spawn(move || {
        let result = io::copy(&mut back_from, &mut back_to);
        let _ = back_to.shutdown(std::net::Shutdown::Both);
        result
    });
    let result = io::copy(&mut from, &mut to);
    let _ = to.shutdown(std::net::Shutdown::Both);
    drop(answers.join());
    result.map(drop)
}
