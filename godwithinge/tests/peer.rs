//! Links between daemons, including unauthenticated, corrupt and silent peers.

use futures::{SinkExt, StreamExt};
use godwithinge::{
    metrics::Metrics,
    peer::{
        Event, HostList, Links, Settings,
        frame::{BucketDigest, Frame, Hello, MAX_FRAME, VERSION},
    },
    settings::Secret,
};
use hmac::{Hmac, KeyInit, Mac};
use policy::{
    command,
    host::{self, Host},
    member::Presence,
    table::{
        Pipeline, Table, Workspace,
        check::MAX_ROWS,
        replica::Update,
        row::{Key, Kind, Row},
    },
};
use prometheus::IntCounterVec;
use rstest::rstest;
use sha2::Sha256;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time,
};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async, tungstenite::Message};

const KEY: &str = "fleet key of the tests";

struct Daemon {
    links: Links,
    events: UnboundedReceiver<Event>,
    bytes: IntCounterVec,
}

async fn start(index: usize, key: &str, seeds: &[SocketAddr]) -> Daemon {
    let listen = "127.0.0.1:0".parse().expect("the address is valid");
    let bytes = Metrics::new().expect("metrics are valid").control_bytes;
    let settings = Settings {
        host: format!("h{index}").into(),
        incarnation: index as u64 + 1,
        api: listen,
        listen,
        domain: format!("d{}", index % 3).into(),
        region: "r".into(),
        seeds: seeds.to_vec(),
        key: Secret::new(key),
        bytes: bytes.clone(),
    };
    let (links, events) = Links::start(settings).await.expect("the port is free");
    Daemon {
        links,
        events,
        bytes,
    }
}

async fn fleet(size: usize) -> Vec<Daemon> {
    let first = start(0, KEY, &[]).await;
    let seed = first.links.address();
    let mut fleet = vec![first];
    for index in 1..size {
        fleet.push(start(index, KEY, &[seed]).await);
    }
    fleet
}

/// Polls until `done` returns true, and panics after about ten seconds.
async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if done() {
            return;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for {what}");
}

fn live(daemon: &Daemon) -> usize {
    let members = daemon.links.members();
    members
        .iter()
        .filter(|m| m.presence == Presence::Live)
        .count()
}

fn table(revision: u64) -> Arc<Table> {
    let mut table = Table {
        revision,
        ..Table::default()
    };
    for row in 0..revision {
        table.insert(format!("w{row}"), Row::Workspace(Workspace::default()));
    }
    Arc::new(table)
}

#[tokio::test]
async fn members_tables_and_frames_reach_the_whole_fleet() {
    let mut fleet = fleet(9).await;
    wait_until("membership", || {
        fleet.iter().all(|daemon| live(daemon) == 9)
    })
    .await;
    wait_until("a link of each daemon", || {
        fleet.iter().all(|d| !d.links.linked().is_empty())
    })
    .await;
    for revision in [1, 2, 5] {
        fleet[3].links.apply_table(&table(revision));
        wait_until("the table", || {
            fleet.iter().all(|d| d.links.revision() == Some(revision))
        })
        .await;
    }
    fleet[4].links.apply_table(&table(2));
    let row = Key::new(Kind::Workspace, "w1");
    let sent = command::Frame::Demand {
        row,
        rate: 4.0,
        quota: 2.0,
    };
    fleet[7].links.broadcast(&sent);
    for daemon in fleet.iter_mut().take(7) {
        let mut received = 0;
        wait_until("the frame", || {
            while let Ok(event) = daemon.events.try_recv() {
                let expected = Event::Frame {
                    from: "h7".into(),
                    frame: sent.clone(),
                };
                received += usize::from(event == expected);
            }
            received > 0
        })
        .await;
        assert_eq!(received, 1, "the frame is delivered once");
        assert_eq!(
            daemon.links.table(),
            Some(table(5)),
            "a lower revision does not replace the table"
        );
    }
}

