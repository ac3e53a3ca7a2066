//! Stand-ins for the cases of the second review: the platform's list of runners, runners, the
//! operator and clients, as the users' pages describe them. It also starts millford's own programs
//! with the commands of `deploy/system.toml`, each as a process of its own.
//!
//! Usage: `stand-in-2 CASE FOLDER TROUBLE`, in the root of the repository. `TROUBLE` is 0 or 1.
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//!
//! It uses the standard library alone: `rustc` builds it without a network.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

// Bounds of the small deployments in the users' pages (SYSTEM.md, sheet of myndlestur).
const CONTACT_MS: u64 = 3000;
const CONFIG_APPLY_MS: u64 = 2000;
const DRAIN_MS: u64 = 3000;
const MAX_LAG_MS: u64 = 800;
/// Deadline of a client, and the timeout of every route (as captionbatch).
const BUDGET_MS: u64 = 4000;
/// Zone of every machine.
const ZONE: &str = "grandi";
const SIGNAL_KILL: i32 = 9;
const SIGNAL_TERMINATE: i32 = 15;
const SIGNAL_CONTINUE: i32 = 18;
const SIGNAL_STOP: i32 = 19;
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// The case could not run.
fn cannot_run(reason: &str) -> ! {
    println!("cannot run: {reason}");
    std::process::exit(2);
}

// ---------------------------------------------------------------------------------------------
// The record.

/// Writes `record.txt`: what was sent, answered and run, with the seconds since the start.
struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1, as far as the stand-ins need it.

