//! Stand-ins and helpers that the cases share: the platform's store, leafs, clients, and machines
//! that run the program of the deploy file as separate processes. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const GRACE_S: u64 = 6;

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    elapsed.as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- record

/// Lines of `record.txt`, with the milliseconds since the start.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            lines: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl Into<String>) {
        let at_ms = self.now_ms();
        self.lines.lock().unwrap().push((at_ms, line.into()));
    }

    pub fn write(&self, path: &str) {
        let mut text = String::new();
        for (at_ms, line) in self.lines.lock().unwrap().iter() {
            text.push_str(&format!("{:>7.3} s  {line}\n", *at_ms as f64 / 1000.0));
        }
        let _ = fs::write(path, text);
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Peer {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closed or reset before the first byte of a message.
    ClosedUnanswered,
    /// Closed or reset in the middle of a message.
    ClosedMidway,
    TimedOut,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self, until: Instant) -> Result<usize, End> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(End::TimedOut);
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut buffer = [0; 16_384];
        match self.stream.read(&mut buffer) {
            Ok(n) => {
                self.rest.extend_from_slice(&buffer[..n]);
                Ok(n)
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                Err(End::TimedOut)
            }
            Err(_) => Ok(0),
        }
    }

    /// Reads one message with a length or in chunks.
    pub fn read(&mut self, until: Instant) -> Result<Message, End> {
        let head_end = loop {
            if let Some(at) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill(until)? == 0 {
                let midway = !self.rest.is_empty();
                return Err(if midway {
                    End::ClosedMidway
                } else {
                    End::ClosedUnanswered
                });
            }
        };
        let head: Vec<u8> = self.rest.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or("").into(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().into(), value.trim().into()));
            }
        }
        if message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
        {
            loop {
                let line_end = loop {
                    if let Some(at) = self.rest.windows(2).position(|w| w == b"\r\n") {
                        break at + 2;
                    }
                    if self.fill(until)? == 0 {
                        return Err(End::ClosedMidway);
                    }
                };
                let line: Vec<u8> = self.rest.drain(..line_end).collect();
                let line = String::from_utf8_lossy(&line).into_owned();
                let size = line.trim().split(';').next().unwrap_or("0");
                let size = usize::from_str_radix(size, 16).unwrap_or(0);
                while self.rest.len() < size + 2 {
                    if self.fill(until)? == 0 {
                        return Err(End::ClosedMidway);
                    }
                }
                message.body.extend(self.rest.drain(..size));
                self.rest.drain(..2);
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message
            .header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        while self.rest.len() < length {
            if self.fill(until)? == 0 {
                return Err(End::ClosedMidway);
            }
        }
        message.body = self.rest.drain(..length).collect();
        Ok(message)
    }
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A client's request with an id and a time budget.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    budget_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nCloverrack-Request-Id: {id}\r\nCloverrack-Deadline-Ms: {budget_ms}\r\n"
    );
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(char::from(LETTERS[(n >> (18 - 6 * i) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    key: String,
    /// `None` for a removed item.
    value: Option<String>,
    revision: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<Item>,
}

/// The platform's metadata store: it reads as PROTOCOL.md tells.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = StoreState {
            revision: 100,
            ..StoreState::default()
        };
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(Peer::new(stream)));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let item = Item {
            key: key.into(),
            value,
            revision: state.revision,
        };
        state.log.push(item.clone());
        if item.value.is_some() {
            state.items.insert(key.into(), item);
        } else {
            state.items.remove(key);
        }
        self.changed.notify_all();
    }

    fn serve(&self, mut peer: Peer) {
        while let Ok(request) = peer.read(Instant::now() + Duration::from_secs(600)) {
            let (status, body) = match request.path() {
                "/-/kv-range" => ("200 OK", self.range(&request)),
                "/-/kv-watch" => ("200 OK", self.watch(&request)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if peer
                .send(&response(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn range(&self, request: &Message) -> String {
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let items = state.items.values();
        let chosen = items.filter(|item| item.key.starts_with(&prefix) && item.key > after);
        let items: Vec<String> = chosen.map(item_json).collect();
        format!(
            "{{\"items\":[{}],\"HasMore\":false,\"AsOf\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, request: &Message) -> String {
        let prefix = request.query("Prefix").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|v| v.parse().ok())
                .unwrap_or(0_u64)
        };
        let (after, wait_ms) = (number("after"), number("WaitMs"));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let log = state.log.iter();
            let news = log.filter(|item| item.revision > after && item.key.starts_with(&prefix));
            let news: Vec<String> = news.map(item_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"AsOf\":{}}}",
                    news.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(item: &Item) -> String {
    let Item {
        key,
        value,
        revision,
    } = item;
    match value {
        Some(value) => format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0}}"
        ),
        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
    }
}

// ---------------------------------------------------------------- leafs

/// What a leaf is about to do with a request that it has read and that names its id.
pub struct Call<'a> {
    pub leaf: &'a Leaf,
    pub request: Message,
    pub request_id: String,
    /// Number of the request on its connection, from 0.
    pub number: usize,
    pub peer: &'a mut Peer,
}

impl Call<'_> {
    /// Answers with success, a digest of its own and the request's id.
    pub fn answer(&mut self, body: &[u8]) -> io::Result<()> {
        let stamp = self.leaf.stamp();
        let headers = [
            ("Cloverrack-Request-Id", self.request_id.as_str()),
            ("Cloverrack-Server-Stamp", stamp.as_str()),
            ("Keep-Alive", "timeout=30"),
        ];
        self.peer.send(&response("200 OK", &headers, body))
    }

    /// Waits `ms`, as long as the caller keeps the connection; returns whether it did.
    pub fn work(&mut self, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            let _ = self
                .peer
                .stream
                .set_read_timeout(Some(left.min(Duration::from_millis(20))));
            let mut byte = [0];
            match self.peer.stream.peek(&mut byte) {
                Ok(0) => return false,
                Ok(_) => thread::sleep(left.min(Duration::from_millis(20))),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return false,
            }
        }
    }
}

type LeafHandler = dyn Fn(&mut Call) -> io::Result<()> + Send + Sync;

pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: u32,
    stamps: AtomicU64,
    sequence: AtomicU64,
}

