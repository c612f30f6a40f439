//! Responses of a VM to a forwarded request that end early or say neither that it has run nor that it
//! has not.

#![allow(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

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
#[path = "support/raw_leaf.rs"]
mod raw_leaf;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cloverrack::gateway::explain::Forwarding;
use cloverrack::gateway::{CallerService, ExplainRequest, Forwarder, VmClient};
use cloverrack::http_server::{ShutdownSignals, serve};
use fleet::{Cut, TestFleet};
use futures_util::future::join_all;
use gateway::request;
use h2::Reason;
use h2::server::{Connection, SendResponse};
use http::Response;
use raw_leaf::{RawResponse, send_raw};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Port on which the VMs of this test serve forwarded requests.
const FORWARD_PORT: u16 = 7_799;

/// Time after which a cut counts as known.
const KNOWN: Duration = Duration::from_millis(1_000);

/// Time in which the bytes before an end are received.
const RECEIVED: Duration = Duration::from_millis(5);

const BODY: &[u8; 32] = b"bbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa";

/// How a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The stream ends, by which the response is whole.
    Whole,
    Reset(Reason),
    /// The VM announces that it closes the connection, and closes it.
    GoAway(Reason),
    /// The connection closes.
    Close,
}

const CUT_ENDINGS: [Ending; 6] = [
    Ending::Reset(Reason::NO_ERROR),
    Ending::Reset(Reason::CANCEL),
    Ending::Reset(Reason::INTERNAL_ERROR),
    Ending::GoAway(Reason::NO_ERROR),
    Ending::GoAway(Reason::INTERNAL_ERROR),
    Ending::Close,
];

/// What a VM does with a forwarded request.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    status: u16,
    /// Headers of the response besides the signature, or `None` for no head.
    headers: Option<&'static [(&'static str, &'static str)]>,
    sent_bytes: usize,
    ending: Ending,
}

const HANDLED: Option<&[(&str, &str)]> = Some(&[("cloverrack-handled", "1")]);
const HANDLED_WITH_LENGTH: Option<&[(&str, &str)]> =
    Some(&[("cloverrack-handled", "1"), ("content-length", "32")]);

/// A VM that reaches no leaf, and two to which it forwards its requests.
struct ForwardTest {
    _fleet: TestFleet,
    address: SocketAddr,
    service: Arc<CallerService>,
    behaviour: Arc<Mutex<Behaviour>>,
    received: Arc<AtomicUsize>,
}

impl ForwardTest {
    async fn start() -> Self {
        let fleet = TestFleet::start(3).await;
        fleet.cut(0, Cut::Hang).await;
        let vm = &fleet.vms[0];
        join_all((0..4).map(|_| vm.serves(request("/g/x")))).await;
        sleep(KNOWN).await;
        let behaviour = Behaviour {
            status: 200,
            headers: HANDLED,
            sent_bytes: BODY.len(),
            ending: Ending::Whole,
        };
        let behaviour = Arc::new(Mutex::new(behaviour));
        let received = Arc::new(AtomicUsize::new(0));
        for other in &fleet.vms[1..] {
            let address = SocketAddr::new(other.address.ip(), FORWARD_PORT);
            let listener = TcpListener::bind(address).await.unwrap();
            let (behaviour, received) = (Arc::clone(&behaviour), Arc::clone(&received));
            tokio::spawn(serve_forwards(listener, behaviour, received));
        }
        let engine = Arc::clone(&vm.engine);
        let membership = Arc::clone(&vm.membership);
        let grace_ms = fleet::STOP_GRACE_MS;
        let client = VmClient::new(Arc::clone(&engine), membership, FORWARD_PORT, grace_ms);
        let forwarder = Forwarder::new(Arc::clone(&engine), Arc::new(client));
        let service = CallerService::new(engine).with_forwarder(Arc::new(forwarder));
        let service = Arc::new(service);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(
            listener,
            Arc::clone(&service),
            ShutdownSignals::default(),
        ));
        Self {
            _fleet: fleet,
            address,
            service,
            behaviour,
            received,
        }
    }

    /// Sends a request that must not run twice; returns the response and how often it was forwarded.
    async fn send(&self, behaviour: Behaviour) -> (RawResponse, usize) {
        // A VM that has failed is not used for 500 ms.
        sleep(Duration::from_millis(520)).await;
        *self.behaviour.lock().unwrap() = behaviour;
        self.received.store(0, Ordering::SeqCst);
        let response = send_raw(self.address, "POST", "/o/x", "cut", b"order").await;
        (response, self.received.load(Ordering::SeqCst))
    }
}

async fn serve_forwards(
    listener: TcpListener,
    behaviour: Arc<Mutex<Behaviour>>,
    received: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (behaviour, received) = (Arc::clone(&behaviour), Arc::clone(&received));
        tokio::spawn(async move {
            let mut connection = h2::server::handshake(stream).await.unwrap();
            while let Some(Ok((request, response))) = connection.accept().await {
                let mut body = request.into_body();
                // The connection makes progress only while it is polled.
                let reading = async { while body.data().await.is_some() {} };
                tokio::select! {
                    () = reading => {}
                    _ = std::future::poll_fn(|context| connection.poll_closed(context)) => return,
                }
                received.fetch_add(1, Ordering::SeqCst);
                let behaviour = *behaviour.lock().unwrap();
                if !respond(&mut connection, response, behaviour).await {
                    return;
                }
            }
        });
    }
}