#[derive(Debug, Default, Clone)]
struct Message {
    /// The request line or the status line.
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u32 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` at the end of the connection or after an error.
fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        let header = (name.trim().to_owned(), value.trim().to_owned());
        message.headers.push(header);
    }
    let chunked = message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
        let mut body = vec![0_u8; length];
        reader.read_exact(&mut body).ok()?;
        message.body = body;
    }
    Some(message)
}

fn request_text(method: &str, path: &str, headers: &[(&str, String)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Sends one request on a new connection and reads the answer.
fn call(address: SocketAddr, text: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------------------------------------
// Runners.

/// What a runner ran, by the request's id.
#[derive(Debug, Clone)]
struct Run {
    request_id: String,
    runner: String,
    at: Instant,
    /// When the platform's list began to show the runner as draining.
    draining_since: Option<Instant>,
}

struct Runner {
    id: String,
    service: String,
    address: SocketAddr,
    /// When the list began to show the runner as draining; `None` while it is ready.
    draining_since: Mutex<Option<Instant>>,
    /// Whether the list shows the runner.
    listed: AtomicBool,
    /// How long a request takes, in milliseconds.
    work_ms: AtomicU64,
    /// Open connections, which break when the runner ends.
    open: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
}

/// Everything that runners saw.
#[derive(Default)]
struct Observed {
    runs: Mutex<Vec<Run>>,
    /// Requests that were running on a runner when it ended.
    lost: AtomicU64,
}

impl Runner {
    fn start(service: &str, id: &str, observed: &Arc<Observed>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0");
        let listener = listener.unwrap_or_else(|error| cannot_run(&format!("runner: {error}")));
        let address = listener.local_addr().unwrap_or_else(|_| cannot_run("no address"));
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            draining_since: Mutex::new(None),
            listed: AtomicBool::new(true),
            work_ms: AtomicU64::new(20),
            open: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let (accepting, observed, record) = (runner.clone(), observed.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(open) = stream.try_clone() {
                    lock(&accepting.open).push(open);
                }
                let (runner, observed, record) = (accepting.clone(), observed.clone(), record.clone());
                thread::spawn(move || runner.serve(stream, &observed, &record));
            }
        });
        runner
    }

    /// Ends the runner: it leaves the list, its port refuses, and its connections break.
    fn end(&self) {
        self.listed.store(false, Ordering::SeqCst);
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Serves one request after the other on a connection.
    fn serve(&self, mut stream: TcpStream, observed: &Observed, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Some(request) = read_message(&mut reader) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let answer = answer_text(421, "Misdirected Request", &id, &["Not-Executed: 1"], "");
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let draining_since = *lock(&self.draining_since);
            let tenant = request.header("tenant").map(str::to_owned);
            record.line(&format!(
                "{} runs {id} tenant={} draining={}",
                self.id,
                tenant.as_deref().unwrap_or("-"),
                draining_since.map_or("no".to_owned(), |since| format!("{} ms", since.elapsed().as_millis())),
            ));
            lock(&observed.runs).push(Run {
                request_id: id.clone(),
                runner: self.id.clone(),
                at: Instant::now(),
                draining_since,
            });
            sleep_ms(self.work_ms.load(Ordering::SeqCst));
            if self.ended.load(Ordering::SeqCst) {
                record.line(&format!("{} has ended, and {id} with it", self.id));
                observed.lost.fetch_add(1, Ordering::SeqCst);
                return;
            }
            let stamp = format!("Response-Stamp: {}.{id}", self.id);
            let leaving = if draining_since.is_some() { "Connection: close" } else { "Keep-Alive: timeout=10" };
            let text = answer_text(200, "OK", &id, &[&stamp, leaving], "done");
            if stream.write_all(text.as_bytes()).is_err() || draining_since.is_some() {
                let _ = stream.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}

fn answer_text(status: u32, reason: &str, id: &str, headers: &[&str], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status} {reason}\r\nRequest-Id: {id}\r\n");
    for header in headers {
        text.push_str(&format!("{header}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text
}

// ---------------------------------------------------------------------------------------------
// The platform's list of runners.

#[derive(Default)]
struct List {
    runners: Mutex<Vec<Arc<Runner>>>,
    /// When each machine last read the list. Each machine has an address of the list of its own.
    reads: Mutex<BTreeMap<String, Instant>>,
}

impl List {
    /// Serves the list to one machine, and returns the address.
    fn serve(self: &Arc<Self>, machine: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0");
        let listener = listener.unwrap_or_else(|error| cannot_run(&format!("list: {error}")));
        let address = listener.local_addr().unwrap_or_else(|_| cannot_run("no address"));
        let (list, machine) = (self.clone(), machine.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, machine) = (list.clone(), machine.clone());
                thread::spawn(move || list.answer(stream, &machine));
            }
        });
        address
    }

    fn answer(&self, mut stream: TcpStream, machine: &str) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = if request.path().starts_with("/runners") {
                lock(&self.reads).insert(machine.to_owned(), Instant::now());
                ("200 OK", self.page())
            } else {
                ("404 Not Found", String::new())
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn page(&self) -> String {
        let runners = lock(&self.runners);
        let listed = runners.iter().filter(|runner| runner.listed.load(Ordering::SeqCst));
        let entries: Vec<String> = listed
            .map(|runner| {
                let state = if lock(&runner.draining_since).is_some() { "draining" } else { "ready" };
                format!(
                    r#"{{"service":"{}","addr":"{}","zone":"{ZONE}","version":"v1","slots":6,"state":"{state}","coldLeftMs":0,"id":"{}"}}"#,
                    runner.service, runner.address, runner.id
                )
            })
            .collect();
        format!(r#"{{"instances":[{}],"nextToken":null}}"#, entries.join(","))
    }
}

// ---------------------------------------------------------------------------------------------
// millford's processes.

struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    fn signal(&self, signal: i32) {
        let Ok(pid) = i32::try_from(self.child.id()) else {
            return;
        };
        // SAFETY: the child was not waited for, so its id is not reused.
        unsafe { kill(pid, signal) };
    }

    fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(SIGNAL_CONTINUE);
        self.signal(SIGNAL_KILL);
        let _ = self.child.wait();
    }
}

/// A small deployment: three machines of the core and one of the front, each at a loopback address
/// of its own, with alike ports.
struct Fleet {
    cores: Vec<Process>,
    front_processes: Vec<Process>,
    core_names: Vec<String>,
    control: Vec<SocketAddr>,
    front: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
    list: Arc<List>,
    first_port: u16,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cores.clear();
        self.front_processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The first three are there from the start; the others may come later.
const CORE_HOSTS: [&str; 5] = ["127.0.41.1", "127.0.41.2", "127.0.41.3", "127.0.41.4", "127.0.41.5"];
const FIRST_CORES: usize = 3;
const FRONT_HOST: &str = "127.0.41.10";
/// Offsets of the ports of the roles, behind the sixteen ports for what nodes say to each other.
const CONTROL_PORT: u16 = 16;
const FRONT_PORT: u16 = 17;
const READINESS_PORT: u16 = 18;

fn address(host: &str, port: u16) -> SocketAddr {
    let address = format!("{host}:{port}").parse();
    address.unwrap_or_else(|_| cannot_run("an address cannot be parsed"))
}

/// The command of a role in `deploy/system.toml`.
fn deploy_command(role: &str) -> String {
    let text = fs::read_to_string("deploy/system.toml");
    let text = text.unwrap_or_else(|error| cannot_run(&format!("deploy/system.toml: {error}")));
    let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap_or("");
    let line = section.lines().find_map(|line| line.strip_prefix("run = \""));
    let run = line.and_then(|line| line.split('"').next());
    run.unwrap_or_else(|| cannot_run("a role is missing in the deploy file")).to_owned()
}

/// A first port so that all ports of the deployment are free.
fn free_ports() -> u16 {
    let seed = std::process::id() as u16;
    for attempt in 0..200_u16 {
        let first = 20_000 + (seed.wrapping_mul(37).wrapping_add(attempt.wrapping_mul(211)) % 10_000);
        let hosts = CORE_HOSTS.iter().chain([&FRONT_HOST, &"127.0.0.1"]);
        let free = hosts.flat_map(|host| (0..=READINESS_PORT).map(move |port| (*host, first + port)));
        if free.map(TcpListener::bind).all(|bound| bound.is_ok()) {
            return first;
        }
    }
    cannot_run("no free ports");
}

impl Fleet {
    fn start(list: &Arc<List>) -> Self {
        Self::start_with(list, |_| ())
    }

    /// As `start`. `after_first` is called 140 ms after the start of the first machine, before the
    /// others start.
    fn start_with(list: &Arc<List>, after_first: impl Fn(&mut Self)) -> Self {
        let folder = std::env::temp_dir().join(format!("millford-review-2-{}", std::process::id()));
        let _ = fs::create_dir_all(&folder);
        let first = free_ports();
        let mut fleet = Self {
            cores: Vec::new(),
            front_processes: Vec::new(),
            core_names: Vec::new(),
            control: Vec::new(),
            front: address(FRONT_HOST, first + FRONT_PORT),
            readiness: address(FRONT_HOST, first + READINESS_PORT),
            folder,
            list: list.clone(),
            first_port: first,
        };
        for machine in 0..FIRST_CORES {
            fleet.add_core(true);
            // The machines start within 0.3 s of each other.
            sleep_ms(140);
            if machine == 0 {
                after_first(&mut fleet);
            }
        }
        fleet.start_front(true);
        fleet
    }

    /// Starts the next machine of the core, with an empty disk.
    fn add_core(&mut self, bootstrap: bool) {
        let host = CORE_HOSTS[self.cores.len()];
        let name = format!("core-{}", self.cores.len() + 1);
        let data = self.folder.join(format!("{name}-data"));
        let _ = fs::create_dir_all(&data);
        let control = address(host, self.first_port + CONTROL_PORT);
        let listen = format!("control = \"{control}\"");
        let disk = format!("dataDir = \"{}\"\n", data.display());
        let path = self.write_settings(&name, host, "core", &listen, &disk, bootstrap);
        let log = self.folder.join(format!("{name}.log"));
        self.cores.push(spawn("control", &path, &log));
        self.core_names.push(name);
        self.control.push(control);
    }

    /// Starts the processes of the front machine.
    fn start_front(&mut self, bootstrap: bool) {
        let listen = format!("front = \"{}\"\nreadiness = \"{}\"", self.front, self.readiness);
        let path = self.write_settings("front-1", FRONT_HOST, "front", &listen, "", bootstrap);
        self.front_processes = vec![
            spawn("agent", &path, &self.folder.join("agent.log")),
            spawn("forward", &path, &self.folder.join("forward.log")),
        ];
    }

    fn write_settings(
        &self,
        name: &str,
        host: &str,
        class: &str,
        listen: &str,
        disk: &str,
        bootstrap: bool,
    ) -> PathBuf {
        let first = self.first_port;
        let list = self.list.serve(name);
        let seeds: Vec<String> = CORE_HOSTS
            .iter()
            .take(FIRST_CORES)
            .map(|host| format!("\"{host}:{}\"", first + CONTROL_PORT))
            .collect();
        let text = format!(
            "node = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\nip = \"{host}\"\nzone = \"{ZONE}\"\n\
             region = \"reykjavik\"\nportRange = [{first},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             inFaultSet = {}\ndiscovery = \"cloud\"\nentry = \"vip\"\nheartbeatMs = 1200\n{disk}\
             [zones]\n{ZONE} = \"reykjavik\"\n[listen]\n{listen}\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\ncontactMs = {CONTACT_MS}\ncatchUpS = 4\ndrainMs = {DRAIN_MS}\ngraceS = 8\n\
             configApplyMs = {CONFIG_APPLY_MS}\n\
             [cloudApi]\naddr = \"{list}\"\nratePerS = 44.0\nduties = []\nmaxLagMs = {MAX_LAG_MS}\n",
            first + 15,
            seeds.join(","),
            class == "core",
        );
        let path = self.folder.join(format!("{name}.toml"));
        if let Err(error) = fs::write(&path, text) {
            cannot_run(&format!("settings: {error}"));
        }
        path
    }

    /// Removes a machine of the core for good: SIGTERM, and SIGKILL after `graceS`.
    fn remove_core(&mut self, machine: usize) {
        let process = &mut self.cores[machine];
        process.signal(SIGNAL_TERMINATE);
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            if matches!(process.child.try_wait(), Ok(Some(_))) {
                return;
            }
            sleep_ms(20);
        }
        process.signal(SIGNAL_KILL);
    }

    /// Asks one machine for the configuration. Returns the body if it answers 200.
    fn read_configuration(&self, machine: usize) -> Option<String> {
        let address = self.control[machine];
        let text = request_text("GET", "/millford/Config.Get", &[("Host", address.to_string())], "");
        let answer = call(address, &text, Duration::from_secs(1))?;
        (answer.status() == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    fn put(&self, record: &Record, base: u64, version: u64, body: &str) {
        if !self.try_put(record, base, version, body, 20) {
            cannot_run("a configuration was not acknowledged");
        }
    }

    /// As `put`, for this many seconds. Returns whether the configuration was acknowledged.
    fn try_put(&self, record: &Record, base: u64, version: u64, body: &str, seconds: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        let mut turn = self.control.len();
        while Instant::now() < until {
            // The newest machines come first.
            turn = turn.checked_sub(1).unwrap_or(self.control.len() - 1);
            let address = self.control[turn];
            let headers = [
                ("Host", address.to_string()),
                ("Base-Version", base.to_string()),
                ("Content-Type", "application/json".to_owned()),
            ];
            let text = request_text("POST", "/millford/Config.Put", &headers, body);
            match call(address, &text, Duration::from_secs(1)).map(|answer| answer.status()) {
                Some(200) => {
                    record.say(&format!("configuration {version} on {base} is acknowledged: {body}"));
                    return true;
                }
                Some(status @ 400..=499) => {
                    cannot_run(&format!("the operator got {status} for configuration {version}"));
                }
                _ => sleep_ms(100),
            }
        }
        false
    }

    fn wait_ready(&self) {
        if !self.is_ready_within(20) {
            cannot_run("the front machine did not become ready");
        }
    }

    fn is_ready_within(&self, seconds: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        let headers = [("Host", self.readiness.to_string())];
        let text = request_text("GET", "/millford/ready", &headers, "");
        while Instant::now() < until {
            let answer = call(self.readiness, &text, Duration::from_millis(500));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    /// The machine that leads each shard, as the processes' own logs tell. It only serves to time
    /// the disruption; it judges nothing.
    fn leaders(&self) -> BTreeMap<u32, usize> {
        let mut newest: BTreeMap<u32, (u64, usize)> = BTreeMap::new();
        for (machine, process) in self.cores.iter().enumerate() {
            for line in process.log_text().lines() {
                let Some((_, rest)) = line.split_once(" leads shard ") else {
                    continue;
                };
                let Some((shard, term)) = rest.trim_end_matches('.').split_once(" in term ") else {
                    continue;
                };
                let (Ok(shard), Ok(term)) = (shard.parse(), term.parse()) else {
                    continue;
                };
                let known = newest.entry(shard).or_insert((term, machine));
                if term >= known.0 {
                    *known = (term, machine);
                }
            }
        }
        newest.into_iter().map(|(shard, (_, machine))| (shard, machine)).collect()
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> Process {
    let run = deploy_command(role);
    let mut words = run.split(' ');
    let output = File::create(log).unwrap_or_else(|_| cannot_run("no log file"));
    let errors = output.try_clone().unwrap_or_else(|_| cannot_run("no log file"));
    let mut command = Command::new(words.next().unwrap_or(""));
    command.args(words).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    command.env("MILLFORD_SETTINGS", settings);
    command.stdin(Stdio::null()).stdout(output).stderr(errors);
    // SAFETY: the closure makes one system call, which is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(SET_PARENT_DEATH_SIGNAL, SIGNAL_KILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    let child = command.spawn();
    let child = child.unwrap_or_else(|error| cannot_run(&format!("{run}: {error}")));
    Process {
        child,
        log: log.to_owned(),
    }
}

// ---------------------------------------------------------------------------------------------
// Clients and configurations.

/// A client's request. Returns the status; 0 if the connection ended without an answer.
fn ask(fleet: &Fleet, record: &Record, path: &str, id: &str, key: Option<&str>) -> u32 {
    let mut headers = vec![
        ("Host", "shop.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Time-Budget-Ms", BUDGET_MS.to_string()),
        ("Connection", "close".to_owned()),
    ];
    if let Some(key) = key {
        headers.push(("Authorization", format!("Token {key}")));
    }
    let text = request_text("POST", path, &headers, "some text");
    let answer = call(fleet.front, &text, Duration::from_millis(BUDGET_MS + 500));
    let status = answer.as_ref().map_or(0, Message::status);
    let stamp = answer.as_ref().and_then(|answer| answer.header("response-stamp"));
    record.line(&format!(
        "client sent {id} to {path} key={} answer={status} stamp={}",
        key.unwrap_or("-"),
        stamp.unwrap_or("-"),
    ));
    status
}

/// A configuration with one route `/SERVICE/` to each service, and the tenants given as JSON.
fn configuration(version: u64, services: &[String], tenants: &str) -> String {
    let routes: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                r#"{{"name":"r-{service}","host":"shop.example","pathPrefix":"/{service}/","routeType":"unsafe","timeoutMs":{BUDGET_MS},"targetMs":150,"priority":0,"service":"{service}","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}"#
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            format!(r#"{{"name":"{service}","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}"#)
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":{tenants}}}"#,
        routes.join(","),
        services.join(",")
    )
}

fn tenant(keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"[{{"name":"kaje80","apiKeys":[{}],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":170347,"burst":170347}}]"#,
        keys.join(",")
    )
}

const KEY_1: &str = "hwrr6x73d3zji9n73hh2";
const KEY_2: &str = "b9wu3fexd9dnn2ctnfzs";

fn finish(record: &Record, broken: usize, what: &str) -> i32 {
    record.say(&format!("{what}: {broken}"));
    if broken > 0 {
        record.say("the rule was BROKEN");
        1
    } else {
        record.say("the rule held");
        0
    }
}

include!("stand-in-2-cases.rs");

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = arguments.as_slice() else {
        cannot_run("usage: stand-in-2 CASE FOLDER TROUBLE");
    };
    let record = Record::create(Path::new(folder));
    let trouble = trouble != "0";
    let status = match case.as_str() {
        "first-start" => first_start(&record, trouble),
        "planned" => planned(&record, trouble),
        "stale-list" => stale_list(&record, trouble),
        _ => cannot_run("unknown case"),
    };
    std::process::exit(status);
}
