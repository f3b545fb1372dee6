//! A small fleet of real processes on loopback: stand-ins, agents and entries.
//!
//! Processes are killed when the fleet is dropped. Each listens on a port of its own choice and
//! keeps it over restarts.

#![allow(dead_code)]

pub(crate) mod link;
pub(crate) mod stream;

use std::{
    fmt::Write as _,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use dogwoodway_http::{HttpClient, HttpResponse};
use dogwoodway_peer::{AgentApi, TarpcAgent};
use dogwoodway_types::{ConfigEdit, KeyHash};
use hyper::Method;
use serde_json::{Value, json};

use crate::fleet::link::Link;

/// Bearer key of the team `demo`.
pub(crate) const KEY: &str = "sk-demo";

/// Text in a prompt that crashes each engine that runs it.
pub(crate) const POISON: &str = "crash-the-engine";

const PEPPER: &str = "pepper";

const ANSWER_TIMEOUT_MS: u64 = 60_000;

/// A process of the fleet.
pub(crate) struct Process {
    program: PathBuf,
    args: Vec<String>,
    settings: Option<(PathBuf, String)>,
    child: Child,
    /// Address that it listens on.
    pub(crate) address: SocketAddr,
}

impl Process {
    fn spawn(program: PathBuf, args: Vec<String>, settings: Option<(PathBuf, String)>) -> Process {
        if let Some((path, text)) = &settings {
            std::fs::write(path, text).expect("settings can be written");
        }
        let mut command = Command::new(&program);
        command.args(&args).stdout(Stdio::piped());
        if std::env::var_os("FLEET_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command.spawn().unwrap_or_else(|e| {
            panic!("{} does not start ({e}); run cargo build --workspace", program.display())
        });
        let mut line = String::new();
        let out = child.stdout.as_mut().expect("standard output is piped");
        BufReader::new(out).read_line(&mut line).expect("standard output is text");
        let address = line.trim().strip_prefix("listening on ").and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| panic!("{args:?} did not start: {line:?}"));
        Process { program, args, settings, child, address }
    }

    /// Kills the process at once.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts a new incarnation on the same address.
    pub(crate) fn restart(&mut self) {
        self.kill();
        let mut args = self.args.clone();
        if let Some(listen) = args.iter_mut().find(|arg| *arg == "127.0.0.1:0") {
            *listen = self.address.to_string();
        }
        let settings = self
            .settings
            .clone()
            .map(|(path, text)| (path, text.replace("127.0.0.1:0", &self.address.to_string())));
        *self = Process::spawn(self.program.clone(), args, settings);
    }

    /// Starts a new incarnation on the same address with further arguments.
    pub(crate) fn restart_with(&mut self, args: &[&str]) {
        self.args.extend(args.iter().map(|arg| (*arg).to_owned()));
        self.restart();
    }

    /// Starts a new incarnation on the same address with a further line of settings.
    pub(crate) fn restart_with_setting(&mut self, line: &str) {
        if let Some((_, text)) = &mut self.settings {
            text.push_str(line);
            text.push('\n');
        }
        self.restart();
    }

    /// Starts another process with the same settings on an address of its own.
    pub(crate) fn start_twin(&self) -> Process {
        Process::spawn(self.program.clone(), self.args.clone(), self.settings.clone())
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(status.is_ok_and(|s| s.success()), "signal {name} was not sent");
    }

    /// Waits for the process to end and returns whether it succeeded.
    pub(crate) fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Returns the base URL of the process.
    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sizes of a fleet.
#[derive(Clone, Copy)]
pub(crate) struct FleetOptions {
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) entries: usize,
    pub(crate) decode_us: u32,
    pub(crate) kv_store: bool,
    /// Whether entries reach agents through links that a test can cut.
    pub(crate) links: bool,
    /// Whether the engines are said to refuse orders with an old fencing number.
    pub(crate) checks_fencing: bool,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            engines: 2,
            services: 2,
            entries: 2,
            decode_us: 2_000,
            kv_store: false,
            links: false,
            checks_fencing: true,
        }
    }
}

