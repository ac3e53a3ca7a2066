// The cases. Included by `stand-in-2.rs`.

/// Two machines of the core are replaced as planned: the new ones first, then the old ones leave.
fn planned(record: &Arc<Record>, trouble: bool) -> i32 {
    /// Time that a new machine has before the next step; over `catchUpS` (4 s).
    const CATCH_UP_MS: u64 = 6000;
    let gap_ms: u64 = std::env::var("GAP_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(1000);
    let observed = Arc::new(Observed::default());
    let list = Arc::new(List::default());
    let services = vec!["skra".to_owned()];
    for index in 1..=2 {
        let runner = Runner::start("skra", &format!("i-skra-{index}"), &observed, record);
        lock(&list.runners).push(runner);
    }
    let mut fleet = Fleet::start(&list);
    fleet.put(record, 0, 3, &configuration(3, &services, &tenant(&[KEY_1])));
    fleet.wait_ready();
    sleep_ms(CONTACT_MS);
    // The new machines start one after the other, so that at most one at a time counts as lost.
    for _ in 0..2 {
        fleet.add_core(false);
        record.say(&format!("{} starts", fleet.core_names[fleet.cores.len() - 1]));
        sleep_ms(CATCH_UP_MS);
    }
    let newest = configuration(5, &services, &tenant(&[KEY_1, KEY_2]));
    fleet.put(record, 3, 5, &newest);
    sleep_ms(500);
    if trouble {
        for machine in 0..2 {
            record.say(&format!("{} gets SIGTERM and is removed", fleet.core_names[machine]));
            let removed_at = Instant::now();
            fleet.remove_core(machine);
            record.say("it has ended");
            thread::sleep(Duration::from_millis(gap_ms).saturating_sub(removed_at.elapsed()));
        }
    }
    // recoveryS is 12 s; the operator asks for far longer.
    let until = Instant::now() + Duration::from_secs(30);
    let mut came = None;
    while came.is_none() && Instant::now() < until {
        for machine in 2..fleet.cores.len() {
            let body = fleet.read_configuration(machine);
            record.line(&format!("read at {}: {}", fleet.core_names[machine], body.as_deref().unwrap_or("no answer or no 200")));
            came = came.or(body);
        }
        sleep_ms(300);
    }
    let is_newest = came.as_deref() == Some(newest.as_str());
    record.say(&format!("the acknowledged configuration came back: {is_newest}"));
    let next = configuration(8, &services, &tenant(&[KEY_2]));
    let acknowledged = fleet.try_put(record, 5, 8, &next, 15);
    record.say(&format!("the next configuration was acknowledged: {acknowledged}"));
    // The processes of the front machine are killed and start again (node_kill).
    fleet.front_processes.clear();
    fleet.start_front(false);
    let ready = fleet.is_ready_within(12);
    record.say(&format!("a restarted front machine became ready within recoveryS (12 s): {ready}"));
    finish(record, usize::from(!is_newest), "acknowledged configurations that are gone")
}

/// A machine of the core that once read the list of runners leads again later, with the old list.
///
/// The leaderships of shards move back by themselves, fifteen to twenty seconds after the last
/// change; the disruption is long over by then. Which machine gets them depends on the elections, so
/// machines freeze one after the other until one that has read the list is about to get one.
fn stale_list(record: &Arc<Record>, trouble: bool) -> i32 {
    const SERVICES: [&str; 12] = [
        "skra", "korta", "mynd", "safn", "blad", "saga", "bref", "kvaedi", "leikur", "ljod", "rit", "tal",
    ];
    const CLIENTS_PER_SERVICE: usize = 12;
    const WORK_MS: u64 = 1000;
    const FREEZE_MS: u64 = 2000;
    const MOST_FREEZES: usize = 16;
    let observed = Arc::new(Observed::default());
    let list = Arc::new(List::default());
    let services: Vec<String> = SERVICES.iter().map(|name| (*name).to_owned()).collect();
    let start = |service: &str, index: u32| {
        let runner = Runner::start(service, &format!("i-{service}-{index}"), &observed, record);
        runner.work_ms.store(WORK_MS, Ordering::SeqCst);
        lock(&list.runners).push(runner.clone());
        runner
    };
    let leaving: Vec<Arc<Runner>> = services.iter().map(|service| start(service, 1)).collect();
    for service in &services {
        start(service, 2);
    }
    let fleet = Arc::new(Fleet::start(&list));
    fleet.put(record, 0, 3, &configuration(3, &services, &tenant(&[KEY_1])));
    fleet.wait_ready();
    sleep_ms(2000);
    let running = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..SERVICES.len() * CLIENTS_PER_SERVICE)
        .map(|client: usize| {
            let (fleet, record, running) = (fleet.clone(), record.clone(), running.clone());
            let path = format!("/{}/1", services[client % SERVICES.len()]);
            thread::spawn(move || {
                // Spreads the clients over the time that a request takes.
                sleep_ms(WORK_MS * client as u64 / (SERVICES.len() * CLIENTS_PER_SERVICE) as u64);
                let mut number = 0;
                while running.load(Ordering::SeqCst) {
                    number += 1;
                    ask(&fleet, &record, &path, &format!("c{client}-{number:04}"), Some(KEY_1));
                    sleep_ms(20);
                }
            })
        })
        .collect();
    let mut freezes = 0;
    if trouble {
        loop {
            let leaders = fleet.leaders();
            record.say(&format!("leaders of the shards: {leaders:?}"));
            if old_reader_is_next(&leaders, &list, &fleet) {
                break;
            }
            if freezes == MOST_FREEZES {
                record.say("no machine that has read the list is about to lead again");
                return 2;
            }
            freezes += 1;
            let machine = machine_to_freeze(&leaders);
            record.say(&format!("{} freezes for {FREEZE_MS} ms", fleet.core_names[machine]));
            fleet.cores[machine].signal(SIGNAL_STOP);
            sleep_ms(FREEZE_MS);
            fleet.cores[machine].signal(SIGNAL_CONTINUE);
            record.say("it wakes again");
            sleep_ms(1500);
        }
    }
    // Half of the runners of each service are replaced. A new one starts first, the old one drains
    // and serves on for many seconds.
    sleep_ms(5_000);
    for service in &services {
        start(service, 3);
    }
    record.say("new runners stand in the list");
    sleep_ms(1000);
    for runner in &leaving {
        *lock(&runner.draining_since) = Some(Instant::now());
    }
    let drained_at = Instant::now();
    record.say("the list shows the old runners as draining");
    // One after the other ends, 5.5 to 13.2 s after the list showed it as draining.
    for (index, runner) in (0_u64..).zip(&leaving) {
        let ends_at = drained_at + Duration::from_millis(5500 + 700 * index);
        thread::sleep(ends_at.saturating_duration_since(Instant::now()));
        runner.end();
        record.line(&format!("{} ends", runner.id));
    }
    sleep_ms(300);
    running.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.say(&format!("leaders of the shards: {:?}; {freezes} freezes", fleet.leaders()));
    for (name, core) in fleet.core_names.iter().zip(&fleet.cores) {
        for line in core.log_text().lines().filter(|line| line.contains(" leads shard ")) {
            record.line(&format!("log of {name}: {line}"));
        }
    }
    let runs = lock(&observed.runs).clone();
    let draining = |run: &&Run| run.draining_since.is_some();
    let age = |run: &Run| run.draining_since.map_or(0, |since| run.at.duration_since(since).as_millis());
    let early = runs.iter().filter(draining).filter(|run| age(run) <= u128::from(DRAIN_MS));
    record.say(&format!(
        "{} requests in all; {} reached draining runners within drainMs, the last one {} ms after the list showed it",
        runs.len(),
        early.clone().count(),
        early.map(age).max().unwrap_or(0),
    ));
    let late: Vec<&Run> = runs
        .iter()
        .filter(draining)
        .filter(|run| run.at > drained_at && age(run) > u128::from(DRAIN_MS))
        .collect();
    for run in late.iter().take(6) {
        record.say(&format!("{} ran {} {} ms after the list showed it as draining", run.runner, run.request_id, age(run)));
    }
    let lost = observed.lost.load(Ordering::SeqCst);
    record.say(&format!("accepted requests that were lost because their runner ended: {lost}"));
    finish(record, late.len(), "requests that reached a draining runner later than drainMs")
}

