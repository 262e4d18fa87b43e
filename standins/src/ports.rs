//! Ports for processes that are yet to start, or that start again: asked of the kernel and held for them.

use std::io;
use std::net::{IpAddr, SocketAddr};

use socket2::{Domain, Protocol, Socket, Type};

/// A port held for somebody: bound and never listening, so that the kernel gives it to nobody who asks for any
/// port, and whoever binds it by name with SO_REUSEADDR, as the standard library does, may listen on it. A port
/// that is only looked up and let go can be another process's before it is used.
#[derive(Debug)]
pub struct Port {
    _held: Socket,
    /// The address to listen on.
    pub address: SocketAddr,
}

impl Port {
    /// A port of this address, until it is dropped.
    pub fn hold(ip: impl Into<IpAddr>) -> io::Result<Self> {
        let any = SocketAddr::new(ip.into(), 0);
        let socket = Socket::new(Domain::for_address(any), Type::STREAM, Some(Protocol::TCP))?;
        socket.bind(&any.into())?;
        // Only after the bind: a port that somebody else holds by the same means is not given out twice.
        socket.set_reuse_address(true)?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { _held: socket, address })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{Ipv4Addr, TcpListener};

    /// Who asks for the port gets it, also a second time; who asks for any never does.
    #[test]
    fn a_held_port_is_its_owners_alone() {
        let ip = Ipv4Addr::new(127, 0, 0, 177);
        let port = Port::hold(ip).unwrap();
        for _ in 0..2 {
            let listener = TcpListener::bind(port.address).unwrap();
            assert!(TcpListener::bind(port.address).is_err(), "two listen on one port");
            drop(listener);
        }
        for _ in 0..40_000 {
            assert_ne!(TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap(), port.address);
        }
    }
}
