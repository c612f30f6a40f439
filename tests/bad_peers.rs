//! Bad input on the internal TCP and UDP port: refused, bounded, and without harm to requests.

#![expect(clippy::unwrap_used, reason = "a broken exchange fails the test")]

mod support;

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use cloverrack::Outcome;
use cloverrack::wire::{MAX_FRAME_BYTES, PROTOCOL_VERSION};
use h2::client::SendRequest;
use http::{Request, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use support::{Cluster, ClusterSpec, eventually, exchange, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream, UdpSocket};

/// Longest wait for the end of a connection that a limit of 5 s cuts off.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(15);

async fn connect(from: IpAddr, to: SocketAddr) -> SendRequest<Bytes> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(from, 0)).unwrap();
    let stream = socket.connect(to).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    sender.ready().await.unwrap()
}

/// Sends one stream; returns its status, or `None` if it was reset.
async fn stream(
    from: IpAddr,
    to: SocketAddr,
    headers: &[(&str, String)],
    path: &str,
    content: Bytes,
) -> Option<StatusCode> {
    let mut request = Request::post(path);
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let mut connection = connect(from, to).await;
    let (response, mut stream) = connection
        .send_request(request.body(()).unwrap(), false)
        .unwrap();
    let _ = stream.send_data(content, true);
    Some(response.await.ok()?.status())
}

fn headers(version: u16, address: SocketAddr) -> [(&'static str, String); 2] {
    [
        ("x-protocol-version", version.to_string()),
        ("x-internal-address", address.to_string()),
    ]
}

async fn assert_serves(cluster: &Cluster, what: &str) {
    for vm in 0..cluster.daemons.len() {
        let sent = request(&format!("after {what}").replace(' ', "-"));
        let answer = cluster.query(vm, &sent).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Complete, "{what}: {answer:?}");
    }
}

/// Guards against streams of processes that are no peers, also if they claim to be one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_admitted_from_the_claimed_address_only() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let to = cluster.daemons[0].internal_address;
    let peer = cluster.daemons[1].internal_address;
    let stranger: SocketAddr = ([127, 0, 0, 9], 7_001).into();
    let version = PROTOCOL_VERSION;
    let expected = [
        (peer.ip(), headers(version, peer), StatusCode::OK),
        (stranger.ip(), headers(version, peer), StatusCode::FORBIDDEN),
        (peer.ip(), headers(version, stranger), StatusCode::FORBIDDEN),
        (
            stranger.ip(),
            headers(version, stranger),
            StatusCode::FORBIDDEN,
        ),
        (
            peer.ip(),
            headers(version + 1, peer),
            StatusCode::UPGRADE_REQUIRED,
        ),
    ];
    for (from, headers, status) in expected {
        let got = stream(from, to, &headers, "/facts", Bytes::new()).await;
        assert_eq!(got, Some(status), "{from} {headers:?}");
    }
    let got = stream(peer.ip(), to, &[], "/facts", Bytes::new()).await;
    assert_eq!(got, Some(StatusCode::UPGRADE_REQUIRED));
    let got = stream(
        peer.ip(),
        to,
        &headers(version, peer),
        "/v1/query",
        Bytes::new(),
    )
    .await;
    assert_eq!(got, Some(StatusCode::NOT_FOUND));
    assert_serves(&cluster, "strangers").await;
}

/// Guards against garbage, truncated and oversized frames that are served or that end the process.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_frames_are_reset() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let to = cluster.daemons[0].internal_address;
    let peer = cluster.daemons[1].internal_address;
    let mut rng = StdRng::seed_from_u64(7);
    let mut garbage = vec![0; 1_000];
    rng.fill_bytes(&mut garbage);
    let frame = |announced: usize, content: &[u8]| {
        let mut bytes = BytesMut::new();
        bytes.put_u32(u32::try_from(announced).unwrap());
        bytes.put_slice(content);
        bytes.freeze()
    };
    let frames = [
        frame(garbage.len(), &garbage),
        frame(MAX_FRAME_BYTES + 1, &garbage),
        frame(usize::try_from(u32::MAX).unwrap(), &garbage),
        frame(500, &[0; 100]),
        frame(0, &[]),
        Bytes::from_static(&[0, 0]),
        Bytes::new(),
    ];
    for path in ["/batch", "/documents", "/forward"] {
        for content in &frames {
            let headers = headers(PROTOCOL_VERSION, peer);
            let got = stream(peer.ip(), to, &headers, path, content.clone()).await;
            assert_eq!(got, None, "{path} {} bytes", content.len());
        }
    }
    assert_serves(&cluster, "garbage frames").await;
}

