//! The open connections to the store go silent, while new ones work. Just after that the entry of a leaf that leaves is
//! removed, and from then on it says in all its answers that it leaves. No order comes for some seconds. Machines that
//! are in touch again must send the leaf nothing later than `DrainMs` after the removal.

#[path = "../standin_2.rs"]
mod standin;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standin::*;

const HOST: &str = "desk.example";
const SERVICE: &str = "order-desk";
const LEAVING: &str = "i-desk-3";

/// Bounds of the settings.
const STABLE_MS: u64 = 4_000;
const DRAIN_MS: u64 = 3_000;

/// Time for which the leaf serves after the removal of its entry: `DrainMs` and a little longer. It answers all that it has.
const SERVES_MS: u64 = 4_500;

/// Work of a leaf on an order, as that of the single-leaf requests on the sheets.
const WORK: Duration = Duration::from_millis(160);
const INTERVAL: Duration = Duration::from_millis(30);

/// Orders that come at the same time, just after the machines are in touch again: as many as three leaves have slots.
const BURST: usize = 12;
const IN_TOUCH_MARGIN_MS: u64 = 100;

/// An order that reached a leaf.
#[derive(Clone)]
struct Arrival {
    id: String,
    leaf: &'static str,
    at_ms: u64,
    is_answered: bool,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

struct Leaf {
    id: &'static str,
    is_leaving: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Leaf {
    fn spawn(store: &Store, id: &'static str, arrivals: &Arrivals, record: &Arc<Record>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((loopback(20), 0))?;
        let address = listener.local_addr()?;
        let has_ended = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let is_leaving = Arc::new(AtomicBool::new(false));
        let leaf = Self {
            id,
            is_leaving: Arc::clone(&is_leaving),
            has_ended: Arc::clone(&has_ended),
            open: Arc::clone(&open),
        };
        let (arrivals, record) = (Arc::clone(arrivals), Arc::clone(record));
        accept_all(listener, move |stream| {
            if has_ended.load(Ordering::SeqCst) {
                return;
            }
            open.lock().unwrap().extend(stream.try_clone());
            serve(stream, id, &is_leaving, &arrivals, &record);
        });
        let entry = format!(
            "{{\"Backend\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":4,\
             \"State\":\"ready\",\"WarmupLeftMs\":0,\"Seq\":4,\"born\":1796600000000}}"
        );
        store.put(&leaf.key(), &entry);
        Ok(leaf)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, id: &'static str, is_leaving: &AtomicBool, arrivals: &Arrivals, record: &Record) {
    static STAMPS: AtomicU64 = AtomicU64::new(1);
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        let request_id = request.field("cloverrack-request-id").unwrap_or("").to_owned();
        let answer = if request.path() == "/health" {
            let status = if is_leaving.load(Ordering::SeqCst) { "503 Service Unavailable" } else { "200 OK" };
            response(status, &[("Cloverrack-Instance-Id", id)], b"")
        } else if request_id.is_empty() {
            response("400 Bad Request", &[("Cloverrack-Not-Executed", "1")], b"")
        } else if request.field("cloverrack-expect-instance").is_some_and(|expected| expected != id) {
            let fields = [("Cloverrack-Request-Id", &*request_id), ("Cloverrack-Instance-Id", id)];
            response("421 Misdirected Request", &fields, b"")
        } else {
            let arrival = Arrival { id: request_id.clone(), leaf: id, at_ms: record.now_ms(), is_answered: false };
            arrivals.lock().unwrap().push(arrival);
            record.line(&format!("run     {request_id} by {id}"));
            thread::sleep(WORK);
            let stamp = format!("{id}.{}", STAMPS.fetch_add(1, Ordering::Relaxed));
            let mut fields = vec![("Cloverrack-Request-Id", &*request_id), ("Cloverrack-Server-Stamp", &*stamp)];
            if is_leaving.load(Ordering::SeqCst) {
                fields.extend([("Server-Leaving", "1"), ("Connection", "close")]);
            }
            response("200 OK", &fields, format!("order {request_id} is taken").as_bytes())
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
        let closes = is_leaving.load(Ordering::SeqCst);
        let mut arrivals = arrivals.lock().unwrap();
        let own = arrivals.iter_mut().rev().find(|arrival| arrival.id == request_id && arrival.leaf == id);
        if let Some(own) = own {
            own.is_answered = true;
        }
        if closes {
            return;
        }
    }
}

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-orders\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/orders/\",\
         \"RouteType\":\"unsafe\",\"TimeoutMs\":6000,\"TargetLatencyMs\":600,\"Priority\":2,\
         \"Backend\":\"{SERVICE}\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{LIMITS}}}"
    )
}

/// An order as its client saw it.
struct Order {
    id: String,
    sent_ms: u64,
    status: Option<u16>,
}

fn play(record: &Arc<Record>) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let scratch = Scratch::create().map_err(failed)?;
    let store = Store::spawn(loopback(1)).map_err(failed)?;
    let gate = Gate::open(loopback(2), store.address).map_err(failed)?;
    let arrivals: Arrivals = Arc::default();
    let mut leaves = Vec::new();
    for id in ["i-desk-1", "i-desk-2", LEAVING] {
        leaves.push(Leaf::spawn(&store, id, &arrivals, record).map_err(failed)?);
    }
    store.put("op/config", &configuration());
    let ips = vec![loopback(11), loopback(12), loopback(13)];
    let mut vms = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let settings = VmSettings {
            index,
            ip: *ip,
            seeds: ips.clone(),
            store: gate.address,
            zone: "a",
            memory_mb: 260,
        };
        vms.push(Vm::start(&scratch.0, &settings).map_err(failed)?);
    }
    for vm in &vms {
        if !vm.wait_until_ready(Duration::from_secs(15)) {
            return Err(format!("a VM was not ready; its log: {}", vm.log()));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = vms.iter().map(Vm::front).collect();
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let mut callers = Vec::new();
    let mut send = |number: usize| {
        let (front, orders, record) = (fronts[number % fronts.len()], Arc::clone(&orders), Arc::clone(record));
        callers.push(thread::spawn(move || {
            let id = format!("order-{number:04}");
            let request = client_request("POST", HOST, &format!("/orders/{number}"), &id, 3_000, b"one scan of page 7");
            let sent_ms = record.now_ms();
            record.line(&format!("send    {id} to {front}"));
            let reply = call(front, &request, Duration::from_secs(5));
            record.line(&format!("answer  {id}: {:?}", reply.as_ref().map(Message::status)));
            let status = reply.ok().map(|reply| reply.status());
            orders.lock().unwrap().push(Order { id, sent_ms, status });
        }));
    };
    for number in 0..80 {
        send(number);
        thread::sleep(INTERVAL);
    }
    // Any change ends the watches of all machines, as the leaves' own changes do; they begin again soon after.
    store.put("my/note", "1");
    thread::sleep(Duration::from_millis(600));
    if is_troubled() {
        gate.silence();
        record.line("the open connections to the store go silent; new ones work");
    }
    let silent_ms = record.now_ms();
    let in_touch_ms = silent_ms + STABLE_MS + IN_TOUCH_MARGIN_MS;
    thread::sleep(Duration::from_millis(300));
    leaves[2].is_leaving.store(true, Ordering::SeqCst);
    store.remove(&leaves[2].key());
    let removed_ms = record.now_ms();
    record.line(&format!("the store confirms that the entry of {LEAVING} is removed; it says in its answers that it leaves"));
    thread::sleep(Duration::from_millis(in_touch_ms.saturating_sub(record.now_ms())));
    for number in 80..80 + BURST {
        send(number);
    }
    thread::sleep(Duration::from_millis((removed_ms + SERVES_MS).saturating_sub(record.now_ms())));
    leaves[2].end();
    record.line(&format!("{LEAVING} ends"));
    for caller in callers {
        let _ = caller.join();
    }
    for vm in &mut vms {
        if let Some(status) = vm.ended() {
            return Err(format!("a VM has ended: {status}"));
        }
    }
    let (arrivals, orders) = (arrivals.lock().unwrap(), orders.lock().unwrap());
    let mut late = Vec::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.leaf == LEAVING) {
        let order = orders.iter().find(|order| order.id == arrival.id);
        let is_counted = order.is_some_and(|order| order.sent_ms >= in_touch_ms);
        if is_counted && arrival.at_ms > removed_ms + DRAIN_MS {
            late.push(arrival.clone());
        }
    }
    let served = orders.iter().filter(|order| order.status == Some(200)).count();
    record.line(&format!("{} orders, {served} served", orders.len()));
    for arrival in &late {
        let order = orders.iter().find(|order| order.id == arrival.id);
        let status = order.and_then(|order| order.status);
        record.line(&format!(
            "{} reached {LEAVING} {} ms after the removal; leaf answered: {}, client got {status:?}",
            arrival.id,
            arrival.at_ms - removed_ms,
            arrival.is_answered
        ));
    }
    let lost = late.iter().filter(|arrival| !arrival.is_answered).count();
    record.line(&format!("{lost} of these were at work when {LEAVING} ended"));
    record.line(&format!("{} orders of machines in touch reached {LEAVING} later than DrainMs after the removal", late.len()));
    if served * 2 < orders.len() {
        return Err("most orders were not served".to_owned());
    }
    Ok(!late.is_empty())
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let record = Record::create(&folder);
    let result = play(&record);
    std::process::exit(finish(result, &record));
}
