//! LOST: the machines keep the last 128 changes of the catalog, each with the whole configuration, and
//! grow over their memory while a large configuration changes; the platform kills them.
#[path = "../common.rs"]
mod common;
use common::*;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "desk.example";
const MACHINES: usize = 2;
const CLIENTS: usize = 16;
/// `MemoryMb` in the settings of the machines.
const MEMORY_MB: f64 = 260.0;
const SHARDS: usize = 10;
/// Routes beside the one that clients use, as after `big_config` with a count of 380, five times.
const ROUTES: usize = 5 * 380;
/// Storms of changes, of one in so many milliseconds for 3.2 s, as in the site file, with a pause after each.
const STORMS: u64 = 16;
const CHANGES_PER_STORM: u64 = 21;
const GAP_MS: u64 = 150;
const PAUSE_MS: u64 = 1_000;
/// Ends of each machine's process for which the case waits.
const ENDS: usize = 1;

fn configuration(version: u64, routes: usize) -> String {
    let shards: Vec<String> = (0..SHARDS).map(|n| format!("\"sd{n:02}\"")).collect();
    let shards = shards.join(",");
    let mut text = format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-visits","Hostname":"{HOST}","Prefix":"/visits/","RouteType":"unsafe","TimeoutMs":6000,"TargetLatencyMs":600,"Priority":2,"Backend":"site-visits","MaxAttempts":2}}"#
    );
    for number in 0..routes {
        // Each version changes the timeout of one route.
        let timeout_ms = if version as usize % routes == number {
            1_400
        } else {
            1_500
        };
        text.push_str(&format!(
            r#",{{"Name":"r{number:04}","Hostname":"h{}.example","Prefix":"/p{number}/","RouteType":"safe","TimeoutMs":{timeout_ms},"TargetLatencyMs":150,"Priority":1,"Gather":[{shards}],"MaxAttempts":2,"TopK":50,"MinCoverage":0.95}}"#,
            number % 20
        ));
    }
    text.push_str(r#"],"Services":[{"Name":"site-visits","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false}"#);
    for number in 0..SHARDS {
        text.push_str(&format!(r#",{{"Name":"sd{number:02}","HealthPath":"/health","MaxConns":77,"Protocol":"h1","Tls":false}}"#));
    }
    text.push_str(r#"],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#);
    text
}

fn main() {
    let record = Record::new();
    let store = Store::start();
    let system = System::new(MACHINES, &["pnw-a", "pnw-b"], store.address);
    guard(&record, &system, 115);
    let bytes = configuration(1_000, ROUTES).len();
    record.add(format!(
        "configuration: {ROUTES} routes more, to {SHARDS} shards each; {bytes} bytes"
    ));
    store.put("op/config", &configuration(1_000, ROUTES));
    let begun: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut leafs = Vec::new();
    for number in 0..4 {
        let begun = Arc::clone(&begun);
        let handler = move |call: &mut Call| {
            begun.lock().unwrap().insert(call.request_id.clone());
            if call.work(160) {
                call.answer(b"booked")
            } else {
                Ok(())
            }
        };
        leafs.push(Leaf::start(
            &store,
            &format!("i-{number}"),
            "site-visits",
            ["pnw-a", "pnw-b"][number % 2],
            8,
            Arc::new(handler),
        ));
    }
    for machine in 0..MACHINES {
        system.start(machine, true);
    }
    if !system.wait_ready(MACHINES, 15_000) {
        finish(&record, &system, 2, "the machines did not become ready");
    }
    sleep_ms(5_000);
    let is_over = Arc::new(AtomicBool::new(false));
    // The platform: kills a process that exceeds its memory, and starts it again.
    let kills = Arc::new(Mutex::new(vec![0; MACHINES]));
    let peak = Arc::new(Mutex::new(vec![0.0_f64; MACHINES]));
    let platform = {
        let (record, system, is_over) = (
            Arc::clone(&record),
            Arc::clone(&system),
            Arc::clone(&is_over),
        );
        let (kills, peak) = (Arc::clone(&kills), Arc::clone(&peak));
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                for machine in 0..MACHINES {
                    let memory = system.pid(machine).and_then(memory_mb).unwrap_or(0.0);
                    let mut peak = peak.lock().unwrap();
                    peak[machine] = peak[machine].max(memory);
                    drop(peak);
                    if memory > MEMORY_MB {
                        record.add(format!("machine {machine} uses {memory:.0} MB, over MemoryMb = {MEMORY_MB:.0}: the platform kills its process"));
                        system.signal(machine, "KILL");
                        system.wait_end(machine, 2_000);
                        kills.lock().unwrap()[machine] += 1;
                        sleep_ms(300);
                        system.start(machine, false);
                        record.add(format!("the process of machine {machine} is started again"));
                    }
                }
                sleep_ms(50);
            }
        })
    };
    let clients = (0..CLIENTS).map(|client| {
        let (record, is_over) = (Arc::clone(&record), Arc::clone(&is_over));
        let front = system.front(client % MACHINES);
        thread::spawn(move || {
            let mut peer: Option<Peer> = None;
            let mut cut = Vec::new();
            let (mut served, mut number) = (0, 0);
            let mut is_kept = false;
            while !is_over.load(Ordering::Relaxed) {
                let Some(open) = &mut peer else {
                    peer = Peer::connect(front).ok();
                    is_kept = false;
                    sleep_ms(20);
                    continue;
                };
                let id = format!("c{client:02}r{number:04}");
                number += 1;
                let bytes = request("POST", HOST, "/visits/book", &id, 6_000, id.as_bytes());
                let sent = open.send(&bytes);
                let until = Instant::now() + Duration::from_secs(6);
                match sent
                    .map_err(|_| End::ClosedUnanswered)
                    .and_then(|()| open.read(until))
                {
                    Ok(answer) => {
                        served += usize::from(answer.status() == 200);
                        is_kept = true;
                    }
                    Err(end) => {
                        record.add(format!("client of {id}: {end:?}"));
                        // The rule counts requests from kept connections.
                        if is_kept {
                            cut.push(id);
                        }
                        peer = None;
                    }
                }
                sleep_ms(40);
            }
            (served, number, cut)
        })
    });
    let clients: Vec<_> = clients.collect();
    for storm in 0..STORMS {
        for change in 1..=CHANGES_PER_STORM {
            if has_trouble() {
                store.put(
                    "op/config",
                    &configuration(1_000 + storm * CHANGES_PER_STORM + change, ROUTES),
                );
            }
            sleep_ms(GAP_MS);
        }
        let memory: Vec<String> = (0..MACHINES)
            .map(|m| format!("{:.0}", system.pid(m).and_then(memory_mb).unwrap_or(0.0)))
            .collect();
        let changes = if has_trouble() {
            (storm + 1) * CHANGES_PER_STORM
        } else {
            0
        };
        record.add(format!(
            "after {changes} changes the machines use {} MB",
            memory.join(" and ")
        ));
        sleep_ms(PAUSE_MS);
        if kills.lock().unwrap().iter().all(|kills| *kills >= ENDS) {
            break;
        }
    }
    sleep_ms(1_000);
    is_over.store(true, Ordering::Relaxed);
    let results: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    platform.join().unwrap();
    let begun = begun.lock().unwrap();
    let lost: Vec<&String> = results
        .iter()
        .flat_map(|result| &result.2)
        .filter(|id| begun.contains(*id))
        .collect();
    let served: usize = results.iter().map(|result| result.0).sum();
    let sent: usize = results.iter().map(|result| result.1).sum();
    let kills = kills.lock().unwrap().clone();
    record.add(format!("{sent} requests, {served} served; peak memory {:?} MB; ends of processes over their memory, by machine: {kills:?}", peak.lock().unwrap()));
    record.add(format!(
        "passed on to a leaf, connection closed without an answer: {lost:?}"
    ));
    if lost.len() > 3 {
        finish(
            &record,
            &system,
            1,
            &format!(
                "LOST is broken: {} requests; ends over the memory by machine: {kills:?}",
                lost.len()
            ),
        );
    }
    finish(
        &record,
        &system,
        0,
        &format!("LOST holds: {served} of {sent} requests served"),
    );
}