/// Guards against garbage datagrams that change the membership or end the process.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_datagrams_are_dropped() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let mut rng = StdRng::seed_from_u64(7);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for _ in 0..2_000 {
        let length = rng.random_range(0..2_000);
        let mut garbage = vec![0; length];
        rng.fill_bytes(&mut garbage);
        let to = cluster.daemons[rng.random_range(0..3)].internal_address;
        socket.send_to(&garbage, to).await.unwrap();
    }
    assert_serves(&cluster, "garbage datagrams").await;
    let members: Vec<String> = cluster
        .daemons
        .iter()
        .map(|daemon| daemon.internal_address.to_string())
        .collect();
    // VM 0 may learn of the others only now, but never of anyone else.
    eventually("all VMs are known", async || {
        let status = cluster.status(0).await.unwrap();
        let vms = status["vms"].as_array().unwrap();
        for vm in vms {
            let address = vm["address"].as_str().unwrap();
            assert!(members.iter().any(|member| member == address), "{address}");
        }
        vms.len() == members.len()
    })
    .await;
}

/// Guards against a peer that holds resources without a limit: streams, and connections that never
/// begin.
#[tokio::test(flavor = "multi_thread")]
async fn streams_and_silent_connections_are_bounded() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let to = cluster.daemons[0].internal_address;
    let peer = cluster.daemons[1].internal_address;
    let mut connection = connect(peer.ip(), to).await;
    // A first exchange, after which the server's settings are known.
    let request = Request::post("/facts").body(()).unwrap();
    let (response, _) = connection.send_request(request, true).unwrap();
    response.await.unwrap();
    let streams = connection.current_max_send_streams();
    assert!(streams <= 4_096, "{streams} streams");
    let mut silent = TcpStream::connect(to).await.unwrap();
    silent.write_all(b"PRI * HTTP").await.unwrap();
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(DISCONNECT_TIMEOUT, silent.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "a connection without a handshake stays open");
    assert_serves(&cluster, "silent connections").await;
}

/// Guards against a listener that serves what belongs to another.
#[tokio::test(flavor = "multi_thread")]
async fn each_listener_refuses_what_belongs_to_another() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let daemon = &cluster.daemons[0];
    let foreign = [
        (daemon.caller_address, "GET", "/v1/status"),
        (daemon.caller_address, "GET", "/metrics"),
        (daemon.caller_address, "POST", "/v1/check"),
        (daemon.caller_address, "POST", "/v1/faults/cut"),
        (daemon.caller_address, "POST", "/batch"),
        (daemon.caller_address, "POST", "/facts"),
        (daemon.operator_address, "POST", "/v1/query"),
        (daemon.operator_address, "POST", "/v1/tickets"),
        (daemon.operator_address, "GET", "/v1/entries"),
        (daemon.operator_address, "POST", "/batch"),
    ];
    for (address, method, path) in foreign {
        let (status, _) = exchange(address, method, path, Vec::new()).await.unwrap();
        assert_eq!(status, StatusCode::NOT_FOUND, "{method} {path}");
    }
    let internal = exchange(daemon.internal_address, "POST", "/v1/query", Vec::new()).await;
    assert_eq!(internal, None, "HTTP/1.1 on the internal port");
    let peer = cluster.daemons[1].internal_address;
    let headers = headers(PROTOCOL_VERSION, peer);
    for address in [daemon.caller_address, daemon.operator_address] {
        let got = stream(peer.ip(), address, &headers, "/batch", Bytes::new()).await;
        assert_eq!(got, Some(StatusCode::NOT_FOUND));
    }
}
