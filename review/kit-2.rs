//! Stand-ins and helpers for the scripts in `review/`: the platform's store, backend servers, clients, and
//! routers as child processes. Uses the standard library only; built by `review/build-2.sh`.
//!
//! All listeners are on loopback addresses. A worker is a process of its own (`kit worker`), so that it can
//! be killed. Its entry in the store is written by the case that starts it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

#[path = "10/case.rs"]
mod case_10;
#[path = "6/case.rs"]
mod case_6;
#[path = "7/case.rs"]
mod case_7;
#[path = "8/case.rs"]
mod case_8;
#[path = "9/case.rs"]
mod case_9;

pub(crate) const SIGKILL: i32 = 9;
pub(crate) const SIGTERM: i32 = 15;

const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ends a process that this one has started.
pub(crate) fn kill_process(pid: u32) {
    unsafe { kill(pid as i32, SIGKILL) };
}

/// Makes a process stand still: it closes nothing and answers nothing.
fn stop_process(pid: u32) {
    unsafe { kill(pid as i32, SIGSTOP) };
}

/// What a case has found.
pub(crate) enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let verdict = match args.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["worker", address, id, style] => return worker::run(address, id, style),
        ["case", number, record] => {
            let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            let record = match Record::create(PathBuf::from(record)) {
                Ok(record) => record,
                Err(e) => {
                    eprintln!("no record: {e}");
                    return ExitCode::from(2);
                }
            };
            match *number {
                "6" => case_6::run(&record, has_trouble),
                "7" => case_7::run(&record, has_trouble),
                "8" => case_8::run(&record, has_trouble),
                "9" => case_9::run(&record, has_trouble),
                "10" => case_10::run(&record, has_trouble),
                _ => Verdict::CouldNotRun(format!("no case {number}")),
            }
        }
        _ => Verdict::CouldNotRun("usage: kit case NUMBER RECORD".to_owned()),
    };
    match verdict {
        Verdict::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            println!("BROKEN");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(why) => {
            println!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}

/// The record of a case: one line for each thing that was sent, answered or run, with seconds since the start.
#[derive(Clone)]
pub(crate) struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn create(path: PathBuf) -> std::io::Result<Record> {
        Ok(Record(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub(crate) fn line(&self, text: &str) {
        let mut file = self.0.1.lock().expect("record");
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }
}

/// Sleeps until a number of seconds after the start of the record.
pub(crate) fn sleep_until(record: &Record, seconds: f64) {
    let left = seconds - record.seconds();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

// ---- HTTP ----

pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl HttpRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

fn read_line<R: BufRead>(reader: &mut R) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(n) if n > 0 => Some(line.trim_end_matches(['\r', '\n']).to_owned()),
        _ => None,
    }
}

fn read_headers<R: BufRead>(reader: &mut R) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body in chunks. Returns what was read and whether the last chunk arrived.
fn read_chunks<R: BufRead>(reader: &mut R) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let size = read_line(reader).and_then(|line| usize::from_str_radix(line.trim(), 16).ok());
        let Some(size) = size else { return (body, false) };
        let mut chunk = vec![0; size];
        if reader.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        body.extend_from_slice(&chunk);
        if read_line(reader).is_none() {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
    }
}

pub(crate) fn read_request<R: BufRead>(reader: &mut R) -> Option<HttpRequest> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let mut req = HttpRequest { method, target, headers, body: Vec::new() };
    if let Some(length) = req.header("content-length").and_then(|text| text.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        req.body = body;
    } else if req.header("transfer-encoding").is_some() {
        let (body, is_complete) = read_chunks(reader);
        if !is_complete {
            return None;
        }
        req.body = body;
    }
    Some(req)
}

/// A response as a client sees it.
#[derive(Default)]
pub(crate) struct HttpResponse {
    /// 0 if there is none.
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether the body ends as its head says.
    pub(crate) is_complete: bool,
}

