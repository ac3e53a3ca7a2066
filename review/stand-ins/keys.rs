//! The operator takes the keys of all tenants away, one after the other. Clients go on with those keys, and others try
//! keys that no configuration ever held.

mod fleet;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fleet::{BROKEN, Fleet, HELD, Listed, NOT_RUN, Record, RunnerList};

const TENANTS: usize = 5;
const RUNNERS: usize = 4;
/// `configApplyMs`: from then on after an acknowledgement, the version binds.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const BETWEEN_REVOCATIONS: Duration = Duration::from_millis(1500);
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(12);

/// What runners ran, by request id: the runner and the tenant that it was shown.
type Runs = Arc<Mutex<BTreeMap<String, (String, String)>>>;

/// A request as a client sent it.
struct Sent {
    key: String,
    at: Instant,
    status: u16,
}

type Requests = Arc<Mutex<BTreeMap<String, Sent>>>;

/// The keys of the tenants, with the time of the acknowledgement that took each away.
struct Key {
    tenant: String,
    key: String,
    taken_at: Option<Instant>,
}

fn main() {
    let record = Record::of_arguments();
    std::process::exit(run(&record));
}

fn run(record: &Record) -> i32 {
    let trouble = fleet::has_trouble();
    record.say(&format!("trouble: {trouble}"));
    let runs = Runs::default();
    let list = RunnerList::default();
    for _ in 0..RUNNERS {
        if start_runner(record, &list, &runs).is_err() {
            return NOT_RUN;
        }
    }
    let mut keys: Vec<Key> = (0..TENANTS)
        .map(|number| Key {
            tenant: format!("tenant{number}"),
            key: format!("key{number}{}", fleet::random_id()),
            taken_at: None,
        })
        .collect();
    let Ok(mut deployment) = Fleet::start(record, &list) else {
        return NOT_RUN;
    };
    let mut version = 3;
    let configured = deployment.put_config(0, &configuration(version, &keys), Duration::from_secs(20));
    let warm = || request(&fleet::random_id(), &keys[0].key);
    if !configured || !deployment.wait_for(warm, 200, Duration::from_secs(20)) {
        record.say("the deployment did not come up");
        return NOT_RUN;
    }
    let requests = Requests::default();
    let never_held = format!("never{}", fleet::random_id());
    let mut sent_keys: Vec<String> = keys.iter().map(|key| key.key.clone()).collect();
    sent_keys.push(never_held.clone());
    let end = Instant::now() + BEFORE + BETWEEN_REVOCATIONS * TENANTS as u32 + CONFIG_APPLY + AFTER;
    let clients: Vec<_> = sent_keys
        .into_iter()
        .map(|key| {
            let (record, requests, front) = (record.clone(), Arc::clone(&requests), deployment.front.clone());
            std::thread::spawn(move || client(&record, &front, &key, &requests, end))
        })
        .collect();
    std::thread::sleep(BEFORE);
    for number in 0..TENANTS {
        std::thread::sleep(BETWEEN_REVOCATIONS);
        if !trouble {
            continue;
        }
        let base = version;
        version += 2;
        record.line(&format!(
            "operator: version {version} takes the key of {} away",
            keys[number].tenant
        ));
        keys[number].taken_at = Some(Instant::now());
        if !deployment.put_config(base, &configuration(version, &keys), Duration::from_secs(5)) {
            record.say("a configuration was not acknowledged");
            return NOT_RUN;
        }
        keys[number].taken_at = Some(Instant::now());
    }
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_secs(1));
    let ended = deployment.ended();
    deployment.stop();
    judge(
        record,
        &runs.lock().unwrap(),
        &requests.lock().unwrap(),
        &keys,
        &never_held,
        &ended,
    )
}