impl Leaf {
    /// Starts a leaf and writes its entry. `handler` gets the requests that name its id.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        handler: Arc<LeafHandler>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let leaf = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            slots,
            stamps: AtomicU64::new(1),
            sequence: AtomicU64::new(1),
        });
        leaf.write_entry(store, "ready");
        let accepting = Arc::clone(&leaf);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (leaf, handler) = (Arc::clone(&accepting), Arc::clone(&handler));
                thread::spawn(move || leaf.serve(Peer::new(stream), &*handler));
            }
        });
        leaf
    }

    pub fn write_entry(&self, store: &Store, state: &str) {
        let Self {
            id,
            service,
            zone,
            address,
            born,
            slots,
            ..
        } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"Backend\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\"WarmupLeftMs\":0,\"Seq\":{sequence},\"born\":{born}}}"
            ),
        );
    }

    pub fn stamp(&self) -> String {
        format!(
            "{}.{:04}",
            self.id,
            self.stamps.fetch_add(1, Ordering::Relaxed)
        )
    }

    fn serve(&self, mut peer: Peer, handler: &LeafHandler) {
        let mut number = 0;
        while let Ok(request) = peer.read(Instant::now() + Duration::from_secs(30)) {
            if request.path() == "/health" && request.header("Cloverrack-Request-Id").is_none() {
                let headers = [("Cloverrack-Instance-Id", self.id.as_str())];
                if peer.send(&response("200 OK", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let expected = request.header("Cloverrack-Expect-Instance");
            let request_id = request
                .header("Cloverrack-Request-Id")
                .unwrap_or("")
                .to_owned();
            if expected.is_some_and(|id| id != self.id) {
                let headers = [
                    ("Cloverrack-Request-Id", request_id.as_str()),
                    ("Cloverrack-Instance-Id", self.id.as_str()),
                ];
                let _ = peer.send(&response("421 Misdirected Request", &headers, b""));
                continue;
            }
            let mut call = Call {
                leaf: self,
                request,
                request_id,
                number,
                peer: &mut peer,
            };
            if handler(&mut call).is_err() {
                return;
            }
            number += 1;
        }
        let _ = peer.stream.shutdown(Shutdown::Both);
    }
}

// ---------------------------------------------------------------- machines

pub struct Ports {
    pub front: u16,
    pub readiness: u16,
    pub control: u16,
    pub directory: u16,
    pub internal: u16,
}

/// Machines of the system, each with a loopback address of its own.
pub struct System {
    pub ips: Vec<IpAddr>,
    pub ports: Ports,
    folder: PathBuf,
    store: SocketAddr,
    children: Mutex<Vec<Option<Child>>>,
    zones: Vec<String>,
}

fn is_free(ips: &[IpAddr], port: u16) -> bool {
    ips.iter()
        .all(|ip| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok())
}

impl System {
    pub fn new(machines: usize, zones: &[&str], store: SocketAddr) -> Arc<Self> {
        let pid = std::process::id();
        let second = 60 + u8::try_from(pid % 120).unwrap();
        let third = u8::try_from(pid / 120 % 250).unwrap() + 1;
        let ip = |n| {
            IpAddr::V4(Ipv4Addr::new(
                127,
                second,
                third,
                u8::try_from(n).unwrap() + 1,
            ))
        };
        let ips: Vec<IpAddr> = (0..machines).map(ip).collect();
        let mut next = 20_000 + u16::try_from(pid % 5_000).unwrap();
        let mut free = |count: u16| loop {
            next += count;
            if (next..next + count).all(|port| is_free(&ips, port)) {
                return next;
            }
        };
        let ports = Ports {
            front: free(1),
            readiness: free(1),
            control: free(1),
            directory: free(1),
            internal: free(16),
        };
        let folder = std::env::temp_dir().join(format!("cloverrack-review-{pid}"));
        fs::create_dir_all(&folder).unwrap();
        let children = Mutex::new((0..machines).map(|_| None).collect());
        let zones = (0..machines)
            .map(|i| zones[i % zones.len()].to_owned())
            .collect();
        Arc::new(Self {
            ips,
            ports,
            folder,
            store,
            children,
            zones,
        })
    }

    pub fn front(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ips[machine], self.ports.front)
    }

    pub fn directory(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ips[machine], self.ports.directory)
    }

    pub fn readiness(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ips[machine], self.ports.readiness)
    }

    fn settings(&self, machine: usize, bootstrap: bool) -> String {
        let (ip, ports) = (self.ips[machine], &self.ports);
        let zone = &self.zones[machine];
        let seeds = self
            .ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{}\"", ports.control));
        let seeds: Vec<String> = seeds.collect();
        let mut zones: Vec<&String> = self.zones.iter().collect();
        zones.sort();
        zones.dedup();
        let zones: String = zones
            .iter()
            .map(|zone| format!("{zone} = \"pnw\"\n"))
            .collect();
        format!(
            r#"NodeName = "front-{zone}-{machine}"
Role = "entry"
MachineClass = "front"
Serves = ["front","directory","control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "pnw"
InternalPorts = [{internal},{last}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
CountsAsLoss = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[Zones]
{zones}[Listen]
Front = "{ip}:{front}"
Readiness = "{ip}:{readiness}"
Control = "{ip}:{control}"
directory = "{ip}:{directory}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = {GRACE_S}
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxSkewMs = 12000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 54
RecoveryS = 12
ttl_max_s = 5
[platform]
Address = "{store}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#,
            internal = ports.internal,
            last = ports.internal + 15,
            seeds = seeds.join(","),
            front = ports.front,
            readiness = ports.readiness,
            control = ports.control,
            directory = ports.directory,
            store = self.store,
        )
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&self, machine: usize, bootstrap: bool) {
        let path = self.folder.join(format!("settings-{machine}.toml"));
        fs::write(&path, self.settings(machine, bootstrap)).unwrap();
        let log = self.folder.join(format!("log-{machine}-{}.txt", unix_ms()));
        let log = fs::File::create(log).unwrap();
        let child = Command::new("target/release/cloverrack-platform")
            .env_clear()
            .env("CLOVERRACK_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.children.lock().unwrap()[machine] = Some(child),
            Err(error) => {
                eprintln!("the program doesn't start: {error}");
                self.end();
                std::process::exit(2);
            }
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: usize, name: &str) {
        if let Some(child) = &self.children.lock().unwrap()[machine] {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    /// Returns whether the process of a machine has ended, and how.
    pub fn ended(&self, machine: usize) -> Option<String> {
        let mut children = self.children.lock().unwrap();
        let child = children[machine].as_mut()?;
        child.try_wait().ok()?.map(|status| status.to_string())
    }

    pub fn wait_end(&self, machine: usize, limit_ms: u64) -> Option<String> {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < until {
            if let Some(status) = self.ended(machine) {
                return Some(status);
            }
            sleep_ms(5);
        }
        None
    }

    pub fn is_ready(&self, machine: usize) -> bool {
        get(self.readiness(machine), "/-/ready").is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all machines are ready and each one names `count` addresses.
    pub fn wait_ready(&self, count: usize, limit_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < until {
            let machines = 0..self.ips.len();
            let all = machines
                .clone()
                .all(|m| self.is_ready(m) && self.resolve(m, &self.zones[m]).0.len() == count);
            if all {
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    /// Asks a machine for the addresses to use, as a client does; returns them with `ttl_s`.
    pub fn resolve(&self, machine: usize, zone: &str) -> (Vec<SocketAddr>, f64) {
        let path = format!("/-/resolve?Name=desk.example&Region=pnw&Zone={zone}");
        let Ok(answer) = get(self.directory(machine), &path) else {
            return (Vec::new(), 0.0);
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let addrs = text
            .split("\"addrs\":[")
            .nth(1)
            .and_then(|t| t.split(']').next())
            .unwrap_or("");
        let addrs = addrs
            .split(',')
            .filter_map(|a| a.trim_matches('"').parse().ok())
            .collect();
        let ttl = text.split("\"ttl_s\":").nth(1).unwrap_or("0");
        let ttl: String = ttl
            .chars()
            .take_while(|c| c.is_ascii_digit() || *c == '.')
            .collect();
        (addrs, ttl.parse().unwrap_or(0.0))
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn end(&self) {
        for child in self.children.lock().unwrap().iter_mut() {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn get(to: SocketAddr, path: &str) -> Result<Message, End> {
    let mut peer = Peer::connect(to).map_err(|_| End::ClosedUnanswered)?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: {to}\r\n\r\n");
    peer.send(text.as_bytes())
        .map_err(|_| End::ClosedUnanswered)?;
    peer.read(Instant::now() + Duration::from_secs(1))
}

/// Ends the case: writes the record, ends the processes and exits.
pub fn finish(record: &Record, system: &System, code: i32, verdict: &str) -> ! {
    record.add(format!("verdict: {verdict} (exit {code})"));
    system.end();
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    record.write(&path);
    println!("{verdict}");
    std::process::exit(code);
}

/// Ends the case with 2 if it runs too long or a thread of it panics.
pub fn guard(record: &Arc<Record>, system: &Arc<System>, limit_s: u64) {
    let (of_time, of_panic) = (
        (Arc::clone(record), Arc::clone(system)),
        (Arc::clone(record), Arc::clone(system)),
    );
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(limit_s));
        finish(&of_time.0, &of_time.1, 2, "the case took too long");
    });
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        usual(info);
        finish(&of_panic.0, &of_panic.1, 2, "the case could not run");
    }));
}

// ---------------------------------------------------------------- links

/// A link to one address on which open connections can go silent for good, while new ones work.
pub struct Link {
    pub address: SocketAddr,
    silent_below: AtomicU64,
    opened: AtomicU64,
}

impl Link {
    pub fn start(to: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            silent_below: AtomicU64::new(0),
            opened: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&link);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let number = accepting.opened.fetch_add(1, Ordering::SeqCst);
                let ends = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let (up, down) = (Arc::clone(&accepting), Arc::clone(&accepting));
                thread::spawn(move || up.pass(number, near, far));
                thread::spawn(move || down.pass(number, ends.1, ends.0));
            }
        });
        link
    }

    /// Lets all open connections go silent; returns their number.
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
        opened
    }

    fn pass(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16_384];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if number < self.silent_below.load(Ordering::SeqCst) {
                // Nothing passes any more, and no end of the connection either.
                loop {
                    thread::sleep(Duration::from_secs(60));
                }
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}

/// Memory in use of a process, in megabytes.
pub fn memory_mb(pid: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = line.trim().split(' ').next()?.parse().ok()?;
    Some(kilobytes / 1024.0)
}

impl System {
    pub fn pid(&self, machine: usize) -> Option<u32> {
        self.children.lock().unwrap()[machine]
            .as_ref()
            .map(Child::id)
    }
}