#[tokio::test]
async fn restarted_daemon_gets_the_table_from_its_peers() {
    let mut fleet = fleet(4).await;
    wait_until("membership", || {
        fleet.iter().all(|daemon| live(daemon) == 4)
    })
    .await;
    fleet[0].links.apply_table(&table(3));
    wait_until("the table", || {
        fleet.iter().all(|d| d.links.revision() == Some(3))
    })
    .await;
    let seeds: Vec<_> = fleet.iter().map(|d| d.links.address()).collect();
    for (index, daemon) in fleet.iter_mut().enumerate().take(3) {
        *daemon = start(index, KEY, &seeds).await;
        wait_until("the table", || daemon.links.revision() == Some(3)).await;
        wait_until("membership", || live(daemon) == 4).await;
    }
}

#[tokio::test]
async fn daemon_with_another_key_learns_and_changes_nothing() {
    let fleet = fleet(2).await;
    wait_until("membership", || {
        fleet.iter().all(|daemon| live(daemon) == 2)
    })
    .await;
    let intruder = start(7, "another key", &[fleet[0].links.address()]).await;
    intruder.links.apply_table(&table(9));
    let sent = intruder.bytes.with_label_values(&["peer_sent"]);
    wait_until("connection attempts", || sent.get() > 500).await;
    assert_eq!(live(&intruder), 1);
    assert!(
        fleet
            .iter()
            .all(|d| d.links.revision().is_none() && live(d) == 2)
    );
}

/// Input from a client that is not a daemon of the fleet, or is faulty.
#[derive(Clone, Copy, Debug)]
enum InvalidInput {
    NotWebSocket,
    Text,
    TooLarge,
    Unauthenticated,
    UnsupportedVersion,
}

#[rstest]
#[case(InvalidInput::NotWebSocket)]
#[case(InvalidInput::Text)]
#[case(InvalidInput::TooLarge)]
#[case(InvalidInput::Unauthenticated)]
#[case(InvalidInput::UnsupportedVersion)]
#[tokio::test]
async fn invalid_input_closes_the_connection_and_changes_nothing(#[case] input: InvalidInput) {
    let fleet = fleet(2).await;
    let address = fleet[0].links.address();
    let mut stream = TcpStream::connect(address).await.expect("the port is open");
    if matches!(input, InvalidInput::NotWebSocket) {
        stream
            .write_all(&[0xfe; 4096])
            .await
            .expect("the bytes are sent");
        let mut rest = Vec::new();
        let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut rest);
        time::timeout(Duration::from_secs(5), read)
            .await
            .expect("the connection is closed in time")
            .unwrap_or_default();
    } else {
        let mut socket = client(stream, address).await;
        let frame = match input {
            InvalidInput::Text => Message::text("hello"),
            InvalidInput::TooLarge => Message::binary(vec![0; MAX_FRAME + 1]),
            InvalidInput::Unauthenticated => message(&Frame::Update(update(9))),
            _ => message(&Frame::Hello(hello("h9", VERSION + 1))),
        };
        drop(socket.send(frame).await);
        let end = async { while let Some(Ok(Message::Binary(_))) = socket.next().await {} };
        time::timeout(Duration::from_secs(5), end)
            .await
            .expect("the connection is closed in time");
    }
    wait_until("membership", || {
        fleet.iter().all(|daemon| live(daemon) == 2)
    })
    .await;
    assert!(fleet.iter().all(|d| d.links.revision().is_none()));
}

#[tokio::test]
async fn silent_link_is_replaced_and_corrupt_one_closed() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (ended_sender, mut ended) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let links = Arc::new(AtomicU32::new(0));
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_silent_peer(
                stream,
                address,
                Arc::clone(&links),
                ended_sender.clone(),
            ));
        }
    });
    let daemon = start(0, KEY, &[address]).await;
    let publisher = tokio::spawn(publish_liveness(daemon.links.address(), address));
    // Each link goes silent after its profile; every second one first sends an invalid frame.
    let mut seen = [0, 0];
    while seen[0] < 2 || seen[1] < 1 {
        let end = time::timeout(Duration::from_secs(8), ended.recv()).await;
        let corrupt = end
            .expect("a link ends in time")
            .expect("the peer task runs");
        seen[usize::from(corrupt)] += 1;
    }
    assert!(!publisher.is_finished());
}

