//! Planned stops of a VM while peers stop, links to leaves are cut or bodies are on their way.
//!
//! The VMs run in this process, so a response that arrives after the end of a stop counts as lost.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "../platform/tests/soak/cuts.rs"]
#[allow(dead_code, reason = "links of the soak can be cut by VM")]
mod cuts;
#[path = "support/fleet.rs"]
#[allow(unused_imports, reason = "the tests use a part of the fleet")]
mod fleet;
#[path = "support/gateway.rs"]
mod gateway;
#[path = "../platform/tests/soak/link.rs"]
#[allow(dead_code, reason = "the tests use a part of the links")]
mod link;

use std::time::{Duration, Instant};

use bytes::Bytes;
use cloverrack::gateway::{Connection, Reply};
use fleet::{Cut, ONCE_SERVICE, SAFE_SERVICE, SHARDS, STOP_GRACE_MS, TestFleet};
use futures_util::future::join_all;
use gateway::{LeafBehaviour, order, request};
use http::header::RETRY_AFTER;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time after SIGTERM by which all requests are answered.
const ANSWER_BY_MS: u64 = STOP_GRACE_MS - 700;

/// Longest retry time of a request that another VM serves at once.
const OTHER_VM_RETRY_MS: u64 = 20;

fn with_id(mut request: Request<Full<Bytes>>, id: &str) -> Request<Full<Bytes>> {
    request
        .headers_mut()
        .insert("x-request", id.parse().unwrap());
    request
}

async fn sleep_until_ms(since: Instant, after_ms: u64) {
    tokio::time::sleep_until((since + Duration::from_millis(after_ms)).into()).await;
}

/// Returns the retry time that a refusal names.
fn retry_ms(reply: &Reply) -> u64 {
    let seconds: f64 = reply.headers[RETRY_AFTER]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    (seconds * 1_000.0).round() as u64
}

/// Sends a request whose leaves have just crashed while the link check is open: the other leaves hang.
/// Returns the reply and its time.
async fn send_during_link_check(is_once: bool, sent_before_ms: u64) -> (Option<Reply>, Duration) {
    let fleet = TestFleet::start(2).await;
    let vm = &fleet.vms[0];
    let (crashing, other) = if is_once {
        (ONCE_SERVICE, SAFE_SERVICE)
    } else {
        (SAFE_SERVICE, ONCE_SERVICE)
    };
    let planned = |is_once| if is_once { order("x") } else { request("/a/x") };
    for (service, leaf) in &fleet.leaves {
        if *service == crashing {
            leaf.set(LeafBehaviour::Hang);
        }
    }
    let crash_at_ms = ANSWER_BY_MS - sent_before_ms - 100;
    let since = Instant::now();
    let stopped = vm.stop();
    sleep_until_ms(since, ANSWER_BY_MS - 1_000).await;
    let waiting = join_all((0..12).map(|_| vm.send(planned(is_once))));
    // Replies of other leaves keep the links from being checked before.
    let answered = async {
        while since.elapsed() < Duration::from_millis(crash_at_ms) {
            let mut brief = planned(!is_once);
            brief
                .headers_mut()
                .insert("x-time-left", "50".parse().unwrap());
            vm.send(brief).await;
            sleep(Duration::from_millis(20)).await;
        }
    };
    let late = async {
        sleep_until_ms(since, crash_at_ms).await;
        fleet.cut_services(0, Cut::Hang, &SHARDS).await;
        fleet.cut_services(0, Cut::Hang, &[other]).await;
        fleet.end_service(crashing).await;
        sleep_until_ms(since, ANSWER_BY_MS - sent_before_ms).await;
        let sent = Instant::now();
        let reply = vm.send(with_id(planned(is_once), "late")).await;
        (reply, sent.elapsed())
    };
    let (_, (), end) = tokio::join!(waiting, answered, late);
    stopped.await.unwrap();
    let executed = fleet.executed_ids(crashing);
    assert!(!executed.iter().any(|id| id == "late"));
    end
}

