//! A leader that was killed right after its orders starts again and is stopped soon after. See
//! `claim.txt`.

#[path = "../kit.rs"]
mod kit;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{HOST, KEY, Record, Router, Store, TENANT, has_trouble, lock, serve, sleep_ms, write_answer};

const MODEL: &str = "m0";

/// `lease_ms` of the settings.
const LEASE_MS: u64 = 3_000;

/// Time from the kill to the new start of the process, in milliseconds.
const RESTART_MS: u64 = 150;

/// Time that new weights take a worker, in milliseconds.
const LOAD_MS: u64 = 430;

/// An order that has arrived at a worker.
#[derive(Clone, Debug)]
struct Order {
    at: Instant,
    worker: &'static str,
    holder: String,
    fence: u64,
    version: u64,
    answer: &'static str,
}

struct Worker {
    id: &'static str,
    address: SocketAddr,
    /// Version served, orders accepted, and until when it loads.
    state: Mutex<(u64, u64, Option<Instant>)>,
}

fn config() -> String {
    format!(
        r#"{{"version":10,"routes":[{{"name":"r-match","host":"{HOST}","path_prefix":"/match/","route_kind":"stream",
"timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"llm","max_attempts":1,"anonymous":false,
"session_affinity":true,"resumable":false,"gap_target_ms":300}}],"services":[{{"name":"llm","health_path":"/health",
"max_connections":360,"engine":{{"slots":64,"kv_capacity":260975,"kv_bytes":163840.0,"link_mbps":370000.0,
"models":[{{"name":"{MODEL}"}}]}}}}],
"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"isolated":false}}]}}"#
    )
}

/// Returns the text or number after a name in a JSON object.
fn field(json: &str, name: &str) -> String {
    let rest = json.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    rest.split([',', '}']).next().unwrap_or_default().trim().trim_matches('"').to_owned()
}

fn write_entry(store: &Store, worker: &Worker, seq: u64) {
    let version = lock(&worker.state).0;
    store.put("keyed.servers", worker.id, &format!(
        r#"{{"service":"llm","addr":"{}","zone":"zone-a","version":"v1","slots":64,"state":"ready","cold_ms":0,
"seq":{seq},"born":1000,"stage":"colocated","models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}]}}"#,
        worker.address
    ));
}

/// Starts a sound model worker that takes orders to load weights.
fn start_worker(record: &Record, store: &Store, id: &'static str, orders: Arc<Mutex<Vec<Order>>>) -> Arc<Worker> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let worker = Arc::new(Worker { id, address, state: Mutex::new((1, 0, None)) });
    let (served, record) = (worker.clone(), record.clone());
    serve(listener, move |message, stream| {
        let json = "content-type: application/json\r\n";
        match (message.method(), message.path()) {
            ("GET", "/-/report") => {
                let (version, seq, loading) = *lock(&served.state);
                let body = format!(
                    r#"{{"stage":"colocated","models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}],
"busy":{},"seq":{seq},"queued":0,"running":0,"kv_used":0,"kv_total":260975,"handles":0}}"#,
                    loading.is_some()
                );
                write_answer(stream, "200 OK", json, body.as_bytes())
            }
            ("POST", "/-/order") => {
                let at = Instant::now();
                let body = String::from_utf8_lossy(&message.body).into_owned();
                let version: u64 = field(&body, "version").parse().unwrap_or(0);
                let precondition = field(&body, "precondition");
                let mut state = lock(&served.state);
                let answer = match *state {
                    _ if message.header("dogwoodway-target-instance").is_some_and(|target| target != id) => {
                        "421 Misdirected Request"
                    }
                    (_, _, Some(_)) => "409 Conflict",
                    (_, seq, _) if precondition != seq.to_string() => "409 Conflict",
                    (serving, ..) if serving >= version => "200 OK",
                    _ => "202 Accepted",
                };
                if answer.starts_with("202") {
                    state.1 += 1;
                    state.2 = Some(at + Duration::from_millis(LOAD_MS));
                    let served = served.clone();
                    thread::spawn(move || {
                        sleep_ms(LOAD_MS);
                        let mut state = lock(&served.state);
                        (state.0, state.2) = (version, None);
                    });
                }
                drop(state);
                let fence = field(&body, "fence").parse().unwrap_or(0);
                let order = Order { at, worker: id, holder: field(&body, "holder"), fence, version, answer };
                record.line(&format!("order at {id}: {body} -> {answer}"));
                lock(&orders).push(order);
                write_answer(stream, answer, json, b"{}")
            }
            ("GET", "/health") => write_answer(stream, "200 OK", &format!("dogwoodway-instance-id: {id}\r\n"), b""),
            _ => write_answer(stream, "404 Not Found", "", b""),
        }
    });
    // The entry is written at each heartbeat, and when it changes.
    let (store, listed) = (store.clone(), worker.clone());
    thread::spawn(move || {
        let (mut last, mut written_at, mut seq) = (0, Instant::now(), 0);
        loop {
            let version = lock(&listed.state).0;
            if version != last || written_at.elapsed() >= Duration::from_millis(1_200) {
                seq += 1;
                (last, written_at) = (version, Instant::now());
                write_entry(&store, &listed, seq);
            }
            sleep_ms(20);
        }
    });
    worker
}

