//! Tests of the proxy that injects network faults.

use standin::proxy::Proxy;
use std::io::ErrorKind;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Connections of a test, since the order of packets may vary.
const CONNECTIONS: usize = 100;

/// A connection that the server resets must not end in order for the client, who could take that end
/// for the end of a response.
#[tokio::test]
async fn reset_of_the_server_reaches_the_client() {
    let server = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = server.local_addr().expect("server is bound");
    let proxy = Proxy::start(address).await.expect("a port is free");
    for _ in 0..CONNECTIONS {
        let mut client = TcpStream::connect(proxy.address())
            .await
            .expect("proxy accepts connections");
        let (mut connection, _) = server.accept().await.expect("proxy connects");
        connection
            .write_all(b"part")
            .await
            .expect("proxy reads the part");
        let mut part = [0; 4];
        client
            .read_exact(&mut part)
            .await
            .expect("the part arrives");
        connection
            .set_zero_linger()
            .expect("the connection is open");
        drop(connection);
        let end = client.read(&mut part).await.map_err(|error| error.kind());
        assert_eq!(end, Err(ErrorKind::ConnectionReset));
    }
}
