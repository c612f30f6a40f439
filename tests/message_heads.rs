//! Heads of the HTTP/2 messages between VMs, which carry the versions of their bodies, compared with
//! those of commit 43f3458.
//!
//! VMs are replaced one after another, so both builds have to agree on the heads.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "../platform/tests/soak/cuts.rs"]
#[allow(dead_code, reason = "links of the soak can be cut by VM")]
mod cuts;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/gateway.rs"]
mod gateway;
#[path = "../platform/tests/soak/link.rs"]
#[allow(dead_code, reason = "the tests use a part of the links")]
mod link;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cloverrack::document::Version;
use cloverrack::fact::Profile;
use cloverrack::gateway::{
    CatalogUpdate, ForwardedRequest, LeafAnswer, Membership, PriorCalls, VmClient, catalog_rpc,
};
use cloverrack::wire::{decode, encode};
use fleet::{Cut, STOP_GRACE_MS, TestFleet};
use gateway::{call_spec, engine, order, publish, request, single_route};
use h2::RecvStream;
use http::{HeaderMap, Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, timeout};

/// Ports of a VM for the catalog and for calls of other VMs.
const INTERNAL_PORT: u16 = 7_740;
const VM_CALLS_PORT: u16 = 7_741;

/// Prefix of the headers between VMs.
const HEADER_PREFIX: &str = "cloverrack-";

/// Last octet of the address of a VM of another build.
const OTHER_VM: u8 = 200;

/// Requests that it refuses.
const REFUSALS: usize = 3;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limit for an exchange, and for VMs to find each other and a cut.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(10);

/// Returns the headers between VMs, one a line.
fn header_lines(headers: &HeaderMap) -> Vec<String> {
    let headers = headers.iter();
    let own = headers.filter(|(name, _)| name.as_str().starts_with(HEADER_PREFIX));
    let mut lines: Vec<String> = own
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
        .collect();
    lines.sort();
    lines
}

/// Accepts one connection, answers its first request with a status, a header and a body, and returns
/// the head of the request.
async fn answer_one(
    listener: TcpListener,
    header: Option<(&'static str, &'static str)>,
    body: Bytes,
) -> Vec<String> {
    let (stream, _) = listener.accept().await.unwrap();
    let mut connection = h2::server::handshake(stream).await.unwrap();
    let (request, mut respond) = connection.accept().await.unwrap().unwrap();
    let mut response = Response::new(());
    if let Some((name, value)) = header {
        let value = value.parse().unwrap();
        response.headers_mut().insert(name, value);
    }
    let mut sent = respond.send_response(response, false).unwrap();
    sent.send_data(body, true).unwrap();
    let mut lines = vec![format!("{} {}", request.method(), request.uri().path())];
    lines.extend(header_lines(request.headers()));
    // Drives the connection until the client closes it.
    timeout(EXCHANGE_LIMIT, connection.accept()).await.ok();
    lines
}

/// Sends a request as an earlier build does; returns the head and the body of the response.
async fn exchange(
    from: SocketAddr,
    to: SocketAddr,
    request: Request<()>,
    body: Bytes,
) -> (StatusCode, Vec<String>, Bytes) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(from).unwrap();
    let stream = socket.connect(to).await.unwrap();
    let (client, connection) = h2::client::handshake(stream).await.unwrap();
    let driver = tokio::spawn(connection);
    let mut client = client.ready().await.unwrap();
    // A request without a body ends with its head, as those of earlier builds do. Its response may close the
    // stream before a separate end could be sent.
    let (response, mut sent) = client.send_request(request, body.is_empty()).unwrap();
    if !body.is_empty() {
        sent.send_data(body, true).unwrap();
    }
    let (head, body) = timeout(EXCHANGE_LIMIT, response)
        .await
        .unwrap()
        .unwrap()
        .into_parts();
    let body = read_all(body).await;
    driver.abort();
    (head.status, header_lines(&head.headers), body)
}