fn name_version(record: &Record, store: &Store, version: u64) {
    store.put("keyed.op", &format!("version/{MODEL}"), &format!(r#"{{"model":"{MODEL}","version":{version}}}"#));
    record.say(&format!("version {version} named"));
}

/// Waits for orders of `version` to both workers; exits with 2 if they don't come.
fn wait_for_orders(orders: &Mutex<Vec<Order>>, version: u64, limit_ms: u64) -> Option<Vec<Order>> {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < until {
        let of_version: Vec<_> = lock(orders).iter().filter(|order| order.version == version).cloned().collect();
        if ["i-1", "i-2"].iter().all(|id| of_version.iter().any(|order| order.worker == *id)) {
            return Some(of_version);
        }
        sleep_ms(1);
    }
    None
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let _workers = ["i-1", "i-2"].map(|id| start_worker(&record, &store, id, orders.clone()));
    store.put("keyed.op", &format!("version/{MODEL}"), &format!(r#"{{"model":"{MODEL}","version":1}}"#));
    sleep_ms(100);
    let mut routers: Vec<_> = (1..=2).map(|number| Router::start(store.address, number)).collect();
    routers.iter().for_each(Router::wait_until_ready);
    // Long enough for the first claim of the leadership.
    sleep_ms(8_000);
    name_version(&record, &store, 2);
    let Some(first) = wait_for_orders(&orders, 2, 10_000) else {
        record.say("the case could not run: no orders for version 2");
        std::process::exit(2);
    };
    let ordered_at = first[0].at;
    let since = || ordered_at.elapsed().as_millis() as u64;
    let leader = routers.iter().position(|router| router.name == first[0].holder).unwrap_or(0);
    record.say(&format!("{} has ordered both workers to load version 2", routers[leader].name));
    if has_trouble() {
        routers[leader].kill();
        sleep_ms(RESTART_MS);
        routers[leader].start_again();
        record.say(&format!("{} ms after the order: the process was killed and starts again", since()));
        routers[leader].wait_until_ready();
        routers[leader].signal("TERM");
        record.say(&format!("{} ms: it is stopped by SIGTERM", since()));
        while !routers[leader].has_ended() && since() < 9_000 {
            sleep_ms(1);
        }
        record.say(&format!("{} ms: it has ended", since()));
    } else {
        sleep_ms(2_500_u64.saturating_sub(since()));
    }
    name_version(&record, &store, 3);
    wait_for_orders(&orders, 3, 10_000);
    sleep_ms(2_000);
    drop(routers);
    let orders = lock(&orders).clone();
    let mut is_broken = false;
    for id in ["i-1", "i-2"] {
        let of_worker: Vec<_> = orders.iter().filter(|order| order.worker == id).collect();
        for pair in of_worker.windows(2) {
            let gap_ms = (pair[1].at - pair[0].at).as_millis() as u64;
            record.say(&format!(
                "{id}: version {} ordered by {} with token {} ({}), then version {} by {} with token {} ({}) after {gap_ms} ms",
                pair[0].version, pair[0].holder, pair[0].fence, pair[0].answer,
                pair[1].version, pair[1].holder, pair[1].fence, pair[1].answer
            ));
            let is_turn = pair[0].holder != pair[1].holder && gap_ms < LEASE_MS;
            let is_lower = pair[1].fence < pair[0].fence;
            let is_shared = pair[0].holder != pair[1].holder && pair[0].fence == pair[1].fence;
            is_broken |= is_turn || is_lower || is_shared;
        }
    }
    if !orders.iter().any(|order| order.version == 3) {
        record.say("the case could not run: no order for version 3");
        std::process::exit(2);
    }
    record.say(if is_broken { "BROKEN: two holders took turns within lease_ms" } else { "kept" });
    std::process::exit(i32::from(is_broken));
}
