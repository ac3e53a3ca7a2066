//! Nodes of some zones, in each of which the tenant has two owners.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};
use millford_forward::quota::{DegradedReason, FleetSize, LevelEstimate, PeerCount, TenantQuotas};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::admissions::Admissions;
use super::fleet_quota::{Pressure, REQUEST, STEP_MS, quota, tenant};

/// Usual shortest time between two tellings of an owner, in steps.
pub const PAUSE_STEPS: usize = 4;
/// As `QuotaClient`: owners that are asked about one request.
const MOST_ASKED: usize = 3;
/// As `Questions`: unanswered questions in a row after which an owner is passed over, and for how long.
const UNANSWERED_TO_SUSPECT: u32 = 2;
/// See [`UNANSWERED_TO_SUSPECT`].
const SUSPECT_STEPS: usize = 200;
/// Owners tell each other everything, in steps.
const WHOLE_STEPS: usize = 200;

/// An owner: its place in the fleet is its zone and whether it is the stand-in.
#[derive(Debug)]
pub struct Owner {
    quotas: TenantQuotas,
    boot: u64,
    told: u64,
    /// Whether it answers.
    pub is_up: bool,
}

impl Owner {
    fn new() -> Self {
        Self {
            quotas: TenantQuotas::default(),
            boot: 1,
            told: 0,
            is_up: true,
        }
    }
}

/// An owner: its zone, and 0 or 1 for the stand-in.
type Place = (usize, usize);

/// What a node knows.
#[derive(Clone, Debug)]
struct Node {
    known: LevelEstimate,
    uncharged: i64,
    /// Unanswered questions in a row, and until which step the owner is passed over.
    silences: BTreeMap<Place, (u32, usize)>,
}

impl Node {
    fn suspects(&self, step: usize, place: Place) -> bool {
        let silence = self.silences.get(&place);
        silence.is_some_and(|(_, until)| step < *until)
    }

    fn unanswered(&mut self, step: usize, place: Place) {
        let (unanswered, until) = self.silences.entry(place).or_default();
        *unanswered += 1;
        if *unanswered >= UNANSWERED_TO_SUSPECT {
            *until = step + SUSPECT_STEPS;
        }
    }
}

/// Nodes of some zones that ask the owners of their zone; owners that tell each other.
#[derive(Debug)]
pub struct OwnerFleet {
    /// Two in each zone.
    pub owners: Vec<[Owner; 2]>,
    /// Nodes of each zone.
    nodes: Vec<Vec<Node>>,
    fleet: FleetSize,
    now: MonotonicTime,
    step: usize,
    random: ChaCha8Rng,
    /// Shortest time between two tellings of an owner, in steps.
    pub pause_steps: usize,
    /// Datagrams that are lost.
    pub loss_percent: u32,
    /// A zone that no other one reaches.
    pub cut_off: Option<usize>,
    /// What was admitted.
    pub admissions: Admissions,
    /// Tokens that were admitted in each zone.
    pub by_zone: BTreeMap<usize, u64>,
}

impl OwnerFleet {
    /// A fleet whose bucket is full.
    #[must_use]
    pub fn new(zones: usize, nodes_in_zone: usize, seed: u64) -> Self {
        let now = MonotonicTime::from_millis(1000);
        let fleet = FleetSize {
            nodes: zones * nodes_in_zone,
            in_zone: nodes_in_zone,
        };
        let node = Node {
            known: LevelEstimate::unknown(&quota(), fleet, now),
            uncharged: 0,
            silences: BTreeMap::new(),
        };
        Self {
            owners: (0..zones).map(|_| [Owner::new(), Owner::new()]).collect(),
            nodes: vec![vec![node; nodes_in_zone]; zones],
            fleet,
            now,
            step: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            pause_steps: PAUSE_STEPS,
            loss_percent: 0,
            cut_off: None,
            admissions: Admissions::default(),
            by_zone: BTreeMap::new(),
        }
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_range(0..100) < self.loss_percent
    }

    fn ask(&mut self, zone: usize, node: usize) {
        let is_admitted = self.decide(zone, node).is_ok();
        self.admissions.note(self.now, is_admitted);
        if is_admitted {
            *self.by_zone.entry(zone).or_default() += REQUEST;
        }
    }

    /// As `QuotaClient` decides on a request.
    fn decide(&mut self, zone: usize, node: usize) -> Result<(), Duration> {
        let mut asked_before = Vec::with_capacity(MOST_ASKED);
        for _ in 0..MOST_ASKED {
            let Some(place) = self.owner_to_ask(zone, node, &asked_before) else {
                break;
            };
            if let Some(wait) = self.nodes[zone][node].known.certain_wait(self.now) {
                return Err(wait);
            }
            if let Some(decision) = self.question(zone, node, place) {
                return decision;
            }
            asked_before.push(place);
        }
        let why = match self.owner_to_ask(zone, node, &[]) {
            Some(_) => DegradedReason::AnswerLost,
            None => DegradedReason::OwnersUnreachable,
        };
        let node = &mut self.nodes[zone][node];
        node.known.admit_degraded(self.now, why, REQUEST)?;
        node.uncharged += i64::try_from(REQUEST).expect("small");
        Ok(())
    }

