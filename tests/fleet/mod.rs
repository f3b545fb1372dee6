//! Starts a small deployment for system tests: stand-ins, agents and entries, each as a process of
//! its own on the loopback interface.
//!
//! The stand-ins take the places of the log, the list of VMs, the KV store, the model engines and
//! the plain services. Each process first binds an ephemeral port and uses the same port again
//! after a restart. The processes are killed when the fleet is dropped. The binaries must have been
//! built before (`cargo build --workspace`). The output of the processes on standard error is
//! discarded unless the environment variable `FLEET_LOGS` is set.

// Each test binary compiles this module and uses only a part of it.
#![allow(dead_code)]

pub(crate) mod proxy;
pub(crate) mod stray_proxy;
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

use crate::fleet::{proxy::Proxy, stray_proxy::StrayProxy};

/// API key of the team `demo`, sent as a bearer token.
pub(crate) const API_KEY: &str = "sk-demo";

/// Text that crashes an engine when it runs a prompt that contains it.
pub(crate) const POISON: &str = "crash-the-engine";

/// Secret with which API keys are hashed.
const PEPPER: &str = "pepper";

const REQUEST_TIMEOUT_MS: u64 = 60_000;

/// A process of the fleet; killed when dropped.
pub(crate) struct Process {
    program: PathBuf,
    args: Vec<String>,
    /// Path and content of the settings file, `None` for stand-ins.
    settings: Option<(PathBuf, String)>,
    child: Child,
    /// Address on which the process listens.
    pub(crate) address: SocketAddr,
}

impl Process {
    /// Starts the process and waits for the line `listening on ADDRESS` on its standard output.
    fn spawn(program: PathBuf, args: Vec<String>, settings: Option<(PathBuf, String)>) -> Process {
        if let Some((path, text)) = &settings {
            std::fs::write(path, text).expect("the settings file can be written");
        }
        let mut command = Command::new(&program);
        command.args(&args).stdout(Stdio::piped());
        if std::env::var_os("FLEET_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command.spawn().unwrap_or_else(|e| {
            panic!(
                "{} could not be started ({e}); run cargo build --workspace first",
                program.display()
            )
        });
        let mut line = String::new();
        let out = child.stdout.as_mut().expect("standard output is piped");
        BufReader::new(out).read_line(&mut line).expect("standard output is UTF-8");
        let address = line.trim().strip_prefix("listening on ").and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| {
            panic!("the process with arguments {args:?} printed {line:?} instead of its address")
        });
        Process { program, args, settings, child, address }
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts it again on the same address.
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

    /// Kills the process and starts it again on the same address with additional arguments.
    pub(crate) fn restart_with(&mut self, args: &[&str]) {
        self.args.extend(args.iter().map(|arg| (*arg).to_owned()));
        self.restart();
    }

    /// Kills the process and starts it again on the same address with `line` added to its settings.
    pub(crate) fn restart_with_setting(&mut self, line: &str) {
        if let Some((_, text)) = &mut self.settings {
            text.push_str(line);
            text.push('\n');
        }
        self.restart();
    }

    /// Starts another process with the same settings, which binds a port of its own.
    pub(crate) fn start_replica(&self) -> Process {
        Process::spawn(self.program.clone(), self.args.clone(), self.settings.clone())
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(
            status.is_ok_and(|s| s.success()),
            "signal {name} could not be sent to process {pid}"
        );
    }

    /// Waits for the process to exit and returns whether its exit code is 0.
    pub(crate) fn exits_successfully(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Returns the largest amount of memory that the process has used so far, in bytes; `None` if it has
    /// exited.
    pub(crate) fn peak_memory_bytes(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some(peak.split_whitespace().next()?.parse::<u64>().ok()? << 10)
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

/// Size and properties of a fleet.
#[derive(Clone, Copy)]
pub(crate) struct FleetOptions {
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) entries: usize,
    /// Microseconds of one decoding step of an engine's batch.
    pub(crate) decode_us: u32,
    /// Whether a KV store runs and is used by agents and engines.
    pub(crate) kv_store: bool,
    /// Whether entries reach agents through proxies that a test can freeze or close.
    pub(crate) proxies: bool,
    /// Whether agents reach their backend servers through proxies that can write stray responses.
    pub(crate) stray_proxies: bool,
    /// Value of the agents' setting `checks_fencing`: whether they rely on their engines to refuse
    /// orders with an outdated fencing token. It does not change what the engines do.
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
            proxies: false,
            stray_proxies: false,
            checks_fencing: true,
        }
    }
}