/// Serves a peer that completes the handshake, sends its profile and then goes silent.
///
/// Reports the end of each link, and whether an invalid frame was sent over it.
async fn serve_silent_peer(
    stream: TcpStream,
    address: SocketAddr,
    links: Arc<AtomicU32>,
    ended: UnboundedSender<bool>,
) {
    let mut socket = accept_async(stream)
        .await
        .expect("the WebSocket handshake succeeds");
    let is_exchange = accept_handshake(&mut socket).await;
    drop(socket.send(message(&profile(address))).await);
    let corrupt = !is_exchange && links.fetch_add(1, Ordering::Relaxed) % 2 == 1;
    if corrupt {
        drop(socket.send(Message::binary(vec![0xff; 64])).await);
    }
    while let Some(Ok(Message::Binary(_))) = socket.next().await {}
    if !is_exchange {
        let _ = ended.send(corrupt);
    }
}

type Socket = WebSocketStream<TcpStream>;

async fn client(stream: TcpStream, address: SocketAddr) -> Socket {
    let (socket, _) = client_async(format!("ws://{address}/"), stream)
        .await
        .expect("the WebSocket handshake succeeds");
    socket
}

fn hello(host: &str, version: u16) -> Hello {
    Hello {
        version,
        host: host.into(),
        nonce: [7; 16],
        is_exchange: false,
    }
}

fn message(frame: &Frame) -> Message {
    Message::binary(frame.to_vec().expect("the frame is within the limit"))
}

fn update(revision: u64) -> policy::table::replica::Update {
    policy::table::replica::Update::Snapshot {
        table: table(revision),
    }
}

fn profile(address: SocketAddr) -> Frame {
    use policy::member::{
        Profile, State,
        gossip::{Item, Stamp, Topic, Value},
    };
    let profile = Profile {
        incarnation: 1,
        api: address.to_string().into(),
        peer: address.to_string().into(),
        domain: "d".into(),
        region: "r".into(),
        state: State::Live,
    };
    let millis = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let version = millis.expect("the clock is after the epoch").as_millis() as u64;
    Frame::Items(vec![Item {
        origin: "h9".into(),
        stamp: Stamp { epoch: 1, version },
        topic: Topic::Profile,
        value: Value::Profile(profile),
    }])
}

async fn next(socket: &mut Socket) -> Frame {
    let message = socket
        .next()
        .await
        .expect("the link is open")
        .expect("a message is received");
    Frame::from_slice(&message.into_data()).expect("the frame is valid")
}