/// Stand-ins, agents and entries as separate processes.
pub(crate) struct Fleet {
    pub(crate) log: Process,
    pub(crate) vms: Process,
    pub(crate) kv_store: Option<Process>,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    /// Agents of the engines, then those of the services.
    pub(crate) agents: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    /// Links of all entries to the agents, if the options ask for them.
    pub(crate) links: Vec<Link>,
    pub(crate) http: HttpClient,
    dir: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// Starts a fleet, publishes the usual configuration and waits until both kinds of requests
    /// are served through every entry.
    pub(crate) async fn start(options: FleetOptions) -> Fleet {
        let dir = std::env::temp_dir().join(format!("dogwoodway-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir).expect("the temporary folder can be made");
        let log = standin(&["log"]);
        let decode = options.decode_us.to_string();
        let kv_store = options.kv_store.then(|| standin(&["kv-store"]));
        let kv_url = kv_store.as_ref().map(Process::url);
        let mut engine =
            vec!["engine", "--model", "demo-model", "--decode-us", &decode, "--load-lag-ms", "0"];
        engine.extend(["--poison", POISON]);
        let mut agent_settings = String::new();
        if let Some(url) = &kv_url {
            engine.extend(["--kv-store-url", url]);
            let _ = writeln!(agent_settings, "kv_store_url: {url}");
        }
        let engines: Vec<_> = (0..options.engines).map(|_| standin(&engine)).collect();
        let services: Vec<_> = (0..options.services).map(|_| standin(&["service"])).collect();
        let backends = engines.iter().map(|e| ("engine", e)).enumerate();
        let backends = backends.chain(services.iter().map(|s| ("service", s)).enumerate());
        let (mut agents, mut links) = (Vec::new(), Vec::new());
        let mut list = String::new();
        for (i, (kind, backend)) in backends {
            let text = format!(
                "listen: 127.0.0.1:0\nzone: zone-{i}\nname: {kind}-{i}\nkind: {kind}\n\
                 backend_url: {}\nlog_url: {}\nlabels: {{pool: {kind}}}\n\
                 checks_fencing: {}\n{agent_settings}",
                backend.url(),
                log.url(),
                options.checks_fencing
            );
            let agent = role("agent", dir.join(format!("{kind}-{i}.yaml")), text);
            let mut address = agent.address;
            if options.links {
                let link = Link::open(address).await;
                address = link.address;
                links.push(link);
            }
            let _ = writeln!(
                list,
                "- {{address: \"{address}\", zone: zone-{i}, role: agent, state: live}}"
            );
            agents.push(agent);
        }
        wait_until_described(&agents).await;
        let vms_file = dir.join("vms.yaml");
        std::fs::write(&vms_file, list).expect("the list can be written");
        let vms = standin(&["vms", "--file", &vms_file.display().to_string()]);
        let entries = (0..options.entries).map(|i| start_entry(i, &dir, &log, &vms)).collect();
        let http = HttpClient::new();
        let fleet =
            Fleet { log, vms, kv_store, engines, services, agents, entries, links, http, dir };
        fleet.publish(&usual_config()).await;
        fleet.wait_until_served(options).await;
        fleet
    }

    /// Publishes edits through the operator's command.
    pub(crate) async fn publish(&self, edits: &[ConfigEdit]) {
        let file = self.dir.join(format!("edits-{:016x}.yaml", rand::random::<u64>()));
        let text = serde_yaml_ng::to_string(edits).expect("edits are YAML");
        std::fs::write(&file, text).expect("edits can be written");
        let status = Command::new(env!("CARGO_BIN_EXE_dogwoodway"))
            .args(["publish", "--init", "--author", "test", "--log-url", &self.log.url(), "-f"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status();
        assert!(status.is_ok_and(|s| s.success()), "the edits were not accepted");
    }

    /// Sends a chat completion and returns its whole answer.
    pub(crate) async fn chat(&self, entry: usize, body: &Value) -> HttpResponse {
        self.post(entry, "/v1/chat/completions", body, &[]).await
    }

    /// Sends a `POST` with the team's key.
    pub(crate) async fn post(
        &self,
        entry: usize,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> HttpResponse {
        let url = format!("{}{path}", self.entries[entry].url());
        let mut all = vec![("authorization", format!("Bearer {KEY}"))];
        all.extend(headers.iter().map(|(k, v)| (*k, (*v).to_owned())));
        let reply = self.http.call_with_headers(
            Method::POST,
            &url,
            "application/json",
            body.to_string().into(),
            &all,
            Duration::from_millis(ANSWER_TIMEOUT_MS),
        );
        reply.await.expect("the entry answers")
    }

    /// Sets the faults of an engine.
    pub(crate) async fn set_fault(&self, engine: usize, fault: &Value) {
        let url = format!("{}/fault", self.engines[engine].url());
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let reply: Result<Value, _> = self.http.json(Method::POST, &url, fault, limit).await;
        reply.expect("the engine takes the fault");
    }

    /// Reads a number from a `GET` at an engine.
    pub(crate) async fn engine_number(&self, engine: usize, path: &str, field: &str) -> u64 {
        let url = format!("{}{path}", self.engines[engine].url());
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let reply: Value =
            self.http.json(Method::GET, &url, &(), limit).await.expect("the engine answers");
        reply[field].as_u64().expect("the field is a number")
    }

    /// Waits for an engine that runs a request, and returns its number.
    pub(crate) async fn busy_engine(&self) -> usize {
        loop {
            for engine in 0..self.engines.len() {
                if self.engine_number(engine, "/status", "running").await > 0 {
                    return engine;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until no engine runs or queues a request.
    pub(crate) async fn wait_until_idle(&self) {
        for engine in 0..self.engines.len() {
            while self.engine_number(engine, "/status", "running").await > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until an entry sends requests to an engine again.
    pub(crate) async fn wait_until_used(&self, entry: usize, engine: usize) {
        self.set_fault(engine, &json!({"stream": {"cut-after": 0}, "streams": 1})).await;
        for number in 0.. {
            let mut body = chat_body("used?", 1);
            body["messages"][0]["content"] = json!(format!("prefix {number}"));
            self.chat(entry, &body).await;
            if self.engine_number(engine, "/fault", "streams").await == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the bodies of all calls that the services ran.
    pub(crate) async fn service_calls(&self) -> Vec<String> {
        let mut calls = Vec::new();
        for service in &self.services {
            let url = format!("{}/calls", service.url());
            let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
            let found: Vec<String> =
                self.http.json(Method::GET, &url, &(), limit).await.expect("the service answers");
            calls.extend(found);
        }
        calls
    }

    async fn wait_until_served(&self, options: FleetOptions) {
        for entry in 0..options.entries {
            let mut waiting = options.engines > 0;
            while waiting {
                let reply = self.chat(entry, &chat_body("ready?", 1)).await;
                waiting = !reply.status.is_success();
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let mut waiting = options.services > 0;
            while waiting {
                let reply = self.post(entry, "/services/ping", &json!("ready?"), &[]).await;
                waiting = !reply.status.is_success();
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Builds a chat-completion request.
pub(crate) fn chat_body(prompt: &str, max_tokens: u32) -> Value {
    json!({
        "model": "demo-model", "max_tokens": max_tokens,
        "messages": [
            {"role": "system", "content": "You compare tonewood."},
            {"role": "user", "content": prompt},
        ],
    })
}

/// The configuration that a fleet starts with.
pub(crate) fn usual_config() -> Vec<ConfigEdit> {
    let hash = String::from(KeyHash::new(PEPPER, KEY));
    let text = format!(
        "- !team {{name: demo, keys: [{hash}], tokens_per_minute: 100000000, max_in_flight: 1000}}
- !class {{name: lookup, priority: 5, repeatable: true, answer_within_ms: 30000}}
- !class {{name: long, priority: 5, repeatable: true, answer_within_ms: 7200000}}
- !class {{name: ping, paths: [/ping], priority: 5, repeatable: true, answer_within_ms: 5000}}
- !class {{name: reservation, paths: [/reservations], priority: 5, repeatable: false, \
         answer_within_ms: 10000}}
- !selector {{name: chat, model: demo-model, labels: {{pool: engine}}}}
- !selector {{name: services, labels: {{pool: service}}}}
"
    );
    serde_yaml_ng::from_str(&text).expect("the usual configuration is valid")
}

fn standin(args: &[&str]) -> Process {
    let mut program = PathBuf::from(env!("CARGO_BIN_EXE_dogwoodway"));
    program.set_file_name("dogwoodway-standin");
    let listen = ["--listen", "127.0.0.1:0"];
    let args = listen.iter().chain(args).map(|arg| (*arg).to_owned()).collect();
    Process::spawn(program, args, None)
}

fn start_entry(i: usize, dir: &Path, log: &Process, vms: &Process) -> Process {
    let text = format!(
        "listen: 127.0.0.1:0\nzone: zone-{i}\nlog_url: {}\nvms_url: {}\nkey_pepper: {PEPPER}\n",
        log.url(),
        vms.url()
    );
    role("entry", dir.join(format!("entry-{i}.yaml")), text)
}

/// Waits until all agents have reached their backend servers.
async fn wait_until_described(agents: &[Process]) {
    for agent in agents {
        let link = TarpcAgent::new(agent.address);
        while link.describe().await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn role(name: &str, settings: PathBuf, text: String) -> Process {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_dogwoodway"));
    let args = vec![name.to_owned(), "--settings".to_owned(), settings.display().to_string()];
    Process::spawn(program, args, Some((settings, text)))
}