async fn read_all(mut body: RecvStream) -> Bytes {
    let mut bytes = Vec::new();
    while let Some(part) = body.data().await {
        bytes.extend_from_slice(&part.unwrap());
    }
    bytes.into()
}

/// Returns a message of an earlier build.
fn earlier_message(name: &str) -> Bytes {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/inputs/messages");
    let text = std::fs::read_to_string(folder.join(name)).unwrap();
    let digits: Vec<char> = text.split_whitespace().flat_map(str::chars).collect();
    let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16);
    digits.chunks(2).map(|pair| byte(pair).unwrap()).collect()
}

/// Guards against a VM that asks for the catalog in a way that an earlier build refuses.
#[tokio::test(flavor = "multi_thread")]
async fn the_catalog_is_requested_as_by_earlier_builds() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = earlier_message("catalog-2/changes.hex");
    let expected: CatalogUpdate = decode(&body).unwrap();
    let answered = tokio::spawn(answer_one(listener, None, body));
    let after = Version {
        epoch: 3,
        revision: 7,
    };
    let fetched = catalog_rpc::fetch_update(address, after).await;
    assert_eq!(fetched.map(|fetched| fetched.update), Ok(expected));
    assert_eq!(
        answered.await.unwrap(),
        [
            "GET /catalog",
            "cloverrack-after: 3.7",
            "cloverrack-protocol: 2"
        ]
    );
}

/// Guards against a VM that refuses the catalog to an earlier build, or sends it to one that reads
/// another version.
#[tokio::test(flavor = "multi_thread")]
async fn the_catalog_is_sent_to_earlier_builds() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let engine = engine();
    publish(&engine, 1, vec![single_route("/a/", "one", true, 1)], &[]);
    tokio::spawn(catalog_rpc::serve(listener, Arc::clone(&engine)));
    let from = "127.0.0.1:0".parse().unwrap();
    for (version, expected) in [("2", StatusCode::OK), ("1", StatusCode::BAD_REQUEST)] {
        let request = Request::get(format!("http://{to}/catalog"))
            .header("cloverrack-after", "0.0")
            .header("cloverrack-protocol", version);
        let (status, _, body) = exchange(from, to, request.body(()).unwrap(), Bytes::new()).await;
        assert_eq!(status, expected, "version {version}");
        let is_catalog = decode::<CatalogUpdate>(&body).is_ok();
        assert_eq!(is_catalog, expected == StatusCode::OK, "version {version}");
    }
}

/// Guards against calls of other VMs that an earlier build rejects.
#[tokio::test(flavor = "multi_thread")]
async fn vms_are_called_as_by_earlier_builds() {
    let fleet = TestFleet::start(2).await;
    let ip = fleet.vms[1].address.ip();
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let from = &fleet.vms[0];
    let (engine, membership) = (Arc::clone(&from.engine), Arc::clone(&from.membership));
    let client = VmClient::new(engine, membership, port, STOP_GRACE_MS);
    let answered = tokio::spawn(answer_one(listener, None, Bytes::new()));
    let vm = client.choose(&[]).unwrap();
    client.call(&vm, "/forward", Bytes::new()).await.unwrap();
    drop(vm);
    client.close_idle();
    assert_eq!(
        answered.await.unwrap(),
        ["POST /forward", "cloverrack-message-version: 1"]
    );
}