/// Guards against 502 for a request that no leaf has, and that waits for the check of the links when the
/// time for answers comes.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_that_waits_for_a_link_check_is_answered_as_refused() {
    let (reply, elapsed) = send_during_link_check(false, 330).await;
    let status = reply.map(|reply| reply.status);
    let expected = Some(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(status, expected, "after {elapsed:?}");
}

/// Guards against a wait for the check of the links by a request that has no time anyway.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_time_is_refused_before_the_links_are_checked() {
    const AT_ONCE: Duration = Duration::from_millis(50);
    let (reply, elapsed) = send_during_link_check(true, 130).await;
    let status = reply.map(|reply| reply.status);
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(elapsed < AT_ONCE, "{elapsed:?}");
}

/// Guards against a long retry time for a request that has no time on a stopping VM without links,
/// although another VM can serve it at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_vm_without_links_sends_callers_to_another_vm_at_once() {
    let fleet = TestFleet::start(2).await;
    let vm = &fleet.vms[0];
    fleet.cut(0, Cut::Refuse).await;
    while !vm.engine.state().link_monitor.is_lost() {
        vm.send(request("/a/x")).await;
        vm.send(order("x")).await;
    }
    let since = Instant::now();
    let stopped = vm.stop();
    sleep_until_ms(since, ANSWER_BY_MS - 200).await;
    let reply = vm.send(order("x")).await.unwrap();
    stopped.await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(retry_ms(&reply) <= OTHER_VM_RETRY_MS, "{reply:?}");
}

/// Guards against callers that return at once, again and again, while all VMs stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_stops_with_all_others_asks_callers_to_wait() {
    let fleet = TestFleet::start(2).await;
    let since = Instant::now();
    let stopped = [fleet.vms[1].stop(), fleet.vms[0].stop()];
    sleep_until_ms(since, ANSWER_BY_MS - 200).await;
    let reply = fleet.vms[0].send(order("x")).await.unwrap();
    for stopped in stopped {
        stopped.await.unwrap();
    }
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(retry_ms(&reply) > OTHER_VM_RETRY_MS, "{reply:?}");
}

/// Guards against a reset of the connection instead of the refusal, while the body is on its way.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_on_its_way_is_refused() {
    let fleet = TestFleet::start(2).await;
    let vm = &fleet.vms[0];
    let since = Instant::now();
    let stopped = vm.stop();
    let sends = (0..20).map(|index| async move {
        sleep_until_ms(since, ANSWER_BY_MS - 300 + index * 20).await;
        let stream = TcpStream::connect(vm.address).await.unwrap();
        let (mut reader, mut writer) = stream.into_split();
        let head = "POST /o/x HTTP/1.1\r\nhost: desk.example\r\nx-request: slow\r\n\
                    content-length: 100000\r\n\r\n";
        writer.write_all(head.as_bytes()).await.unwrap();
        let body = tokio::spawn(async move {
            while writer.write_all(&[0; 500]).await.is_ok() {
                sleep(Duration::from_millis(5)).await;
            }
        });
        sleep(Duration::from_millis(1)).await;
        let mut response = Vec::new();
        let mut part = [0; 4_096];
        while let Ok(length @ 1..) = reader.read(&mut part).await {
            response.extend_from_slice(&part[..length]);
        }
        body.abort();
        String::from_utf8_lossy(&response).into_owned()
    });
    let responses = join_all(sends).await;
    stopped.await.unwrap();
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 503"), "{responses:?}");
    }
}

