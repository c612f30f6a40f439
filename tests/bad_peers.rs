//! Invalid input on the internal TCP and UDP port: it is refused, resources stay bounded, and
//! requests are unaffected.

#![expect(clippy::unwrap_used, reason = "a failed exchange fails the test")]

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

/// Longest wait for the daemon to close a connection; its own limit is 5 s.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(15);

async fn connect(from: IpAddr, to: SocketAddr) -> SendRequest<Bytes> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(from, 0)).unwrap();
    let stream = socket.connect(to).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    sender.ready().await.unwrap()
}

/// Sends one HTTP/2 stream; returns the status of its response, or `None` if it was reset.
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

async fn assert_serves(cluster: &Cluster, phase: &str) {
    for vm in 0..cluster.daemons.len() {
        let sent = request(&format!("after {phase}").replace(' ', "-"));
        let answer = cluster.query(vm, &sent).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Complete, "{phase}: {answer:?}");
    }
}

/// Guards against streams that are accepted from processes outside the membership, from a source
/// address other than the claimed one, or with another protocol version.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_admitted_from_the_claimed_address_only() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let to = cluster.daemons[0].internal_address;
    let peer = cluster.daemons[1].internal_address;
    let non_member: SocketAddr = ([127, 0, 0, 9], 7_001).into();
    let version = PROTOCOL_VERSION;
    let expected = [
        (peer.ip(), headers(version, peer), StatusCode::OK),
        (
            non_member.ip(),
            headers(version, peer),
            StatusCode::FORBIDDEN,
        ),
        (
            peer.ip(),
            headers(version, non_member),
            StatusCode::FORBIDDEN,
        ),
        (
            non_member.ip(),
            headers(version, non_member),
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
    assert_serves(&cluster, "unknown peers").await;
}

/// Guards against random, truncated and oversized frames that are served or that crash the process.
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

/// Guards against random datagrams that change the membership or crash the process.
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
    // VM 0 may still be discovering the other VMs, but must never list another address.
    eventually("VM 0 lists all VMs", async || {
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

/// Guards against a peer that exhausts resources: it opens unlimited streams on one connection, or
/// connections whose HTTP/2 handshake never completes.
#[tokio::test(flavor = "multi_thread")]
async fn streams_and_silent_connections_are_bounded() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let to = cluster.daemons[0].internal_address;
    let peer = cluster.daemons[1].internal_address;
    let mut connection = connect(peer.ip(), to).await;
    // The server's HTTP/2 settings have arrived after the first exchange.
    let request = Request::post("/facts").body(()).unwrap();
    let (response, _) = connection.send_request(request, true).unwrap();
    response.await.unwrap();
    let streams = connection.current_max_send_streams();
    assert!(streams <= 4_096, "{streams} streams");
    let mut silent = TcpStream::connect(to).await.unwrap();
    silent.write_all(b"PRI * HTTP").await.unwrap();
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(DISCONNECT_TIMEOUT, silent.read_to_end(&mut rest)).await;
    assert!(
        ended.is_ok(),
        "a connection without a handshake was not closed"
    );
    assert_serves(&cluster, "silent connections").await;
}

/// Guards against a listener that serves the paths of another one: callers would reach operator or
/// internal interfaces, and operators the caller interface.
#[tokio::test(flavor = "multi_thread")]
async fn each_listener_refuses_what_belongs_to_another() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let daemon = &cluster.daemons[0];
    let cases = [
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
    for (address, method, path) in cases {
        let (status, _) = exchange(address, method, path, Vec::new()).await.unwrap();
        assert_eq!(status, StatusCode::NOT_FOUND, "{method} {path}");
    }
    let internal = exchange(daemon.internal_address, "POST", "/v1/query", Vec::new()).await;
    assert_eq!(internal, None, "the internal port answered HTTP/1.1");
    let peer = cluster.daemons[1].internal_address;
    let headers = headers(PROTOCOL_VERSION, peer);
    for address in [daemon.caller_address, daemon.operator_address] {
        let got = stream(peer.ip(), address, &headers, "/batch", Bytes::new()).await;
        assert_eq!(got, Some(StatusCode::NOT_FOUND));
    }
}
