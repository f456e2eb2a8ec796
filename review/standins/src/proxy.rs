//! Proxy in front of one server that can be cut: bytes and new connections then hang, as behind a
//! partition, and go on once it has healed.

use std::{
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0))?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let cut = Arc::clone(&cut);
                thread::spawn(move || {
                    wait(&cut);
                    if let Ok(server) = TcpStream::connect(target) {
                        let _ = forward(stream, server, &cut);
                    }
                });
            }
        });
        Ok(Self { address, is_cut })
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(POLL_INTERVAL);
    }
}

fn forward(client: TcpStream, server: TcpStream, is_cut: &Arc<AtomicBool>) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_reader, server_writer) = (client.try_clone()?, server.try_clone()?);
    let cut = Arc::clone(is_cut);
    thread::spawn(move || pump(client_reader, server_writer, &cut));
    pump(server, client, is_cut);
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        wait(is_cut);
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}