/// Guards against a response that is lost because another request follows on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_pipelined_request_does_not_cost_the_response_before_it() {
    let fleet = TestFleet::start(2).await;
    let vm = &fleet.vms[0];
    for (_, leaf) in &fleet.leaves {
        leaf.set(LeafBehaviour::Slow(200));
    }
    let since = Instant::now();
    let stopped = vm.stop();
    let sends = (0..ANSWER_BY_MS / 100).map(|index| async move {
        sleep_until_ms(since, index * 100).await;
        let mut stream = TcpStream::connect(vm.address).await.unwrap();
        let head = "GET /a/x HTTP/1.1\r\nhost: desk.example\r\nx-request: first\r\n\r\n";
        stream.write_all(head.repeat(2).as_bytes()).await.unwrap();
        sleep(Duration::from_millis(300)).await;
        let mut response = Vec::new();
        let mut part = [0; 4_096];
        while let Ok(length @ 1..) = stream.read(&mut part).await {
            response.extend_from_slice(&part[..length]);
        }
        String::from_utf8_lossy(&response).into_owned()
    });
    let responses = join_all(sends).await;
    stopped.await.unwrap();
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 "), "{responses:?}");
    }
}

/// Guards against HTTP/2 requests without a response: in flight at SIGTERM, on connections without an
/// earlier request, and on new ones.
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_http2_are_answered_before_the_exit() {
    const WORK_MS: u64 = 1_500;
    let fleet = TestFleet::start(2).await;
    let vm = &fleet.vms[0];
    for (_, leaf) in &fleet.leaves {
        leaf.set(LeafBehaviour::Slow(WORK_MS));
    }
    let since = Instant::now();
    let address = vm.address;
    let send = |is_new: bool, sent_ms: u64| async move {
        if is_new {
            sleep_until_ms(since, sent_ms).await;
        }
        let stream = TcpStream::connect(address).await.unwrap();
        let builder = hyper::client::conn::http2::Builder::new(TokioExecutor::new());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.unwrap();
        tokio::spawn(connection);
        sleep_until_ms(since, sent_ms).await;
        let id = format!("{is_new}-{sent_ms}");
        let mut request = with_id(request("/a/x"), &id);
        *request.uri_mut() = "http://desk.example/a/x".parse().unwrap();
        let response = match sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => {
                println!("{id}: {error:?} after {:?}", since.elapsed());
                return (id, None);
            }
        };
        let status = response.status();
        let is_complete = response.into_body().collect().await.is_ok();
        (id, is_complete.then_some(status))
    };
    let mut sends = Vec::new();
    for sent_ms in (0..ANSWER_BY_MS + 150).step_by(100) {
        sends.push(send(false, sent_ms));
        sends.push(send(true, sent_ms));
    }
    let stopping = async {
        sleep_until_ms(since, 50).await;
        vm.stop().await.unwrap();
    };
    let (ends, ()) = tokio::join!(join_all(sends), stopping);
    let executed = fleet.executed_ids(SAFE_SERVICE);
    for (id, status) in &ends {
        let status = status.unwrap_or_else(|| panic!("no response to {id}: {ends:?}"));
        let has_run = executed.contains(id);
        assert!(status != StatusCode::SERVICE_UNAVAILABLE || !has_run);
    }
}