/// Guards against requests and questions of an earlier build that are not handled, and against
/// responses that it does not read as handled or not run.
#[tokio::test(flavor = "multi_thread")]
async fn calls_of_earlier_builds_are_handled() {
    let fleet = TestFleet::start(2).await;
    let from = SocketAddr::new(fleet.vms[0].address.ip(), 0);
    let to = SocketAddr::new(fleet.vms[1].address.ip(), VM_CALLS_PORT);
    let call = async |path: &str, version: &str, body: Bytes| {
        let request = Request::post(format!("http://{to}{path}"))
            .header("cloverrack-message-version", version);
        exchange(from, to, request.body(()).unwrap(), body).await
    };
    let questions = earlier_message("vm-calls-1/leaf-questions.hex");
    let (status, head, body) = call("/leaf-states", "1", questions.clone()).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(head, ["cloverrack-handled: 1"]);
    let unknown = vec![LeafAnswer::Unknown; 2];
    assert_eq!(decode::<Vec<LeafAnswer>>(&body), Ok(unknown));
    let spec = call_spec();
    let known = ForwardedRequest::new("desk.example", &spec, 1, PriorCalls::default());
    let known = Bytes::from(encode(&known).unwrap());
    let (status, head, _) = call("/forward", "1", known.clone()).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(head, ["cloverrack-handled: 1"]);
    let newer = earlier_message("vm-calls-1/forwarded-request.hex");
    for (path, version, body, reason) in [
        ("/forward", "1", newer, "older configuration"),
        ("/forward", "2", known, "rejected"),
        ("/leaf-states", "2", questions, "rejected"),
        ("/other", "1", Bytes::new(), "rejected"),
    ] {
        let (status, head, body) = call(path, version, body).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{path} {version}");
        assert_eq!(head, [format!("cloverrack-not-run: {reason}")]);
        assert!(body.is_empty());
    }
    assert_eq!(fleet.executed(), 1);
}

/// Answers all calls of other VMs at `ip` with a reason for which they were not run.
async fn refuse_calls(ip: IpAddr, reason: &'static str, refused: Arc<AtomicUsize>) {
    let listener = TcpListener::bind((ip, VM_CALLS_PORT)).await.unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let refused = Arc::clone(&refused);
        tokio::spawn(async move {
            let mut connection = h2::server::handshake(stream).await.unwrap();
            while let Some(Ok((_, mut respond))) = connection.accept().await {
                let mut response = Response::new(());
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                let value = reason.parse().unwrap();
                response.headers_mut().insert("cloverrack-not-run", value);
                respond.send_response(response, true).unwrap();
                refused.fetch_add(1, Ordering::SeqCst);
            }
        });
    }
}

/// Guards against forwarded requests that fail, or are taken for run, since a VM of another build gives
/// a reason that this one does not know.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_for_an_unknown_reason_is_offered_to_another_vm() {
    let fleet = TestFleet::start(2).await;
    let IpAddr::V4(ip) = fleet.vms[0].address.ip() else {
        panic!("the fleet uses IPv4");
    };
    let [a, b, c, _] = ip.octets();
    let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, OTHER_VM));
    let refused = Arc::new(AtomicUsize::new(0));
    tokio::spawn(refuse_calls(ip, "stopping", Arc::clone(&refused)));
    let address = SocketAddr::new(ip, INTERNAL_PORT);
    let seeds = vec![fleet.vms[0].membership.address()];
    let profile = Profile {
        caller_address: address,
        failure_domain: "a".into(),
        millicores: 500,
        link_mbps: 1_000,
    };
    let membership = Membership::bind(address, seeds, profile).await.unwrap();
    tokio::spawn(Arc::clone(&membership).run());
    let is_known = || fleet.vms[0].membership.live_vms().len() == 3;
    let began = Instant::now();
    while !is_known() {
        assert!(began.elapsed() < EXCHANGE_LIMIT, "the VM is not discovered");
        sleep(POLL_INTERVAL).await;
    }
    fleet.cut(0, Cut::Hang).await;
    // Requests find the cut; those that may have run fail.
    while !fleet.vms[0].engine.state().link_monitor.is_lost() {
        assert!(began.elapsed() < EXCHANGE_LIMIT, "the cut is not found");
        fleet.vms[0].serves(request("/g/x")).await;
    }
    let executed = fleet.executed();
    let mut served = 0;
    while refused.load(Ordering::SeqCst) < REFUSALS {
        assert!(began.elapsed() < EXCHANGE_LIMIT, "few requests are refused");
        assert!(fleet.vms[0].serves(order("x")).await);
        served += 1;
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(fleet.executed(), executed + served);
}