    /// The first owner that the node believes to answer, of its own zone before the others.
    fn owner_to_ask(&self, zone: usize, node: usize, asked_before: &[Place]) -> Option<Place> {
        let own = [(zone, 0), (zone, 1)];
        let others = (0..self.owners.len()).filter(|other| *other != zone);
        let mut places = own.into_iter().chain(others.map(|other| (other, 0)));
        let node = &self.nodes[zone][node];
        places.find(|place| {
            !asked_before.contains(place)
                && !node.suspects(self.step, *place)
                && (place.0 == zone || self.cut_off.is_none_or(|cut| cut != zone && cut != place.0))
        })
    }

    /// Asks an owner. Nothing: no answer came in time.
    fn question(&mut self, zone: usize, node: usize, place: Place) -> Option<Result<(), Duration>> {
        let (question_lost, answer_lost) = (self.is_lost(), self.is_lost());
        self.admissions.datagrams += 2;
        let owner = &self.owners[place.0][place.1];
        let node = &mut self.nodes[zone][node];
        let grant = (owner.is_up && !question_lost).then(|| {
            let grant = owner
                .quotas
                .grant(self.now, &tenant(), REQUEST, node.uncharged);
            grant.expect("the tenant has a quota")
        });
        let Some(grant) = grant.filter(|_| !answer_lost) else {
            node.unanswered(self.step, place);
            return None;
        };
        node.silences.remove(&place);
        node.uncharged = 0;
        node.known.apply(self.now, &quota(), self.fleet, &grant);
        Some(grant.decision)
    }

    /// Owners tell each other what they granted; then a step passes.
    fn pass(&mut self) {
        let whole = self.step.is_multiple_of(WHOLE_STEPS);
        if whole || self.step.is_multiple_of(self.pause_steps) {
            // Owners' rounds are not in step: who tells later knows more.
            let first = self.random.random_range(0..self.owners.len());
            for turn in 0..self.owners.len() {
                let zone = (first + turn) % self.owners.len();
                for place in 0..2 {
                    self.tell(zone, place, whole);
                }
            }
        }
        for (zone, owners) in self.owners.iter().enumerate() {
            for owner in owners.iter().filter(|owner| owner.is_up) {
                owner.quotas.tick(self.now, &zone.to_string());
            }
        }
        self.step += 1;
        self.now = self.now + Duration::from_millis(STEP_MS);
    }

    fn tell(&mut self, zone: usize, place: usize, whole: bool) {
        let owner = &mut self.owners[zone][place];
        let levels = owner.quotas.levels(self.now);
        let Some(level) = levels.first().filter(|_| owner.is_up) else {
            return;
        };
        if !whole && level.used_tokens == owner.told {
            return;
        }
        owner.told = level.used_tokens;
        let boot_id = owner.boot;
        for other in 0..self.owners.len() {
            for other_place in 0..2 {
                let is_itself = (other, other_place) == (zone, place);
                let is_cut =
                    other != zone && self.cut_off.is_some_and(|cut| cut == zone || cut == other);
                self.admissions.datagrams += u64::from(!is_itself);
                if is_itself || is_cut || self.is_lost() || !self.owners[other][other_place].is_up {
                    continue;
                }
                let count = PeerCount {
                    member: &format!("owner-{zone}-{place}"),
                    boot_id,
                    tenant: &level.tenant,
                    used_tokens: level.used_tokens,
                    level_tokens: level.level_tokens,
                    counted_for: Some(level.counted_for),
                    owner_zone: Some(&zone.to_string()),
                };
                let quotas = &self.owners[other][other_place].quotas;
                quotas.apply_peer_count(self.now, &quota(), count);
            }
        }
    }

    /// Another process, or another node, takes the owner's place.
    pub fn replace(&mut self, zone: usize, place: usize) {
        let owner = &mut self.owners[zone][place];
        let boot = owner.boot + 1;
        *owner = Owner {
            boot,
            ..Owner::new()
        };
    }

    /// Requests at random nodes of all zones, at so many times the quota's rate.
    pub fn press(&mut self, seconds: u64, times: f64) {
        let mut pressure = Pressure::of(times);
        for _ in 0..seconds * 1000 / STEP_MS {
            for _ in 0..pressure.due_now() {
                let zone = self.random.random_range(0..self.nodes.len());
                let node = self.random.random_range(0..self.nodes[zone].len());
                self.ask(zone, node);
            }
            self.pass();
        }
    }
}
