//! A proxy between one entry and the store, which can fall silent: nothing passes in either direction, and
//! new connections get no answer.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A watch that the entry has begun.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    pub began: Instant,
    pub answered: bool,
}

/// The proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    pub silent: Arc<AtomicBool>,
    watch: Arc<Mutex<Option<Watch>>>,
}

impl Proxy {
    /// Starts a proxy at `ip` that passes connections on to `store`.
    pub fn start(ip: &str, store: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a proxy");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            silent: Arc::default(),
            watch: Arc::default(),
        };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(store) else { continue };
                let _ = (caller.set_nodelay(true), server.set_nodelay(true));
                accepting.pass(&caller, &server, true);
                accepting.pass(&server, &caller, false);
            }
        });
        proxy
    }

    /// Returns the last watch that the entry has begun. An entry that does not read the store for the others
    /// begins none.
    pub fn watch(&self) -> Option<Watch> {
        *self.watch.lock().expect("the last watch")
    }

    fn pass(&self, from: &TcpStream, to: &TcpStream, requests: bool) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
        let proxy = self.clone();
        std::thread::spawn(move || {
            let mut bytes = vec![0; 64 << 10];
            while let Ok(length) = from.read(&mut bytes) {
                while proxy.silent.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                if length == 0 || to.write_all(&bytes[..length]).is_err() {
                    break;
                }
                proxy.note(&bytes[..length], requests);
            }
            let _ = to.shutdown(Shutdown::Both);
        });
    }

    fn note(&self, bytes: &[u8], requests: bool) {
        let mut watch = self.watch.lock().expect("the last watch");
        if !requests {
            if let Some(watch) = watch.as_mut() {
                watch.answered = true;
            }
        } else if bytes.starts_with(b"GET /kv-watch") {
            *watch = Some(Watch { began: Instant::now(), answered: false });
        }
    }
}
