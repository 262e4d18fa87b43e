//! Routers with keys of one office, each with its own coordinator.

use std::path::{Path, PathBuf};

use silverspindle::knowledge::keys;
use silverspindle_conf::Files;
use silverspindle_standins::ports::Port;

use super::*;

/// A folder with the keys of one office, for the routers n0 to n3; each test has its own.
pub struct KeyFolder(pub PathBuf);

impl KeyFolder {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("office-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        keys::init(&folder, 100).unwrap();
        ["n0", "n1", "n2", "n3"].iter().for_each(|name| keys::issue(&folder, name, 100).unwrap());
        Self(folder)
    }

    /// Paths of a router's files.
    pub fn files(&self, name: &str) -> Files {
        let file = |name: String| self.0.join(name);
        Files {
            authority: file("authority.pem".into()),
            certificate: file(format!("{name}.pem")),
            key: file(format!("{name}.key")),
        }
    }

    /// Operators' file of a router with its keys and further directives.
    pub fn conf(&self, name: &str, more: &str) -> Conf {
        let Files { authority, certificate, key } = self.files(name);
        let text = format!(
            "exchange-authority '{}'\nexchange-certificate '{}'\nexchange-key '{}'\n{more}",
            authority.display(),
            certificate.display(),
            key.display()
        );
        silverspindle_conf::read(&text).unwrap()
    }
}

impl Drop for KeyFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address with a free port for a router that starts later. The port is reserved until the test ends, as other
/// runs of these tests allocate ports too.
pub fn free_address() -> SocketAddr {
    static HELD: std::sync::Mutex<Vec<Port>> = std::sync::Mutex::new(Vec::new());
    let port = Port::hold(ip()).unwrap();
    let address = port.address;
    HELD.lock().unwrap().push(port);
    address
}

/// A router with this name and these caches, and the listener of its coordinator.
pub fn named(
    tasks: &Tasks,
    name: &str,
    caches: &[SocketAddr],
    conf: Conf,
) -> (Router, Async<std::net::TcpListener>) {
    named_with(tasks, name, caches, conf, |_| {})
}

/// As [`named`], with a change to the configuration.
pub fn named_with(
    tasks: &Tasks,
    name: &str,
    caches: &[SocketAddr],
    conf: Conf,
    change: impl FnOnce(&mut Value),
) -> (Router, Async<std::net::TcpListener>) {
    let (coordinator, address) = listen();
    let mut members: Vec<Value> = (1..).zip(caches).map(|(id, at)| entry(id, "box", *at)).collect();
    members.push(entry(99, "origin", address));
    let mut file = configuration(&members, address);
    file["name"] = name.into();
    change(&mut file);
    (Router::start(config(&file).unwrap(), conf, tasks).unwrap(), coordinator)
}

/// Accepts the router's connection to the coordinator and reads the number of its last event.
pub async fn feed(coordinator: &Async<std::net::TcpListener>) -> Async<std::net::TcpStream> {
    let mut feed = coordinator.accept().await.unwrap().0;
    feed.read_exact(&mut [0; 8]).await.unwrap();
    feed
}