impl HttpResponse {
    pub(crate) fn has_header(&self, name: &str) -> bool {
        self.headers.iter().any(|(known, _)| known == name)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the response.
pub(crate) fn call(address: SocketAddr, request: &str, timeout: Duration) -> HttpResponse {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return HttpResponse::default();
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let _ = stream.set_nodelay(true);
    if stream.write_all(request.as_bytes()).is_err() {
        return HttpResponse::default();
    }
    read_response(&mut BufReader::new(stream)).unwrap_or_default()
}

/// Sends a request on a new connection, and leaves after some time without having read anything.
pub(crate) fn call_and_leave(address: SocketAddr, request: &str, after: Duration) {
    if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        let _ = stream.set_nodelay(true);
        let _ = stream.write_all(request.as_bytes());
        thread::sleep(after);
    }
}

fn read_response<R: BufRead>(reader: &mut R) -> Option<HttpResponse> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    let mut resp = HttpResponse { status, headers, ..HttpResponse::default() };
    let value = |name: &str| {
        resp.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.clone())
    };
    let (length, coding) = (value("content-length"), value("transfer-encoding"));
    if coding.is_some() {
        (resp.body, resp.is_complete) = read_chunks(reader);
    } else if let Some(length) = length.and_then(|text| text.parse::<u64>().ok()) {
        let _ = reader.take(length).read_to_end(&mut resp.body);
        resp.is_complete = resp.body.len() as u64 == length;
    } else {
        resp.is_complete = reader.read_to_end(&mut resp.body).is_ok();
    }
    Some(resp)
}

// ---- the platform's store ----

/// Time for which the store keeps a record, in seconds: the history that the deployment's sheet names.
const KEEP_S: u64 = 20;

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed().as_secs() >= KEEP_S) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

/// The platform's store. It loses nothing that it has acknowledged but what its history no longer covers.
#[derive(Clone)]
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
}