/// Responds as given; returns whether the connection is kept.
async fn respond(
    connection: &mut Connection<TcpStream, Bytes>,
    mut response: SendResponse<Bytes>,
    behaviour: Behaviour,
) -> bool {
    let is_whole = behaviour.ending == Ending::Whole;
    let mut stream = None;
    if let Some(headers) = behaviour.headers {
        let mut head = Response::builder()
            .status(behaviour.status)
            .header("x-signature", "signed");
        for (name, value) in headers {
            head = head.header(*name, *value);
        }
        let mut sending = response
            .send_response(head.body(()).unwrap(), false)
            .unwrap();
        let sent = Bytes::from_static(&BODY[..behaviour.sent_bytes]);
        sending.send_data(sent, is_whole).unwrap();
        stream = Some(sending);
    }
    progress(connection).await;
    match behaviour.ending {
        Ending::Whole => return true,
        Ending::Reset(reason) => {
            match &mut stream {
                Some(stream) => stream.send_reset(reason),
                None => response.send_reset(reason),
            }
            progress(connection).await;
            return true;
        }
        Ending::GoAway(reason) => {
            connection.abrupt_shutdown(reason);
            progress(connection).await;
        }
        Ending::Close => {}
    }
    false
}

/// Sends what is due on a connection.
async fn progress(connection: &mut Connection<TcpStream, Bytes>) {
    let closed = std::future::poll_fn(|context| connection.poll_closed(context));
    tokio::time::timeout(RECEIVED, closed).await.ok();
}

/// Guards against a response that ends early and reaches the caller as a whole one, and against a second
/// run of a request on another VM.
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_are_cut_are_not_served() {
    let forward_test = ForwardTest::start().await;
    for headers in [HANDLED, HANDLED_WITH_LENGTH] {
        let whole = Behaviour {
            status: 200,
            headers,
            sent_bytes: BODY.len(),
            ending: Ending::Whole,
        };
        let (response, received) = forward_test.send(whole).await;
        assert_eq!((response.status, received), (200, 1), "{response:?}");
        assert_eq!(response.body, BODY);
        assert_eq!(response.field("x-signature").as_deref(), Some("signed"));
    }
    for headers in [None, HANDLED, HANDLED_WITH_LENGTH] {
        for sent_bytes in [0, 1, 31] {
            for ending in CUT_ENDINGS {
                let behaviour = Behaviour {
                    status: 200,
                    headers,
                    sent_bytes,
                    ending,
                };
                let (response, received) = forward_test.send(behaviour).await;
                let case = format!("{behaviour:?}: {response:?}");
                assert_eq!((response.status, received), (502, 1), "{case}");
                assert!(response.body.is_empty(), "{case}");
            }
        }
    }
}

/// Guards against taking a response that does not say whether the VM has run the request for a refusal,
/// and running the request on another VM as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_says_nothing_of_the_request_is_no_refusal() {
    let forward_test = ForwardTest::start().await;
    let send = async |headers| {
        let behaviour = Behaviour {
            status: 200,
            headers: Some(headers),
            sent_bytes: BODY.len(),
            ending: Ending::Whole,
        };
        let (response, received) = forward_test.send(behaviour).await;
        (response.status, received)
    };
    assert_eq!(send(&[]).await, (502, 1));
    assert_eq!(send(&[("cloverrack-not-run", "busy")]).await, (503, 2));
    assert_eq!(
        send(&[("cloverrack-not-run", "new reason")]).await,
        (503, 2)
    );
}

/// Guards against serving a response with a status that no response can have, and against believing that its
/// request has not run.
#[tokio::test(flavor = "multi_thread")]
async fn responses_with_an_impossible_status_are_not_served() {
    let forward_test = ForwardTest::start().await;
    let not_run: &[(&str, &str)] = &[("cloverrack-not-run", "busy")];
    for status in [600, 999] {
        for headers in [HANDLED, Some(not_run)] {
            let behaviour = Behaviour {
                status,
                headers,
                sent_bytes: BODY.len(),
                ending: Ending::Whole,
            };
            let (response, received) = forward_test.send(behaviour).await;
            assert_eq!((response.status, received), (502, 1), "{response:?}");
            assert!(response.body.is_empty(), "{response:?}");
        }
    }
}

/// Guards against an explanation that leaves out that the request would be forwarded, or that forwards it.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_links_explains_that_it_forwards() {
    let forward_test = ForwardTest::start().await;
    let request = ExplainRequest::new("desk.example", "/o/x", "POST").unwrap();
    let explanation = forward_test.service.explain(&request).unwrap();
    assert_eq!(explanation.forwarding, Forwarding::All);
    assert_eq!(forward_test.received.load(Ordering::SeqCst), 0);
}