fn sign(end: &str, dialler: &Hello, acceptor: &Hello) -> Frame {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(KEY.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(end.as_bytes());
    for hello in [dialler, acceptor] {
        mac.update(&(hello.host.len() as u64).to_be_bytes());
        mac.update(hello.host.as_bytes());
        mac.update(&hello.nonce);
        mac.update(&[u8::from(hello.is_exchange)]);
    }
    Frame::Proof(mac.finalize().into_bytes().into())
}

/// Publishes repeatedly, as a third daemon, that the peer at `own_address` is live.
///
/// Without this the silent peer would be considered failed and not be dialled again.
async fn publish_liveness(daemon: SocketAddr, own_address: SocketAddr) {
    loop {
        let stream = TcpStream::connect(daemon).await.expect("the port is open");
        let mut socket = client(stream, daemon).await;
        let dialler = Hello {
            is_exchange: true,
            ..hello("h8", VERSION)
        };
        let opening = message(&Frame::Hello(dialler.clone()));
        socket.send(opening).await.expect("the frame is sent");
        let Frame::Hello(acceptor) = next(&mut socket).await else {
            panic!("the first frame is not a hello")
        };
        let proof = message(&sign("dialler", &dialler, &acceptor));
        socket.send(proof).await.expect("the frame is sent");
        assert_eq!(
            next(&mut socket).await,
            sign("acceptor", &dialler, &acceptor)
        );
        socket
            .send(message(&profile(own_address)))
            .await
            .expect("the frame is sent");
        time::sleep(Duration::from_millis(500)).await;
    }
}

/// Performs the acceptor's side of the handshake, and returns whether it is for a single exchange.
async fn accept_handshake(socket: &mut Socket) -> bool {
    let Frame::Hello(peer_hello) = next(socket).await else {
        panic!("the first frame is not a hello")
    };
    let own_hello = Hello {
        is_exchange: peer_hello.is_exchange,
        ..hello("h9", VERSION)
    };
    socket
        .send(message(&Frame::Hello(own_hello.clone())))
        .await
        .expect("the frame is sent");
    assert_eq!(next(socket).await, sign("dialler", &peer_hello, &own_hello));
    socket
        .send(message(&sign("acceptor", &peer_hello, &own_hello)))
        .await
        .expect("the frame is sent");
    own_hello.is_exchange
}

fn host_list() -> HostList {
    let host = |state| Host {
        host: "h1".into(),
        target: "t1".into(),
        pool: "encoders".into(),
        address: "127.0.0.1:80".into(),
        domain: "a".into(),
        region: "r".into(),
        state,
    };
    let hosts = vec![host(host::State::Live), host(host::State::Leaving)];
    HostList { version: 8, hosts }
}

#[test]
fn frames_round_trip_and_truncated_ones_are_refused() {
    let stamps = vec![(
        "h1".into(),
        policy::member::gossip::Stamp {
            epoch: 3,
            version: 4,
        },
    )];
    let digest = BucketDigest {
        bucket: 0,
        count: 2,
        wants_reply: true,
        stamps,
    };
    let frames = [
        Frame::Hello(hello("h1", VERSION)),
        Frame::Digest(digest),
        Frame::Have(None),
        Frame::Want(Some(4)),
        Frame::Update(update(3)),
        Frame::WantHostList(Some(7)),
        Frame::HostList(Arc::new(host_list())),
        profile(([127, 0, 0, 1], 80).into()),
    ];
    for frame in frames {
        let bytes = frame.to_vec().expect("the frame is within the limit");
        assert_eq!(
            Frame::from_slice(&bytes).expect("the frame is valid"),
            frame
        );
        for end in 0..bytes.len() {
            assert!(
                Frame::from_slice(&bytes[..end]).is_err(),
                "{frame:?} cut at {end}"
            );
        }
    }
}

#[rstest]
#[case::planned_size(5_100, 16, 8)]
#[case::maximum_size(MAX_ROWS - 1, 64, 16)]
fn full_table_fits_in_one_frame(#[case] rows: usize, #[case] name: usize, #[case] stages: usize) {
    let mut table = Table {
        revision: 7,
        ..Table::default()
    };
    let ceiling = Some(1.0 / 3.0);
    for row in 0..rows {
        let name = format!("{row:0name$}");
        let row = Workspace {
            share: 2.0 / 3.0,
            ceiling,
            priority: 100,
        };
        table.insert(name, Row::Workspace(row));
    }
    let pools = (0..stages).map(|stage| format!("{stage:064}"));
    table.insert("p", Row::Pipeline(Pipeline::new(pools)));
    let start = Instant::now();
    let update = Update::Snapshot {
        table: Arc::new(table),
    };
    let frame = Frame::Update(update);
    let bytes = frame.to_vec().expect("the frame is within the limit");
    let write_time = start.elapsed();
    let read = Frame::from_slice(&bytes).expect("the frame is valid");
    let read_time = start.elapsed().saturating_sub(write_time);
    println!(
        "{rows} rows: {} bytes, written in {write_time:?}, read in {read_time:?}",
        bytes.len()
    );
    assert_eq!(read, frame);
}
