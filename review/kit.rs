//! Stand-ins of the users' platform for the review's scripts: the platform's store, workers,
//! clients, and routers as separate processes. Uses only the standard library.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Bearer key of the only tenant.
pub const KEY: &str = "k-desk";

/// Name of the only tenant.
pub const TENANT: &str = "desk";

pub const HOST: &str = "desk.example";

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the file that the first argument of the program names.
    pub fn create() -> Record {
        let path = std::env::args().nth(1).expect("the path of the record");
        let file = Arc::new(Mutex::new(File::create(path).expect("the record can be written")));
        Record { file, began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{ms:>6} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A request or an answer as read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, is_answer: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    match message.header("content-length").and_then(|value| value.parse::<usize>().ok()) {
        Some(length) => match reader.take(length as u64).read_to_end(&mut message.body)? == length {
            true => Ok(()),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        },
        None if is_answer => reader.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Reads one answer.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(reader, &mut message, true)?;
    Ok(message)
}

/// Serves HTTP on a listener, one thread for each connection. The handler returns whether the
/// connection stays open.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else { return };
                let mut reader = BufReader::new(clone);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handler(request, &mut stream).unwrap_or(false) {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

pub fn write_answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<bool> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

// The platform's store.

#[derive(Clone, Default)]
pub struct Log {
    pub first: u64,
    pub records: Vec<Vec<u8>>,
    /// Newest record of each key: offset and value.
    pub newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Log {
    pub fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
pub struct StoreState {
    pub logs: HashMap<String, Log>,
    /// Era that all answers name, if any.
    pub era: Option<u64>,
}

/// The platform's store, in this process.
#[derive(Clone)]
pub struct Store {
    pub state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let store = Store { state: Arc::default(), address };
        let shared = store.clone();
        serve(listener, move |request, stream| shared.handle(request, stream));
        store
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, record);
    }

    pub fn append(&self, topic: &str, record: Vec<u8>) -> u64 {
        let mut state = lock(&self.state.0);
        let log = state.logs.entry(topic.to_owned()).or_default();
        let offset = log.end();
        if topic.starts_with("keyed.") {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            match &record[length + 1..] {
                [] => drop(log.newest.remove(&key)),
                value => drop(log.newest.insert(key, (offset, value.to_vec()))),
            }
        }
        log.records.push(record);
        drop(state);
        self.state.1.notify_all();
        offset
    }

    fn handle(&self, request: Message, stream: &mut TcpStream) -> io::Result<bool> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let json = "content-type: application/json\r\n";
        match (request.method(), request.path()) {
            ("GET", "/-/log-newest") => {
                let mut state = lock(&self.state.0);
                let era = era_header(&state);
                let log = state.logs.entry(topic).or_default();
                let items: Vec<_> = log
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
                    })
                    .collect();
                let end = log.end();
                drop(state);
                let body = format!(
                    r#"{{"items":[{}],"has_more":false,"end_offset":{end}}}"#,
                    items.join(",")
                );
                write_answer(stream, "200 OK", &format!("{json}{era}"), body.as_bytes())
            }
            ("GET", "/-/log-read") => {
                let from = number("from").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut state = lock(&self.state.0);
                loop {
                    let era = era_header(&state);
                    let log = state.logs.entry(topic.clone()).or_default();
                    if from < log.first || from > log.end() {
                        let body = format!(r#"{{"first_offset":{}}}"#, log.first);
                        drop(state);
                        let headers = format!("{json}{era}");
                        return write_answer(stream, "410 Gone", &headers, body.as_bytes());
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if from < log.end() || left.is_zero() {
                        let mut body = log.end().to_be_bytes().to_vec();
                        body.extend_from_slice(&log.first.to_be_bytes());
                        for record in &log.records[(from - log.first) as usize..] {
                            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            body.extend_from_slice(record);
                        }
                        drop(state);
                        return write_answer(stream, "200 OK", &era, &body);
                    }
                    let waited = self.state.1.wait_timeout(state, left);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            ("POST", "/-/log-append") => {
                let state = lock(&self.state.0);
                let era = era_header(&state);
                let end = state.logs.get(&topic).map_or(0, Log::end);
                if number("at").is_some_and(|at| at != end) {
                    drop(state);
                    let body = format!(r#"{{"end_offset":{end}}}"#);
                    let headers = format!("{json}{era}");
                    return write_answer(stream, "412 Precondition Failed", &headers, body.as_bytes());
                }
                drop(state);
                let mut rest = &request.body[..];
                let mut count = 0;
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    self.append(&topic, rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                    count += 1;
                }
                let body = format!(r#"{{"offset":{end},"end_offset":{}}}"#, end + count);
                write_answer(stream, "200 OK", &format!("{json}{era}"), body.as_bytes())
            }
            _ => write_answer(stream, "404 Not Found", "", b""),
        }
    }
}

fn era_header(state: &StoreState) -> String {
    state.era.map_or(String::new(), |era| format!("store-era: {era}\r\n"))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let get = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = get(0) << 16 | get(1) << 8 | get(2);
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// Routers.

/// A router process; killed when dropped.
pub struct Router {
    child: Child,
    settings: PathBuf,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// Returns loopback addresses that differ from run to run, for routers, which all use the same port
/// for their metrics.
pub fn router_ip(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, number)
}

impl Router {
    /// Starts `target/release/dogwoodway router`, as the deploy file does.
    pub fn start(store: SocketAddr, number: u8) -> Router {
        let ip = router_ip(number);
        let name = format!("front-a-{number}");
        let settings = format!(
            r#"{{"node":"{name}","role":"router","machine_class":"front","serves":["front"],"ip":"{ip}",
"zone":"zone-a","region":"region-1","zones":{{"zone-a":"region-1"}},
"listen":{{"front":"{ip}:8782","ready":"{ip}:8789"}},"internal_ports":[7340,7355],"seeds":[],
"bootstrap":true,"in_fault_budget":false,
"limits":{{"cpu_share":0.19,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"],
"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"revert_slack_ms":250,"max_skew_ms":5000,"strict_revoke":false,
"revoke_ms":5000,"retry_ratio":0.2,"budget_window_s":10,"retry_slack":54,"recover_s":12,"transit_ms":120,
"reuse_window_s":10,"fence_required":false,"lease_ms":3000,"thaw_ms":300,"version_ms":8000,"version_all_ms":11000}},
"platform":{{"addr":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":24,"append_ms":1.0,
"part_mb_per_s":20.0,"read_mb_per_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,
"part_mb":200,"ttl_min_ms":1000}}}}"#
        );
        let path = std::env::temp_dir().join(format!("review-{}-{number}.json", std::process::id()));
        std::fs::write(&path, settings).expect("settings can be written");
        let child = spawn(&path);
        let (front, ready) = (SocketAddr::new(ip.into(), 8782), SocketAddr::new(ip.into(), 8789));
        Router { child, settings: path, name, front, ready }
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, with the same settings, after it has ended.
    pub fn start_again(&mut self) {
        self.kill();
        self.child = spawn(&self.settings);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Asks the process whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
            Ok(read_answer(&mut BufReader::new(stream))?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the process is ready; exits with 2 if it doesn't become so.
    pub fn wait_until_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            sleep_ms(50);
        }
        println!("{} did not become ready", self.name);
        std::process::exit(2);
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) * 1024
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &PathBuf) -> Child {
    let log = match std::env::var_os("REVIEW_LOGS") {
        Some(dir) => {
            let name = settings.file_stem().unwrap().to_string_lossy().into_owned();
            let path = PathBuf::from(dir).join(format!("{name}.log"));
            File::options().create(true).append(true).open(path).unwrap().into()
        }
        None => Stdio::null(),
    };
    let child = Command::new("target/release/dogwoodway")
        .arg("router")
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("DOGWOODWAY_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn();
    match child {
        Ok(child) => child,
        Err(e) => {
            println!("cannot start target/release/dogwoodway: {e}");
            std::process::exit(2);
        }
    }
}

// Clients.

/// Builds a request; `headers` holds whole lines.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ndogwoodway-request-id: {id}\r\n\
         dogwoodway-deadline-ms: {deadline_ms}\r\nauthorization: Bearer {KEY}\r\n{headers}"
    );
    if !body.is_empty() || method == "POST" {
        let _ = write!(text, "content-length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and returns the answer.
pub fn call(router: SocketAddr, request: &[u8], wait_ms: u64) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&router, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(wait_ms)))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}