impl Store {
    pub(crate) fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Store { address, topics: Arc::default() };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record of a keyed topic; without a value, the key is dropped.
    pub(crate) fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.0.lock().expect("store");
        let topic = topics.entry(topic.to_owned()).or_default();
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let offset = topic.end();
        match value.is_empty() {
            true => topic.newest.remove(key),
            false => topic.newest.insert(key.to_owned(), (value.as_bytes().to_vec(), offset)),
        };
        topic.records.push_back((Instant::now(), record));
        self.topics.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_request(&mut reader) {
            let (status, body) = self.answer(&req);
            let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n", body.len());
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &HttpRequest) -> (u16, Vec<u8>) {
        let number = |name: &str| req.query(name).and_then(|text| text.parse::<u64>().ok());
        let name = req.query("topic").unwrap_or_default().to_owned();
        let mut topics = self.topics.0.lock().expect("store");
        let path = req.target.split('?').next().unwrap_or_default();
        match (req.method.as_str(), path) {
            ("POST", "/-/log-append") => {
                let topic = topics.entry(name).or_default();
                topic.expire();
                let end = topic.end();
                if number("at").is_some_and(|at| at != end) {
                    return (412, format!("{{\"end_offset\":{end}}}").into_bytes());
                }
                let mut rest = req.body.as_slice();
                while let Some((length, later)) = rest.split_first_chunk::<4>() {
                    let length = u32::from_be_bytes(*length) as usize;
                    let Some((record, later)) = later.split_at_checked(length) else {
                        return (400, Vec::new());
                    };
                    topic.records.push_back((Instant::now(), record.to_vec()));
                    rest = later;
                }
                let end_offset = topic.end();
                self.topics.1.notify_all();
                (200, format!("{{\"offset\":{end},\"end_offset\":{end_offset}}}").into_bytes())
            }
            ("GET", "/-/log-read") => {
                let from = number("from").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                loop {
                    let topic = topics.entry(name.clone()).or_default();
                    topic.expire();
                    if from < topic.first {
                        let first = topic.first;
                        return (410, format!("{{\"first_offset\":{first}}}").into_bytes());
                    }
                    let now = Instant::now();
                    if topic.end() > from || now >= until {
                        let mut page = topic.end().to_be_bytes().to_vec();
                        page.extend_from_slice(&topic.first.to_be_bytes());
                        let skipped = (from - topic.first) as usize;
                        for (_, record) in topic.records.iter().skip(skipped) {
                            page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            page.extend_from_slice(record);
                        }
                        return (200, page);
                    }
                    topics = self.topics.1.wait_timeout(topics, until - now).expect("store").0;
                }
            }
            ("GET", "/-/log-newest") => {
                let topic = topics.entry(name).or_default();
                let items = topic.newest.iter().map(|(key, (value, offset))| {
                    let value = base64(value);
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                });
                let items: Vec<_> = items.collect();
                let (items, end) = (items.join(","), topic.end());
                let page =
                    format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
                (200, page.into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut block = [0; 3];
        block[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, block[0], block[1], block[2]]);
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

// ---- routers ----

/// A router process, killed when dropped.
pub(crate) struct Router {
    child: Child,
    settings: PathBuf,
    pub(crate) name: String,
    pub(crate) front: SocketAddr,
    ready: SocketAddr,
    /// Start of the process, in seconds of the record.
    pub(crate) started_at: f64,
}

/// A folder for the settings of the routers, removed when dropped.
pub(crate) struct TempFolder(PathBuf);

impl TempFolder {
    pub(crate) fn create() -> std::io::Result<TempFolder> {
        let path = std::env::temp_dir().join(format!("dogwoodway-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const FRONT_PORT: u16 = 18_782;
const READY_PORT: u16 = 18_789;
const CONTROL_PORT: u16 = 18_783;
const INTERNAL_PORTS: (u16, u16) = (17_340, 17_355);
const METRICS_PORT: u16 = 9_464;

/// Returns a subnet `127.N` in which the ports of all routers are free.
pub(crate) fn free_subnet(routers: u8) -> Option<u8> {
    let first = (std::process::id() % 80) as u8;
    (0..80).map(|n| 100 + (first + n) % 80).find(|subnet| {
        (1..=routers).all(|number| {
            let ip = format!("127.{subnet}.{number}.1");
            let tcp = [FRONT_PORT, READY_PORT, METRICS_PORT];
            tcp.iter().all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
                && UdpSocket::bind((ip.as_str(), INTERNAL_PORTS.0)).is_ok()
        })
    })
}

impl Router {
    /// Starts the router of the deploy file with settings like those of the site `tonles`.
    pub(crate) fn start(
        record: &Record,
        folder: &TempFolder,
        store: &Store,
        subnet: u8,
        number: u8,
        zone: &str,
    ) -> std::io::Result<Router> {
        let ip = format!("127.{subnet}.{number}.1");
        let name = format!("front-{zone}-{number}");
        let settings = format!(
            r#"{{"node":"{name}","role":"router","machine_class":"front","serves":["front"],
"ip":"{ip}","zone":"{zone}","region":"ljubljana",
"zones":{{"lj-a":"ljubljana","lj-b":"ljubljana","lj-c":"ljubljana"}},
"listen":{{"front":"{ip}:{FRONT_PORT}","ready":"{ip}:{READY_PORT}","control":"{ip}:{CONTROL_PORT}"}},
"internal_ports":[{},{}],"seeds":[],"bootstrap":true,"in_fault_budget":false,
"limits":{{"cpu_share":0.19,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"],
"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"revert_slack_ms":250,"max_skew_ms":5000,
"strict_revoke":false,"revoke_ms":5000,"retry_ratio":0.2,"budget_window_s":10,"retry_slack":54,
"recover_s":12,"transit_ms":120,"reuse_window_s":10,"fence_required":false,"lease_ms":3000,"thaw_ms":300,
"version_ms":8000,"version_all_ms":11000}},
"platform":{{"addr":"{}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":24,"append_ms":1.0,
"part_mb_per_s":20.0,"read_mb_per_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":{KEEP_S},
"part_mb":200,"ttl_min_ms":1000}}}}"#,
            INTERNAL_PORTS.0, INTERNAL_PORTS.1, store.address
        );
        let path = folder.0.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let child = spawn_router(&path)?;
        let address = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        let (front, ready) = (address(FRONT_PORT), address(READY_PORT));
        record.line(&format!("router {name} started"));
        let started_at = record.seconds();
        Ok(Router { child, settings: path, name, front, ready, started_at })
    }

    pub(crate) fn is_ready(&self) -> bool {
        let req = "GET /-/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        call(self.ready, req, Duration::from_millis(500)).status == 200
    }

    pub(crate) fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Stops the process as the platform does, SIGTERM and after the grace period SIGKILL, and starts it
    /// again.
    pub(crate) fn restart(&mut self, record: &Record) -> std::io::Result<()> {
        record.line(&format!("router {} gets SIGTERM", self.name));
        signal(&self.child, SIGTERM);
        let until = Instant::now() + Duration::from_secs(8);
        while self.child.try_wait()?.is_none() {
            if Instant::now() >= until {
                signal(&self.child, SIGKILL);
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("router {} has ended", self.name));
        thread::sleep(Duration::from_millis(300));
        self.child = spawn_router(&self.settings)?;
        self.started_at = record.seconds();
        record.line(&format!("router {} started again", self.name));
        Ok(())
    }
}

fn spawn_router(settings: &PathBuf) -> std::io::Result<Child> {
    // What the routers log, for whoever traces a case.
    let (out, err) = match std::env::var_os("REVIEW_LOGS") {
        Some(folder) => {
            let name = settings.with_extension("log");
            let path = PathBuf::from(folder).join(name.file_name().unwrap_or_default());
            let file = File::options().create(true).append(true).open(path)?;
            (Stdio::from(file.try_clone()?), Stdio::from(file))
        }
        None => (Stdio::null(), Stdio::null()),
    };
    Command::new("target/release/dogwoodway")
        .arg("router")
        .args(std::env::var_os("REVIEW_LOGS").map(|_| "--log-level=debug"))
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("LANG", "C")
        .env("DOGWOODWAY_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .spawn()
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn signal(child: &Child, signal: i32) {
    // Safe: the process is a child that has not been waited for.
    unsafe { kill(child.id() as i32, signal) };
}

// ---- workers ----

/// What a worker process tells of itself, and when, in seconds of the record.
pub(crate) struct WorkerEvent {
    pub(crate) at: f64,
    pub(crate) worker: String,
    /// Words: what happened, the id of the request, and more.
    pub(crate) words: Vec<String>,
}

/// A worker process and its entry in the store; killed when dropped.
pub(crate) struct Worker {
    pub(crate) child: Child,
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    service: String,
    zone: String,
    engine: bool,
    born: u128,
    seq: u64,
}

impl Worker {
    /// Starts a worker at an address, or at a free one. What it tells goes to `events`.
    pub(crate) fn start(
        record: &Record,
        events: &mpsc::Sender<WorkerEvent>,
        (service, zone): (&str, &str),
        id: &str,
        address: Option<SocketAddr>,
        style: &str,
    ) -> std::io::Result<Worker> {
        let wanted = address.map_or_else(|| "127.0.0.1:0".to_owned(), |at| at.to_string());
        let mut child = Command::new(std::env::current_exe()?)
            .args(["worker", &wanted, id, style])
            // Ends with this process, whose end of the pipe it watches.
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let address = match lines.next() {
            Some(Ok(line)) => line.parse().map_err(std::io::Error::other)?,
            _ => return Err(std::io::Error::other("a worker did not start")),
        };
        let (record, events, name) = (record.clone(), events.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&format!("worker {name}: {line}"));
                let words = line.split(' ').map(str::to_owned).collect();
                let (at, worker) = (record.seconds(), name.clone());
                let _ = events.send(WorkerEvent { at, worker, words });
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
        Ok(Worker {
            child,
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            engine: style == "engine",
            born,
            seq: 0,
        })
    }

    /// Writes the worker's entry, as the worker does itself at each heartbeat.
    pub(crate) fn beat(&mut self, store: &Store, state: &str) {
        self.seq += 1;
        let models = match self.engine {
            true => r#","stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}]"#,
            false => "",
        };
        let slots = if self.engine { 64 } else { 6 };
        let Worker { service, address, zone, seq, born, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold_ms":0{models},"seq":{seq},"born":{born}}}"#
        );
        store.put("keyed.servers", &self.id, &entry);
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The worker process. It answers requests that name it, one at a time on a connection.
mod worker {
    use super::*;

    /// Events of a stream, and the time between two of them.
    pub(crate) const EVENTS: u32 = 76;
    const EVENT_INTERVAL: Duration = Duration::from_millis(60);

    /// Time for which a request runs that crashes its worker later.
    const CRASH_AFTER: Duration = Duration::from_millis(90);

    /// The same of a short stream.
    const SHORT_EVENTS: u32 = 5;
    const SHORT_EVENT_INTERVAL: Duration = Duration::from_millis(20);

    pub(crate) fn run(address: &str, id: &str, style: &str) -> ExitCode {
        // The address may still be in use for a moment by the process before.
        let listener = (0..100).find_map(|_| {
            TcpListener::bind(address).map_err(|_| thread::sleep(Duration::from_millis(20))).ok()
        });
        let Some(listener) = listener else { return ExitCode::FAILURE };
        thread::spawn(|| {
            let _ = std::io::stdin().read(&mut [0]);
            std::process::exit(0);
        });
        say(&listener.local_addr().map_or(String::new(), |at| at.to_string()));
        for stream in listener.incoming().flatten() {
            let (id, style) = (id.to_owned(), style.to_owned());
            thread::spawn(move || serve(stream, &id, &style));
        }
        ExitCode::SUCCESS
    }

    fn say(text: &str) {
        let mut out = std::io::stdout().lock();
        let _ = writeln!(out, "{text}");
        let _ = out.flush();
    }

    fn serve(stream: TcpStream, id: &str, style: &str) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_request(&mut reader) {
            if req.target.starts_with("/-/") || req.target == "/health" {
                let report = r#"{"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":260975,"handles":0}"#;
                let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
                let resp = format!(
                    "{head}dogwoodway-instance-id: {id}\r\ncontent-length: {}\r\n\r\n{report}",
                    report.len()
                );
                if writer.write_all(resp.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let request_id = req.header("dogwoodway-request-id").unwrap_or("-").to_owned();
            if req.header("dogwoodway-target-instance").is_some_and(|target| target != id) {
                let resp = format!(
                    "HTTP/1.1 421 Misdirected Request\r\ndogwoodway-request-id: {request_id}\r\n\
                     dogwoodway-instance-id: {id}\r\ncontent-length: 0\r\n\r\n"
                );
                if writer.write_all(resp.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            say(&format!("runs {request_id} {} {}", req.method, req.target));
            if req.body == b"crash later" {
                thread::sleep(CRASH_AFTER);
            }
            if req.body.starts_with(b"crash") {
                say(&format!("crashes {request_id} {}", std::process::id()));
                if req.body == b"crash silently" {
                    stop_process(std::process::id());
                    thread::sleep(Duration::from_secs(60));
                }
                std::process::abort();
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\ndogwoodway-request-id: {request_id}\r\n\
                 dogwoodway-server-seal: {id}.{request_id}\r\n"
            );
            if style == "engine" && req.target.starts_with("/match/") {
                stream_events(&mut writer, &head, &request_id);
                return;
            }
            if style == "engine" {
                if stream_short(&mut writer, &head, &request_id).is_err() {
                    return;
                }
                continue;
            }
            thread::sleep(Duration::from_millis(15));
            let body = "x".repeat(800);
            let resp = format!("{head}content-length: 800\r\n\r\n{body}");
            if writer.write_all(resp.as_bytes()).is_err() {
                return;
            }
            say(&format!("answered {request_id}"));
        }
    }

    /// Answers with a stream that has no length and ends with its connection.
    fn stream_events(writer: &mut TcpStream, head: &str, request_id: &str) {
        let head = format!(
            "{head}content-type: text/event-stream\r\ndogwoodway-weight-versions: 1\r\n\
             connection: close\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        for n in 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            if writer.write_all(format!("id: {n}\ndata: token-{n}\n\n").as_bytes()).is_err() {
                say(&format!("left-by-the-client {request_id} after {n}"));
                return;
            }
        }
        say(&format!("answered {request_id}"));
    }

    /// Answers with a short stream in chunks, and keeps the connection.
    fn stream_short(writer: &mut TcpStream, head: &str, request_id: &str) -> std::io::Result<()> {
        let head = format!(
            "{head}content-type: text/event-stream\r\ndogwoodway-weight-versions: 1\r\n\
             keep-alive: timeout=15\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for n in 1..=SHORT_EVENTS {
            thread::sleep(SHORT_EVENT_INTERVAL);
            let event = format!("id: {n}\ndata: token-{n}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
        say(&format!("answered {request_id}"));
        Ok(())
    }
}

pub(crate) use worker::EVENTS;

// ---- streams and their clients ----

/// A stream as its client saw it.
pub(crate) struct StreamResult {
    pub(crate) id: String,
    events: usize,
    is_success: bool,
    /// Whether the response ends as its head says.
    ends_as_complete: bool,
}

/// How streams ended.
#[derive(Clone, Copy, Default)]
pub(crate) struct StreamCounts {
    pub(crate) whole: u32,
    /// Not answered with success, or broken off so that the client can tell.
    pub(crate) broken_off: u32,
    /// Ended as complete before the last event: the rule is broken.
    pub(crate) false_ends: u32,
}

impl StreamCounts {
    pub(crate) fn add(&mut self, record: &Record, result: &StreamResult) {
        let StreamResult { id, events, is_success, ends_as_complete } = result;
        match (*is_success && *ends_as_complete, *events == EVENTS as usize) {
            (true, true) => self.whole += 1,
            (true, false) => {
                self.false_ends += 1;
                record.line(&format!(
                    "BROKEN: {id} ends as complete after {events} of {EVENTS} events"
                ));
            }
            (false, _) => self.broken_off += 1,
        }
    }
}

/// Opens a stream of `/match/` and reads it to its end, in a thread of its own.
pub(crate) fn open_stream(
    record: &Record,
    front: SocketAddr,
    id: String,
    part: u32,
) -> thread::JoinHandle<StreamResult> {
    let record = record.clone();
    thread::spawn(move || {
        let extra = format!(
            "Dogwoodway-Deadline-Ms: 15000\r\nDogwoodway-Model: m0\r\n\
             Dogwoodway-Token-Counts: 1200,{EVENTS}\r\n\
             Dogwoodway-Prompt-Prefix: a{part:02x}:500,b{part:02x}:700\r\n"
        );
        record.line(&format!("client sends {id}"));
        let req = request("POST", "/match/1", &id, &extra, "notes");
        let resp = call(front, &req, Duration::from_secs(16));
        let text = resp.text();
        // Each event names its number.
        let whole = text.split("\n\n").filter(|event| event.contains("data: token-"));
        let events = whole.count();
        record.line(&format!(
            "client gets {id}: status {}, sealed {}, {events} of {EVENTS} events, ends as complete: {}",
            resp.status,
            resp.has_header("dogwoodway-server-seal"),
            resp.is_complete
        ));
        let is_success = (200..300).contains(&resp.status);
        StreamResult { id, events, is_success, ends_as_complete: resp.is_complete }
    })
}

/// Sends short streams of `/lookup/` at the site's rate until `is_over`, so that routers and workers have the
/// connections that they have under load.
pub(crate) fn send_lookups(
    record: &Record,
    fronts: Vec<SocketAddr>,
    is_over: Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    const CLIENTS: usize = 8;
    let client = |c: usize| {
        let (record, fronts, is_over) = (record.clone(), fronts.clone(), is_over.clone());
        thread::spawn(move || {
            let mut n = 0;
            while !is_over.load(Ordering::Relaxed) {
                n += 1;
                let extra = format!(
                    "Dogwoodway-Deadline-Ms: 3000\r\nDogwoodway-Model: m0\r\n\
                     Dogwoodway-Token-Counts: 120,5\r\nDogwoodway-Prompt-Prefix: c{c:x}:60,d{n:x}:60\r\n"
                );
                let id = format!("lookup-{c}-{n}");
                let req = request("POST", "/lookup/1", &id, &extra, "question");
                record.line(&format!("client sends {id}"));
                let resp = call(fronts[(c + n) % fronts.len()], &req, Duration::from_secs(4));
                record.line(&format!("client gets {id}: status {}", resp.status));
                thread::sleep(Duration::from_millis(30));
            }
        })
    };
    (0..CLIENTS).map(client).collect()
}

// ---- the operator's configuration ----

/// Key of the only tenant.
pub(crate) const KEY: &str = "ctnfzs989anu6wsjnban";

pub(crate) const HOST: &str = "jepu9.example";

/// The configuration of the site `tonles` with its kinds of requests: `/reserve/` (non-idempotent),
/// `/view/` (idempotent), `/match/` (a stream that may not be resumed) and `/lookup/` (one that may).
pub(crate) fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","route_kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":100,"priority":2,"service":"{service}","max_attempts":{attempts},"anonymous":false,"session_affinity":{},"resumable":{},"gap_target_ms":300}}"#,
            service == "llm",
            name == "lookup"
        )
    };
    let routes = [
        route("reserve", "non_idempotent", "desk", 600, 1),
        route("view", "idempotent", "desk", 600, 2),
        route("match", "stream", "llm", 15_000, 1),
        route("lookup", "stream", "llm", 3_000, 2),
    ];
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}},{{"name":"llm","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":260975,"kv_bytes":163840,"link_mbps":370000.0,"moves":true,"backups":true,"stride":5,"max_inflight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m0"}}]}}}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"sese880","api_keys":["{KEY}"],"priority":1,"isolated":false}}]}}"#,
        routes.join(",")
    )
}

/// Writes a client's request.
pub(crate) fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDogwoodway-Request-Id: {id}\r\n\
         Authorization: Bearer {KEY}\r\n{extra}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