/// The processes of a deployment; killed when dropped.
pub(crate) struct Fleet {
    pub(crate) log: Process,
    pub(crate) vms: Process,
    pub(crate) kv_store: Option<Process>,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    /// Agents of the engines in the order of `engines`, then those of the services.
    pub(crate) agents: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    /// Proxies between all entries and the agents, in the order of `agents`; empty unless
    /// [`FleetOptions::proxies`] is set.
    pub(crate) proxies: Vec<Proxy>,
    /// Proxies between the agents and their backend servers, in the order of `agents`; empty unless
    /// [`FleetOptions::stray_proxies`] is set.
    pub(crate) stray_proxies: Vec<StrayProxy>,
    pub(crate) http: HttpClient,
    dir: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// Starts a fleet, publishes [`default_config`], and waits until every entry serves chat
    /// completions and service calls, as far as there are backend servers for them.
    pub(crate) async fn start(options: FleetOptions) -> Fleet {
        let dir = std::env::temp_dir().join(format!("dogwoodway-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir).expect("a temporary directory can be created");
        let log = spawn_standin(&["log"]);
        let kv_store = options.kv_store.then(|| spawn_standin(&["kv-store"]));
        let kv_url = kv_store.as_ref().map(Process::url);
        let mut agent_settings = String::new();
        if let Some(url) = &kv_url {
            let _ = writeln!(agent_settings, "kv_store_url: {url}");
        }
        let engines = start_engines(options, kv_url.as_deref());
        let services: Vec<_> = (0..options.services).map(|_| spawn_standin(&["service"])).collect();
        let backends = engines.iter().map(|e| ("engine", e)).enumerate();
        let backends = backends.chain(services.iter().map(|s| ("service", s)).enumerate());
        let (mut agents, mut proxies, mut stray_proxies) = (Vec::new(), Vec::new(), Vec::new());
        let mut vm_list = String::new();
        for (i, (kind, backend)) in backends {
            let backend_url = match options.stray_proxies {
                true => start_stray_proxy(backend, &mut stray_proxies).await,
                false => backend.url(),
            };
            let text = format!(
                "zone: zone-{i}\nname: {kind}-{i}\nkind: {kind}\nbackend_url: {backend_url}\n\
                 labels: {{pool: {kind}}}\nchecks_fencing: {}\n{agent_settings}",
                options.checks_fencing
            );
            let agent = start_agent(&dir.join(format!("{kind}-{i}.yaml")), &log, &text);
            let mut address = agent.address;
            if options.proxies {
                let proxy = Proxy::start(address).await;
                address = proxy.address;
                proxies.push(proxy);
            }
            let _ = writeln!(
                vm_list,
                "- {{address: \"{address}\", zone: zone-{i}, role: agent, state: live}}"
            );
            agents.push(agent);
        }
        wait_until_agents_ready(&agents).await;
        let vms = start_vms(&dir, vm_list);
        let entries = (0..options.entries).map(|i| start_entry(i, &dir, &log, &vms)).collect();
        let http = HttpClient::new();
        let fleet = Fleet {
            log,
            vms,
            kv_store,
            engines,
            services,
            agents,
            entries,
            proxies,
            stray_proxies,
            http,
            dir,
        };
        fleet.publish(&default_config()).await;
        fleet.wait_until_serving(options).await;
        fleet
    }

    /// Publishes edits with `dogwoodway publish`; they must be accepted.
    pub(crate) async fn publish(&self, edits: &[ConfigEdit]) {
        let file = self.dir.join(format!("edits-{:016x}.yaml", rand::random::<u64>()));
        let text = serde_yaml_ng::to_string(edits).expect("edits can be serialized as YAML");
        std::fs::write(&file, text).expect("the file of edits can be written");
        let status = Command::new(env!("CARGO_BIN_EXE_dogwoodway"))
            .args(["publish", "--init", "--author", "test", "--log-url", &self.log.url(), "-f"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status();
        assert!(status.is_ok_and(|s| s.success()), "dogwoodway publish did not accept the edits");
    }

    /// Sends a chat completion and returns the complete response.
    pub(crate) async fn chat(&self, entry: usize, body: &Value) -> HttpResponse {
        self.post(entry, "/v1/chat/completions", body, &[]).await
    }

    /// Sends a `POST` request with the key of the team `demo`.
    pub(crate) async fn post(
        &self,
        entry: usize,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> HttpResponse {
        let url = format!("{}{path}", self.entries[entry].url());
        let mut all_headers = vec![("authorization", format!("Bearer {API_KEY}"))];
        all_headers.extend(headers.iter().map(|(k, v)| (*k, (*v).to_owned())));
        let reply = self.http.call_with_headers(
            Method::POST,
            &url,
            "application/json",
            body.to_string().into(),
            &all_headers,
            Duration::from_millis(REQUEST_TIMEOUT_MS),
        );
        reply.await.expect("the entry responds")
    }

    /// Replaces the faults that an engine stand-in injects.
    pub(crate) async fn set_fault(&self, engine: usize, fault: &Value) {
        let url = format!("{}/fault", self.engines[engine].url());
        let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let reply: Result<Value, _> = self.http.json(Method::POST, &url, fault, timeout).await;
        reply.expect("the engine accepts the faults");
    }

    /// Sends a `GET` request to an engine and returns a numeric field of the response.
    pub(crate) async fn engine_field(&self, engine: usize, path: &str, field: &str) -> u64 {
        let url = format!("{}{path}", self.engines[engine].url());
        let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let reply: Value =
            self.http.json(Method::GET, &url, &(), timeout).await.expect("the engine responds");
        reply[field].as_u64().expect("the field is a number")
    }

    /// Waits until an engine runs a request and returns the index of the engine.
    pub(crate) async fn wait_for_busy_engine(&self) -> usize {
        loop {
            for engine in 0..self.engines.len() {
                if self.engine_field(engine, "/status", "running").await > 0 {
                    return engine;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits for each engine in turn until it runs no request.
    pub(crate) async fn wait_until_idle(&self) {
        for engine in 0..self.engines.len() {
            while self.engine_field(engine, "/status", "running").await > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until an entry routes requests to an engine.
    ///
    /// The engine gets a fault that cuts off its next stream. Chats with different prefixes are
    /// sent until the fault has been used up, which shows that one of them reached the engine.
    pub(crate) async fn wait_until_routed_to(&self, entry: usize, engine: usize) {
        self.set_fault(engine, &json!({"stream": {"cut-after": 0}, "streams": 1})).await;
        for number in 0.. {
            let mut body = chat_body("used?", 1);
            body["messages"][0]["content"] = json!(format!("prefix {number}"));
            self.chat(entry, &body).await;
            if self.engine_field(engine, "/fault", "streams").await == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the request bodies of all calls that the services executed.
    pub(crate) async fn service_calls(&self) -> Vec<String> {
        let mut calls = Vec::new();
        for service in &self.services {
            let url = format!("{}/calls", service.url());
            let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
            let bodies: Vec<String> = self
                .http
                .json(Method::GET, &url, &(), timeout)
                .await
                .expect("the service responds");
            calls.extend(bodies);
        }
        calls
    }

    /// Waits until each entry has served a chat completion and a service call, as far as there are
    /// backend servers for them.
    async fn wait_until_serving(&self, options: FleetOptions) {
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

fn start_engines(options: FleetOptions, kv_store_url: Option<&str>) -> Vec<Process> {
    let decode = options.decode_us.to_string();
    let mut args = vec!["engine", "--model", "demo-model", "--decode-us", &decode];
    args.extend(["--load-lag-ms", "0", "--poison", POISON]);
    if let Some(url) = kv_store_url {
        args.extend(["--kv-store-url", url]);
    }
    (0..options.engines).map(|_| spawn_standin(&args)).collect()
}

/// Starts an agent with these settings and those that all agents have.
fn start_agent(path: &Path, log: &Process, settings: &str) -> Process {
    let text = format!("listen: 127.0.0.1:0\nlog_url: {}\n{settings}", log.url());
    spawn_role("agent", path.to_owned(), text)
}

/// Starts the list of VMs.
fn start_vms(dir: &Path, list: String) -> Process {
    let file = dir.join("vms.yaml");
    std::fs::write(&file, list).expect("the list of VMs can be written");
    spawn_standin(&["vms", "--file", &file.display().to_string()])
}

/// Starts a proxy in front of a backend server and returns its base URL.
async fn start_stray_proxy(backend: &Process, proxies: &mut Vec<StrayProxy>) -> String {
    let proxy = StrayProxy::start(backend.address).await;
    let url = format!("http://{}", proxy.address);
    proxies.push(proxy);
    url
}

/// Builds the body of a chat-completion request.
pub(crate) fn chat_body(prompt: &str, max_tokens: u32) -> Value {
    json!({
        "model": "demo-model", "max_tokens": max_tokens,
        "messages": [
            {"role": "system", "content": "You compare tonewood."},
            {"role": "user", "content": prompt},
        ],
    })
}

/// Returns the configuration that [`Fleet::start`] publishes.
pub(crate) fn default_config() -> Vec<ConfigEdit> {
    let hash = String::from(KeyHash::new(PEPPER, API_KEY));
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
    serde_yaml_ng::from_str(&text).expect("the default configuration is valid")
}

/// Starts a stand-in, whose binary lies next to that of `dogwoodway`.
fn spawn_standin(args: &[&str]) -> Process {
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
    spawn_role("entry", dir.join(format!("entry-{i}.yaml")), text)
}

/// Waits until all agents describe themselves, which they do once they have reached their backend
/// servers.
async fn wait_until_agents_ready(agents: &[Process]) {
    for agent in agents {
        let client = TarpcAgent::new(agent.address);
        while client.describe().await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Starts an agent or entry with a settings file.
fn spawn_role(name: &str, settings: PathBuf, text: String) -> Process {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_dogwoodway"));
    let args = vec![name.to_owned(), "--settings".to_owned(), settings.display().to_string()];
    Process::spawn(program, args, Some((settings, text)))
}
