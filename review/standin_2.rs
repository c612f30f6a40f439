//! Small stand-ins of the users' platform for the cases 6 to 10: the metadata store, leaves, a client, and the
//! processes of the deploy file. Standard library only, loopback addresses only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGHUP: i32 = 1;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// Program of the deploy file.
const PROGRAM: &str = "target/release/cloverrack-platform";

pub const CONTROL_PORT: u16 = 8_224;
pub const DIRECTORY_PORT: u16 = 8_225;
pub const FRONT_PORT: u16 = 8_226;
pub const READINESS_PORT: u16 = 8_227;

/// Limits that the configuration names.
pub const LIMITS: &str =
    r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// What was sent, answered and run, in the order of time.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Arc::new(Self { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:8.3} s  {text}");
    }
}

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }
}

/// Reads one HTTP/1.1 message with a length or in chunks; `None` if the peer has closed or breaks off.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let end = read_until(stream, buffer, b"\r\n\r\n", 0)?;
    let head: Vec<u8> = buffer.drain(..end + 4).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.trim_end().split("\r\n");
    let first_line = lines.next()?.to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    let mut message = Message { first_line, fields: fields.collect(), body: Vec::new() };
    if message.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let end = read_until(stream, buffer, b"\r\n", 0)?;
            let line: Vec<u8> = buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line).into_owned();
            let size = text.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).ok()?;
            fill(stream, buffer, size + 2)?;
            message.body.extend(buffer.drain(..size));
            buffer.drain(..2);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length: usize = message.field("content-length").map_or(Some(0), |text| text.parse().ok())?;
    fill(stream, buffer, length)?;
    message.body.extend(buffer.drain(..length));
    Some(message)
}