fn judge(
    record: &Record,
    runs: &BTreeMap<String, (String, String)>,
    requests: &BTreeMap<String, Sent>,
    keys: &[Key],
    never_held: &str,
    ended: &[String],
) -> i32 {
    let (mut unknown_key, mut dropped_key, mut foreign, mut served) = (0, 0, 0, 0);
    for (id, sent) in requests {
        let Some((runner, tenant)) = runs.get(id) else {
            continue;
        };
        if sent.key == never_held {
            unknown_key += 1;
            record.line(&format!(
                "ROUTE: {runner} ran request {id} with a key that no configuration held; it got {}",
                sent.status
            ));
            continue;
        }
        let Some(key) = keys.iter().find(|key| key.key == sent.key) else {
            continue;
        };
        served += 1;
        let is_dropped = key.taken_at.is_some_and(|taken| sent.at > taken + CONFIG_APPLY);
        if is_dropped {
            dropped_key += 1;
            record.line(&format!(
                "CONFIG: {runner} ran request {id} with the key taken from {}; it got {}",
                key.tenant, sent.status
            ));
        }
        if *tenant != key.tenant {
            foreign += 1;
            record.line(&format!(
                "UNASKED: {runner} ran request {id} of {} as tenant \"{tenant}\"",
                key.tenant
            ));
        }
    }
    let of_unknown = requests.values().filter(|sent| sent.key == never_held).count();
    let refused = requests.values().filter(|sent| sent.status == 401).count();
    record.say(&format!(
        "requests {}, run with a tenant's key {served}, answered 401 {refused}",
        requests.len()
    ));
    record.say(&format!(
        "ROUTE, run with a key that was never held: {unknown_key} of {of_unknown}"
    ));
    record.say(&format!(
        "CONFIG, run with a key over 2000 ms after it was taken away: {dropped_key}"
    ));
    record.say(&format!("UNASKED, run without the tenant of the key: {foreign}"));
    if !ended.is_empty() {
        record.say(&format!("processes that ended by themselves: {ended:?}"));
    }
    if served < 100 || of_unknown < 50 {
        return NOT_RUN;
    }
    if unknown_key + dropped_key + foreign > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// Sends requests with one key, each on a new connection and once.
fn client(record: &Record, front: &str, key: &str, requests: &Requests, end: Instant) {
    while Instant::now() < end {
        let id = fleet::random_id();
        let at = Instant::now();
        let answer = fleet::call(front, &request(&id, key), Duration::from_secs(3));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("client: request {id} with key {key} got {status}"));
        let key = key.to_owned();
        requests.lock().unwrap().insert(id, Sent { key, at, status });
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn request(id: &str, key: &str) -> String {
    format!(
        "POST /volo102/2f HTTP/1.1\r\nHost: wuny96.example\r\nRequest-Id: {id}\r\nTime-Budget-Ms: 1500\r\n\
         Authorization: Token {key}\r\nContent-Length: 5\r\n\r\nentry"
    )
}

/// The configuration with those keys that were not taken away.
fn configuration(version: u64, keys: &[Key]) -> String {
    let tenants: Vec<String> = keys
        .iter()
        .map(|key| {
            let api_keys = match key.taken_at {
                None => format!("\"{}\"", key.key),
                Some(_) => String::new(),
            };
            format!(
                r#"{{"name":"{}","apiKeys":[{api_keys}],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":170347,"burst":170347}}"#,
                key.tenant
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-volo102","host":"wuny96.example","pathPrefix":"/volo102/","routeType":"unsafe","timeoutMs":1500,"targetMs":150,"priority":2,"service":"xano55b","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"xano55b","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        tenants.join(",")
    )
}

fn start_runner(record: &Record, list: &RunnerList, runs: &Runs) -> std::io::Result<()> {
    let (listener, address) = fleet::bind_runner()?;
    let id = format!("i-{}", &fleet::random_id()[..10]);
    record.line(&format!("runner {id} at {address}"));
    list.add(Listed {
        id: id.clone(),
        service: "xano55b".to_owned(),
        addr: address,
        slots: 6,
        state: "ready",
    });
    let (record, runs) = (record.clone(), Arc::clone(runs));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs, id) = (record.clone(), Arc::clone(&runs), id.clone());
            std::thread::spawn(move || serve(&record, &runs, &id, stream));
        }
    });
    Ok(())
}

fn serve(record: &Record, runs: &Runs, runner: &str, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = fleet::read_message(&mut reader)? {
        let id = request.header("request-id").to_owned();
        if request.header("expect-instance") != runner {
            write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let tenant = request.header("tenant").to_owned();
        record.line(&format!(
            "runner {runner}: runs request {id} of tenant \"{tenant}\""
        ));
        runs.lock()
            .unwrap()
            .insert(id.clone(), (runner.to_owned(), tenant));
        std::thread::sleep(Duration::from_millis(30));
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: 3e1b.{runner}.{id}\r\nContent-Length: 5\r\n\r\nwhole"
        )?;
    }
    Ok(())
}
