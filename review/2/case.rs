//! LOST: requests that a machine takes from clients later than 3 s after its SIGTERM, and passes on
//! to a leaf, are cut without an answer when its process exits.
#[path = "../common.rs"]
mod common;
use common::*;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "desk.example";
const BUDGET_MS: u64 = 6_000;
/// Times after the SIGTERM at which clients send, within three times `ttl_s`, and times for which a leaf
/// works on these requests, in milliseconds.
const SENDS: [(u64, u64); 8] = [
    (500, 2_400),
    (3_300, 2_400),
    (3_600, 2_400),
    (3_900, 2_400),
    (4_200, 2_400),
    (4_350, 1_500),
    (4_400, 1_500),
    (4_450, 1_500),
];

#[derive(Clone, Debug, Default)]
struct Run {
    ended: Option<(u64, bool)>,
}

fn main() {
    let record = Record::new();
    let store = Store::start();
    let system = System::new(3, &["pnw-a", "pnw-b", "pnw-c"], store.address);
    guard(&record, &system, 60);
    store.put(
        "op/config",
        r#"{"Version":7,"Routes":[{"Name":"r-visits","Hostname":"desk.example","Prefix":"/visits/","RouteType":"unsafe","TimeoutMs":6000,"TargetLatencyMs":3000,"Priority":2,"Backend":"site-visits","MaxAttempts":2}],"Services":[{"Name":"site-visits","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#,
    );
    let runs: Arc<Mutex<BTreeMap<String, Run>>> = Arc::default();
    let mut leafs = Vec::new();
    for (number, zone) in ["pnw-a", "pnw-b", "pnw-c"].iter().enumerate() {
        let (runs, record) = (Arc::clone(&runs), Arc::clone(&record));
        let handler = move |call: &mut Call| {
            let id = call.request_id.clone();
            record.add(format!("leaf {} begins to run {id}", call.leaf.id));
            runs.lock().unwrap().insert(id.clone(), Run::default());
            let work_ms = call
                .request
                .path()
                .rsplit('/')
                .next()
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(20);
            let is_kept = call.work(work_ms);
            let what = if is_kept {
                "answers"
            } else {
                "sees its connection closed while it runs"
            };
            record.add(format!("leaf {} {what} {id}", call.leaf.id));
            runs.lock().unwrap().get_mut(&id).unwrap().ended = Some((record.now_ms(), is_kept));
            if is_kept {
                call.answer(b"booked")
            } else {
                Ok(())
            }
        };
        leafs.push(Leaf::start(
            &store,
            &format!("i-{number}"),
            "site-visits",
            zone,
            4,
            Arc::new(handler),
        ));
    }
    for machine in 0..3 {
        system.start(machine, true);
    }
    if !system.wait_ready(3, 15_000) {
        finish(&record, &system, 2, "the machines did not become ready");
    }
    sleep_ms(6_000);
    // Each client has a kept connection to machine 0 and has just asked for the addresses.
    let mut clients = Vec::new();
    for number in 0..SENDS.len() {
        let mut peer = Peer::connect(system.front(0)).unwrap();
        let id = format!("first-{number}");
        peer.send(&request("POST", HOST, "/visits/20", &id, BUDGET_MS, b"x"))
            .unwrap();
        let answer = peer.read(Instant::now() + Duration::from_secs(6));
        if !answer.as_ref().is_ok_and(|answer| answer.status() == 200) {
            finish(
                &record,
                &system,
                2,
                "a request before the SIGTERM was not served",
            );
        }
        clients.push(peer);
    }
    let (addrs, ttl_s) = system.resolve(0, "pnw-a");
    let stopped = Instant::now();
    record.add(format!(
        "clients resolve: {addrs:?}, ttl_s {ttl_s}; some keep the answer three times as long"
    ));
    if !addrs.contains(&system.front(0)) || 3.0 * ttl_s < 4.46 {
        finish(
            &record,
            &system,
            2,
            "the clients would not use machine 0 for so long",
        );
    }
    if has_trouble() {
        record.add("SIGTERM to machine 0");
        system.signal(0, "TERM");
    }
    let sending = clients.into_iter().zip(SENDS).enumerate();
    let sending = sending.map(|(number, (mut peer, (at_ms, work_ms)))| {
        let record = Arc::clone(&record);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(at_ms).saturating_sub(stopped.elapsed()));
            let id = format!("long-{number}");
            let sent_ms = stopped.elapsed().as_millis() as u64;
            record.add(format!(
                "client sends {id} on its kept connection, {sent_ms} ms after the SIGTERM"
            ));
            let body = request(
                "POST",
                HOST,
                &format!("/visits/{work_ms}"),
                &id,
                BUDGET_MS,
                b"x",
            );
            let sent = peer.send(&body);
            let result = match sent {
                Ok(()) => peer.read(Instant::now() + Duration::from_millis(BUDGET_MS)),
                Err(_) => Err(End::ClosedUnanswered),
            };
            let ended_ms = stopped.elapsed().as_millis() as u64;
            let text = match &result {
                Ok(answer) => format!("is answered {}", answer.status()),
                Err(end) => format!("gets no complete answer: {end:?}"),
            };
            record.add(format!(
                "client of {id} {text}, {ended_ms} ms after the SIGTERM"
            ));
            (id, sent_ms, ended_ms, result.is_ok())
        })
    });
    let sending: Vec<_> = sending.collect();
    let observer = has_trouble().then(|| {
        let (record, system) = (Arc::clone(&record), Arc::clone(&system));
        thread::spawn(move || {
            let limit_ms = GRACE_S * 1_000;
            let status = system.wait_end(
                0,
                limit_ms.saturating_sub(stopped.elapsed().as_millis() as u64),
            );
            let at_ms = stopped.elapsed().as_millis();
            match status {
                Some(status) => record.add(format!(
                    "process of machine 0 ends by itself, {at_ms} ms after the SIGTERM: {status}"
                )),
                None => {
                    record.add("SIGKILL to machine 0");
                    system.signal(0, "KILL");
                }
            }
        })
    });
    let results: Vec<_> = sending
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    if let Some(observer) = observer {
        observer.join().unwrap();
    }
    sleep_ms(200);
    let mut lost = 0;
    for (id, sent_ms, ended_ms, is_answered) in &results {
        let run = runs.lock().unwrap().get(id).cloned();
        // The excuses of the rule: sent no later than 3 s after the SIGTERM, or the connection ends
        // later than 1 s after GraceS, or the time budget was reached.
        let is_excused = *sent_ms <= 3_000
            || *ended_ms > GRACE_S * 1_000 + 1_000
            || ended_ms - sent_ms >= BUDGET_MS;
        if !is_answered && run.is_some() && !is_excused {
            lost += 1;
            record.add(format!(
                "LOST: {id} was passed on to a leaf and its connection ended without an answer"
            ));
        }
    }
    if lost > 0 {
        finish(
            &record,
            &system,
            1,
            &format!("LOST is broken: {lost} of {} requests", results.len()),
        );
    }
    let answered = results.iter().filter(|result| result.3).count();
    finish(
        &record,
        &system,
        0,
        &format!(
            "LOST holds: {answered} of {} requests answered",
            results.len()
        ),
    );
}