fn read_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, mark: &[u8], from: usize) -> Option<usize> {
    loop {
        let found = buffer.get(from..)?.windows(mark.len()).position(|part| part == mark);
        if let Some(position) = found {
            return Some(from + position);
        }
        fill(stream, buffer, buffer.len() + 1)?;
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<()> {
    let mut part = [0; 16_384];
    while buffer.len() < length {
        match stream.read(&mut part) {
            Ok(0) => return None,
            Ok(read) => buffer.extend_from_slice(&part[..read]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
    Some(())
}

pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in fields {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    bytes
}

/// Calls `serve` in a thread for each connection to a listener.
pub fn accept_all(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
}

#[derive(Clone)]
struct Event {
    revision: u64,
    key: String,
    /// `None` if the item was removed.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    events: Vec<Event>,
}

/// The platform's metadata store, as far as the system reads it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn spawn(ip: Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        let serving = store.clone();
        accept_all(listener, move |stream| serving.serve(stream));
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.items.get(key).is_some_and(|(_, old)| old == value.as_bytes()) {
            return state.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value.as_bytes().to_vec()));
        let value = Some(value.as_bytes().to_vec());
        state.events.push(Event { revision, key: key.to_owned(), value });
        changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.events.push(Event { revision, key: key.to_owned(), value: None });
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
            let answer = match path {
                "/-/kv-range" => Some(self.range(query)),
                "/-/kv-watch" => Some(self.watch(query)),
                _ => None,
            };
            let json = [("Content-Type", "application/json")];
            let bytes = match answer {
                Some(body) => response("200 OK", &json, body.as_bytes()),
                None => response("404 Not Found", &json, b"{}"),
            };
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn range(&self, query: &str) -> String {
        let prefix = parameter(query, "Prefix").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let mut items = Vec::new();
        for (key, (revision, value)) in &state.items {
            if key.starts_with(&prefix) && *key > after {
                items.push(item(key, *revision, value));
            }
        }
        let has_more = items.len() > 500;
        items.truncate(500);
        format!(r#"{{"items":[{}],"HasMore":{has_more},"AsOf":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, query: &str) -> String {
        let prefix = parameter(query, "Prefix").unwrap_or_default();
        let number = |name| parameter(query, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("after"), number("WaitMs"));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|event| event.revision > after && event.key.starts_with(&prefix));
            let events: Vec<String> = events.map(event_text).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(r#"{{"events":[{}],"AsOf":{}}}"#, events.join(","), state.revision);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn event_text(event: &Event) -> String {
    match &event.value {
        Some(value) => item(&event.key, event.revision, value),
        None => format!(r#"{{"Key":"{}","Revision":{},"Deleted":true}}"#, event.key, event.revision),
    }
}

fn item(key: &str, revision: u64, value: &[u8]) -> String {
    let value = base64(value);
    format!(r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{revision},"Lease":0}}"#)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..part.len()].copy_from_slice(part);
        let bits = u32::from(three[0]) << 16 | u32::from(three[1]) << 8 | u32::from(three[2]);
        for digit in 0..4 {
            let shift = 18 - 6 * digit;
            let index = (bits >> shift & 63) as usize;
            text.push(if digit <= part.len() { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    let (_, text) = fields.find(|(key, _)| *key == name)?;
    Some(decode_percent(text))
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let hex = (byte == b'%').then(|| [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')]);
        let decoded = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(&hex).ok()?, 16).ok());
        bytes.push(decoded.unwrap_or(byte));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Settings of one VM, as `fleetbench wire` shows them for a small site.
pub struct VmSettings {
    pub index: usize,
    pub ip: Ipv4Addr,
    pub seeds: Vec<Ipv4Addr>,
    pub store: SocketAddr,
    pub zone: &'static str,
    pub memory_mb: u32,
}

impl VmSettings {
    pub fn text(&self) -> String {
        let ip = self.ip;
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        format!(
            "NodeName = \"front-{zone}-{index}\"\nRole = \"entry\"\nMachineClass = \"front\"\n\
             Serves = [\"front\",\"directory\",\"control\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\n\
             InternalPorts = [7740,7755]\nSeeds = [{seeds}]\nBootstrap = false\nCountsAsLoss = false\n\
             Discovery = \"platform\"\nEntry = \"directory\"\nHeartbeatMs = 1200\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"]\n\
             [Zones]\na = \"r\"\nb = \"r\"\n\
             [Listen]\nFront = \"{ip}:{FRONT_PORT}\"\nReadiness = \"{ip}:{READINESS_PORT}\"\n\
             Control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = {memory_mb}\nMaxFds = 4100\n\
             LinkMbps = 1000.0\nDiskMb = 0\n[FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableMs = 4000\nAckMs = 5000\nCatchUpS = 4\n\
             DrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\nRollbackSlackMs = 250\n\
             MaxSkewMs = 12000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetryBudgetSlack = 54\n\
             RecoveryS = 12\nttl_max_s = 5\n\
             [platform]\nAddress = \"{store}\"\nform = \"read\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             HistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
            zone = self.zone,
            index = self.index,
            seeds = seeds.join(","),
            memory_mb = self.memory_mb,
            store = self.store,
        )
    }
}

/// A process of the deploy file. It is killed when this is dropped.
pub struct Vm {
    pub ip: Ipv4Addr,
    pub settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

impl Vm {
    pub fn start(folder: &Path, settings: &VmSettings) -> io::Result<Self> {
        let settings_path = folder.join(format!("vm-{}.toml", settings.index));
        fs::write(&settings_path, settings.text())?;
        let log_path = folder.join(format!("vm-{}.log", settings.index));
        let mut vm = Self { ip: settings.ip, settings_path, log_path, child: None };
        vm.run()?;
        Ok(vm)
    }

    /// Starts a process with the settings file as it is.
    pub fn run(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log_path)?;
        let mut command = Command::new(PROGRAM);
        command
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CLOVERRACK_NODE_FILE", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `prctl` is async-signal-safe. The process ends with this one, also if this one is killed.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends SIGHUP to the process that this started.
    pub fn hang_up(&self) {
        let Ok(process @ 1..) = i32::try_from(self.pid()) else {
            return;
        };
        // SAFETY: the process is a child that has not been reaped, so its id is not used again.
        unsafe { kill(process, SIGHUP) };
    }

    /// Returns whether the process has ended, with its status.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Waits until the readiness check is answered with 200.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let address = SocketAddr::from((self.ip, READINESS_PORT));
        while Instant::now() < until {
            let request = "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            if call(address, request.as_bytes(), Duration::from_secs(1)).is_ok_and(|reply| reply.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends bytes on a connection of its own and reads one message.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let mut stream = stream.map_err(|error| format!("not connected: {error}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    stream.write_all(request).map_err(|error| format!("not sent: {error}"))?;
    let reply = read_message(&mut stream, &mut Vec::new());
    let _ = stream.shutdown(Shutdown::Both);
    reply.ok_or_else(|| "closed without a whole answer".to_owned())
}

/// Bytes of a client's request.
pub fn client_request(method: &str, host: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nCloverrack-Request-Id: {id}\r\n\
         Cloverrack-Deadline-Ms: {deadline_ms}\r\n"
    )
    .into_bytes();
    if method != "GET" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// Picks loopback addresses that no other run uses: 127.R.S.N with R and S by the process id.
pub fn loopback(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 16 + (pid / 250 % 200) as u8, 1 + (pid % 250) as u8, number)
}

/// Folder for settings and logs, removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("cloverrack-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: the result is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(result: Result<bool, String>, record: &Record) -> i32 {
    let (code, text) = match result {
        Ok(true) => (BROKEN, "the rule was broken".to_owned()),
        Ok(false) => (HELD, "the rule held".to_owned()),
        Err(error) => (COULD_NOT_RUN, format!("the case could not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    code
}

/// An address at which another one is reached. It can be closed: it refuses connections then, and those that were
/// open end. Or the open connections go silent, while new ones work.
pub struct Gate {
    pub address: SocketAddr,
    state: Arc<GateState>,
}

#[derive(Default)]
struct GateState {
    is_closed: AtomicBool,
    /// Number of times at which the open connections went silent. A connection is silent if it is older.
    silences: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
}

impl Gate {
    pub fn open(ip: Ipv4Addr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state: Arc<GateState> = Arc::default();
        let gate = Self { address, state: Arc::clone(&state) };
        thread::spawn(move || {
            while !state.is_closed.load(Ordering::SeqCst) {
                let Ok((down, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = down.set_nonblocking(false);
                let Ok(up) = TcpStream::connect(upstream) else {
                    continue;
                };
                let ends = [&down, &up].map(|stream| stream.try_clone());
                state.open.lock().unwrap().extend(ends.into_iter().flatten());
                let silences = state.silences.load(Ordering::SeqCst);
                copy(&down, &up, silences, &state);
                copy(&up, &down, silences, &state);
            }
        });
        Ok(gate)
    }

    /// Refuses connections from now on and ends the open ones.
    pub fn close(&self) {
        self.state.is_closed.store(true, Ordering::SeqCst);
        for stream in self.state.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Carries nothing more on the connections that are open now, and leaves them open.
    pub fn silence(&self) {
        self.state.silences.fetch_add(1, Ordering::SeqCst);
    }
}

fn copy(from: &TcpStream, to: &TcpStream, silences: u64, state: &Arc<GateState>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let state = Arc::clone(state);
    thread::spawn(move || {
        let mut part = vec![0; 65_536];
        loop {
            let read = from.read(&mut part).unwrap_or(0);
            if state.silences.load(Ordering::SeqCst) > silences {
                return;
            }
            if read == 0 || to.write_all(&part[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}