/// The machine whose freeze most likely brings the leaderships into the wanted order.
fn machine_to_freeze(leaders: &BTreeMap<u32, usize>) -> usize {
    let leader = |shard: u32| leaders.get(&shard).copied().unwrap_or(0);
    let leads_runners = leader(0) == leader(1) || leader(0) == leader(2);
    if leader(1) != leader(2) && leads_runners { leader(0) } else { leader(1) }
}

/// Whether one machine leads both shards of runners, another one the shard of the configuration, and
/// the third has read the list before. The third then gets a shard of runners.
fn old_reader_is_next(leaders: &BTreeMap<u32, usize>, list: &List, fleet: &Fleet) -> bool {
    let (Some(&zero), Some(&one), Some(&two)) = (leaders.get(&0), leaders.get(&1), leaders.get(&2)) else {
        return false;
    };
    if one != two || zero == one {
        return false;
    }
    let third = 3 - zero - one;
    lock(&list.reads).contains_key(&fleet.core_names[third])
}

/// One machine of the core is lost for good right after the first start of the whole system.
fn first_start(record: &Arc<Record>, trouble: bool) -> i32 {
    let observed = Arc::new(Observed::default());
    let list = Arc::new(List::default());
    let services = vec!["skra".to_owned()];
    for index in 1..=2 {
        let runner = Runner::start("skra", &format!("i-skra-{index}"), &observed, record);
        lock(&list.runners).push(runner);
    }
    let fleet = Fleet::start_with(&list, |fleet| {
        if trouble {
            record.say("core-1 is killed and does not come back");
            fleet.cores[0].signal(SIGNAL_KILL);
        }
    });
    // For 60 s, the operator sends the first configuration, and clients ask once a second.
    let until = Instant::now() + Duration::from_secs(60);
    let first = configuration(3, &services, &tenant(&[KEY_1]));
    let mut acknowledged = false;
    let (mut asked, mut served) = (0, 0);
    while Instant::now() < until && served < 5 {
        acknowledged = acknowledged || fleet.try_put(record, 0, 3, &first, 1);
        asked += 1;
        served += u32::from(ask(&fleet, record, "/skra/1", &format!("q{asked:04}"), Some(KEY_1)) == 200);
        sleep_ms(500);
    }
    let at = record.start.elapsed().as_secs();
    record.say(&format!("{at} s after the start: acknowledged: {acknowledged}; {served} of {asked} requests served"));
    for (name, core) in fleet.core_names.iter().zip(&fleet.cores) {
        for line in core.log_text().lines() {
            record.line(&format!("log of {name}: {line}"));
        }
    }
    finish(record, usize::from(!acknowledged || served == 0), "systems that never served")
}