/// Guards against lost, falsely refused or repeated requests if a VM without links forwards to a VM
/// that stops as well.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_requests_are_answered_while_both_vms_stop() {
    let fleet = TestFleet::start(3).await;
    for (_, leaf) in &fleet.leaves {
        leaf.set(LeafBehaviour::Slow(150));
    }
    let since = Instant::now();
    let mut sends = Vec::new();
    for sent_ms in (0..STOP_GRACE_MS - 550).step_by(40) {
        for kind in ["safe", "order"] {
            let vm = &fleet.vms[0];
            sends.push(async move {
                sleep_until_ms(since, sent_ms).await;
                let mut connection = Connection::open(vm.address).await.unwrap();
                sleep_until_ms(since, 1_000 + sent_ms).await;
                let id = format!("{kind}-{sent_ms}");
                let planned = match kind {
                    "order" => order("x"),
                    _ => request("/a/x"),
                };
                let reply = connection.exchange(with_id(planned, &id)).await;
                (id, reply.map(|reply| reply.status), since.elapsed())
            });
        }
    }
    let stopping = async {
        sleep_until_ms(since, 1_000).await;
        let first = fleet.vms[0].stop();
        sleep_until_ms(since, 1_500).await;
        let second = fleet.vms[1].stop();
        sleep_until_ms(since, 3_000).await;
        fleet.cut(0, Cut::Hang).await;
        first.await.unwrap();
        let stopped_after = since.elapsed();
        second.await.unwrap();
        stopped_after
    };
    let (ends, stopped_after) = tokio::join!(join_all(sends), stopping);
    let mut executed = fleet.executed_ids(SAFE_SERVICE);
    executed.extend(fleet.executed_ids(ONCE_SERVICE));
    let mut counts = std::collections::BTreeMap::new();
    for (id, status, ended_after) in &ends {
        let runs = executed.iter().filter(|executed| *executed == id).count();
        let status = status.unwrap_or_else(|error| panic!("no response to {id}: {error}"));
        *counts.entry(status.as_u16()).or_insert(0) += 1;
        assert!(*ended_after <= stopped_after, "{id} after the exit");
        assert!(
            status != StatusCode::SERVICE_UNAVAILABLE || runs == 0,
            "{id} refused and run"
        );
        assert!(runs <= 1 || id.starts_with("safe"), "{id} run {runs} times");
    }
    println!("{counts:?}");
}

/// Guards against a VM that is killed with requests in flight, since it was suspended when SIGTERM
/// arrived and counts the grace period from its end.
#[tokio::test]
async fn a_stop_counts_from_the_begin_of_a_suspension() {
    const SUSPENDED: Duration = Duration::from_millis(1_500);
    let fleet = TestFleet::start(2).await;
    sleep(Duration::from_secs(1)).await;
    let signalled = Instant::now();
    // Blocks the runtime of the VM, as a suspension does.
    std::thread::sleep(SUSPENDED);
    fleet.vms[0].stop().await.unwrap();
    let elapsed = signalled.elapsed();
    assert!(
        elapsed < Duration::from_millis(STOP_GRACE_MS),
        "{elapsed:?}"
    );
}

/// Guards against an exit without answers, since the VM was suspended for longer than the grace period.
#[tokio::test]
async fn requests_are_answered_after_a_suspension_longer_than_the_grace_period() {
    const SUSPENDED: Duration = Duration::from_millis(STOP_GRACE_MS + 1_000);
    let fleet = TestFleet::start(2).await;
    let vm = &fleet.vms[0];
    for (_, leaf) in &fleet.leaves {
        leaf.set(LeafBehaviour::Hang);
    }
    sleep(Duration::from_secs(1)).await;
    let waiting = async {
        let mut patient = order("x");
        let time_left = (2 * STOP_GRACE_MS).to_string().parse().unwrap();
        patient.headers_mut().insert("x-time-left", time_left);
        let mut connection = Connection::open(vm.address).await.unwrap();
        let reply = connection.exchange(patient).await;
        (reply.map(|reply| reply.status), Instant::now())
    };
    let stopping = async {
        sleep(Duration::from_millis(200)).await;
        std::thread::sleep(SUSPENDED);
        vm.stop().await.unwrap();
        Instant::now()
    };
    let ((status, ended), stopped) = tokio::join!(waiting, stopping);
    assert!(status.is_ok() && ended <= stopped, "{status:?}");
}

/// Guards against closing a connection that is idle for less than the configuration allows: a request
/// that is on its way then is lost.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_stays_open_as_long_as_the_configuration_says() {
    let fleet = TestFleet::start(1).await;
    let vm = &fleet.vms[0];
    let mut connection = Connection::open(vm.address).await.unwrap();
    connection.exchange(request("/a/x")).await.unwrap();
    sleep(Duration::from_secs(6)).await;
    let reply = connection.exchange(request("/a/x")).await;
    assert_eq!(reply.map(|reply| reply.status), Ok(StatusCode::OK));
}
