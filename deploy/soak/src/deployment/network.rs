//! Addresses of the machines: each has a loopback address of its own, and ports are alike on all.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use rand::Rng;

/// First and last port that is tried as the first port of a deployment, below the ports of outgoing connections.
const FIRST_PORTS: std::ops::Range<u16> = 10_000..30_000;
/// Number of ports for internal connections.
const INTERNAL_PORTS: u16 = 16;
/// Ports of the roles, as offsets from the first port.
const CONTROL_PORT: u16 = 16;
const CALLER_PORT: u16 = 17;
const READINESS_PORT: u16 = 18;
/// Port of the backend list, as an offset from the first port.
const LIST_PORT: u16 = 19;
/// Number of attempts to find free ports.
const PORT_ATTEMPTS: usize = 50;

/// Third byte of the addresses, by kind of machine.
const FRONT_NETWORK: u8 = 1;
const CONTROL_NETWORK: u8 = 2;
const PLATFORM_NETWORK: u8 = 3;

/// Loopback network of one run.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Second byte of all addresses.
    subnet: u8,
    first_port: u16,
}

impl Network {
    /// Draws a network whose ports are free. Returns the bound listener of the backend list too: bound a second time, its
    /// address could still be held by a process that another run of this program starts in that moment.
    ///
    /// # Errors
    /// No free ports were found.
    pub fn draw(random: &mut impl Rng) -> io::Result<(Self, TcpListener)> {
        for _ in 0..PORT_ATTEMPTS {
            let network = Self {
                subnet: random.random_range(20..250),
                first_port: random.random_range(FIRST_PORTS),
            };
            let Ok(list) = TcpListener::bind(network.list()) else {
                continue;
            };
            let others = [network.caller(0), network.operator(0)];
            if others
                .iter()
                .all(|address| TcpListener::bind(address).is_ok())
            {
                return Ok((network, list));
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Address of a proxy machine.
    #[must_use]
    pub fn front(self, index: usize) -> IpAddr {
        self.host(FRONT_NETWORK, index)
    }

    /// Address of a control machine.
    #[must_use]
    pub fn control(self, number: usize) -> IpAddr {
        self.host(CONTROL_NETWORK, number)
    }

    /// Address on which backends listen.
    #[must_use]
    pub fn backend(self, number: usize) -> IpAddr {
        self.host(PLATFORM_NETWORK, number + 1)
    }

    /// Address at which a proxy machine serves callers.
    #[must_use]
    pub fn caller(self, index: usize) -> SocketAddr {
        self.at(self.front(index), CALLER_PORT)
    }

    /// Address at which a proxy machine answers readiness checks.
    #[must_use]
    pub fn readiness(self, index: usize) -> SocketAddr {
        self.at(self.front(index), READINESS_PORT)
    }

    /// Address at which a control machine serves operators.
    #[must_use]
    pub fn operator(self, number: usize) -> SocketAddr {
        self.at(self.control(number), CONTROL_PORT)
    }

    /// Address of the backend list.
    #[must_use]
    pub fn list(self) -> SocketAddr {
        self.at(self.host(PLATFORM_NETWORK, 0), LIST_PORT)
    }

    /// First and last port for internal connections.
    #[must_use]
    pub fn port_range(self) -> [u16; 2] {
        [self.first_port, self.first_port + INTERNAL_PORTS - 1]
    }

    fn at(self, host: IpAddr, offset: u16) -> SocketAddr {
        SocketAddr::new(host, self.first_port + offset)
    }

    /// Numbers above 250 continue in the next third byte, which no other kind of machine uses.
    fn host(self, kind: u8, number: usize) -> IpAddr {
        const HOSTS_PER_NETWORK: usize = 250;
        const KINDS: u8 = 4;
        let block = u8::try_from(number / HOSTS_PER_NETWORK).unwrap_or(u8::MAX / KINDS);
        let host = u8::try_from(number % HOSTS_PER_NETWORK).unwrap_or_default() + 1;
        IpAddr::V4(Ipv4Addr::new(127, self.subnet, kind + KINDS * block, host))
    }
}
