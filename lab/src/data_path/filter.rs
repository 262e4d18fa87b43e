//! What the filter of seen objects tells at the peak, by the size of its generations: one cache of a site, the slice of
//! all objects that hashing gives it, and the requests for them by the site's routers, each with a filter of its own.
//! A trace is drawn from a Zipf law and played to all sizes at once.
//!
//! The slice is every object of a fixed share of ranks, and a filter sees that share of its router's requests, so its
//! generations are scaled by the same share (spatial sampling).

use std::thread;

use bitternhold::{AgeingFilter, Micros};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;

use super::REQUESTS_PER_S;
use super::cache::{Rank, RankedLru};

/// Objects that there are.
const OBJECTS: f64 = 1.6e9;
/// Routers of a mean site (5,600 at 290), and its caches in hundredths (1,300 at 290).
const ROUTERS: usize = 19;
const CACHES_IN_HUNDREDTHS: u64 = 448;
const HUNDRED: u64 = 100;
/// Quiet time that swaps the generations: never reached here.
const QUIET: Micros = 10_000_000;
const MICROS_PER_S: u64 = 1_000_000;
/// The last quarter of a trace is counted, what comes before fills filters and caches.
const WARM_UP_QUARTERS: u64 = 3;

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Ids of a generation, of the whole filter of a router.
    pub generations: Vec<u64>,
    /// Exponents of the Zipf law.
    pub exponents: Vec<f64>,
    /// Copies that one cache holds.
    pub rooms: Vec<u64>,
    /// Simulated seconds.
    pub seconds: u64,
    /// For all that is drawn.
    pub seed: u64,
}

/// How a copy is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// All alike: plain least recently used.
    All,
    /// By the module's rule: seen, the middle rank; else the lowest with the chance that another router has seen it,
    /// else not at all.
    OnTrial,
    /// Only what was seen, as in the paper.
    SeenOnly,
}

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Self::All => "keep_all",
            Self::OnTrial => "on_trial",
            Self::SeenOnly => "seen_only",
        }
    }

    /// The rank of a copy of an object that was seen or not, on trial or not.
    fn rank(self, seen: bool, trial: bool) -> Option<Rank> {
        match self {
            Self::All => Some(Rank::Middle),
            _ if seen => Some(Rank::Middle),
            Self::OnTrial => trial.then_some(Rank::Low),
            Self::SeenOnly => None,
        }
    }
}

/// A cache behind a policy, and the requests that it answered.
struct Store {
    policy: Policy,
    room: u64,
    cache: RankedLru,
    hits: u64,
}

/// Routers' filters of one size, and the caches that go by them.
struct Column {
    /// Ids of a generation; none: no end.
    generation: Option<u64>,
    filters: Vec<AgeingFilter>,
    seen: u64,
    stores: Vec<Store>,
}

impl Column {
    fn new(generation: Option<u64>, filters: Vec<AgeingFilter>, policies: &[Policy], rooms: &[u64]) -> Self {
        let store =
            |policy: Policy, room: u64| Store { policy, room, cache: RankedLru::new(room as usize), hits: 0 };
        let stores =
            policies.iter().flat_map(|policy| rooms.iter().map(move |room| store(*policy, *room))).collect();
        Self { generation, filters, seen: 0, stores }
    }

    fn request(&mut self, now: Micros, router: usize, id: u64, trial: bool, counted: bool) {
        let seen = self.filters.get_mut(router).is_some_and(|filter| filter.seen(now, id));
        self.seen += u64::from(seen && counted);
        for store in &mut self.stores {
            let rank = store.policy.rank(seen, trial);
            if store.cache.hit(id, rank) {
                store.hits += u64::from(counted);
            } else if let Some(rank) = rank {
                store.cache.keep(id, rank);
            }
        }
    }
}

/// Whether an object of this rank is in the cache's slice.
fn in_slice(rank: u64) -> bool {
    (rank * HUNDRED + CACHES_IN_HUNDREDTHS / 2) % CACHES_IN_HUNDREDTHS < HUNDRED
}

/// Filters of all routers for the slice.
fn filters(generation: Option<u64>) -> Vec<AgeingFilter> {
    let scaled = |ids: u64| (ids * HUNDRED / CACHES_IN_HUNDREDTHS).max(1) as usize;
    let ids = generation.map_or(usize::MAX, scaled);
    (0..ROUTERS).map(|_| AgeingFilter::new(ids, QUIET)).collect()
}

fn columns(options: &Options) -> Vec<Column> {
    let rooms = &options.rooms;
    let mut all = vec![
        Column::new(Some(0), Vec::new(), &[Policy::All], rooms),
        Column::new(None, filters(None), &[Policy::OnTrial], rooms),
    ];
    for generation in &options.generations {
        let policies = [Policy::OnTrial, Policy::SeenOnly];
        all.push(Column::new(Some(*generation), filters(Some(*generation)), &policies, rooms));
    }
    all
}

/// A figure of one policy at one exponent.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Share {
    /// `seen`: requests whose object was in the router's generations; `hits`: requests that the cache answered.
    pub what: &'static str,
    /// `keep_all`: no filter; `on_trial`: the module's rule; `seen_only`: the paper's; `any`: it doesn't matter.
    pub policy: &'static str,
    /// Ids of a generation; 0: no filter; none: one that forgets nothing.
    pub n: Option<u64>,
    /// Exponent of the Zipf law.
    pub exponent: f64,
    /// Copies that the cache holds; 0: it doesn't matter.
    pub room: u64,
    /// The share of requests.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

/// Plays one exponent.
fn play(options: &Options, exponent: f64) -> Result<Vec<Share>, String> {
    let law = Zipf::new(OBJECTS, exponent).map_err(|error| error.to_string())?;
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let mut columns = columns(options);
    let rate = REQUESTS_PER_S * ROUTERS as u64;
    let requests = rate * options.seconds;
    let mut counted_requests = 0;
    for n in 0..requests {
        let rank = law.sample(&mut random) as u64;
        if !in_slice(rank) {
            continue;
        }
        let counted = n >= requests / (WARM_UP_QUARTERS + 1) * WARM_UP_QUARTERS;
        counted_requests += u64::from(counted);
        let (router, now) = (random.random_range(0..ROUTERS), n * MICROS_PER_S / rate);
        let trial = random.random_range(0..ROUTERS) > 0;
        // Neighbours in rank are no neighbours in ids.
        let id = rank.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        columns.iter_mut().for_each(|column| column.request(now, router, id, trial, counted));
    }
    let mut shares = Vec::new();
    for column in &columns {
        let share = |what, policy, room, count: u64| Share {
            what,
            policy,
            n: column.generation,
            exponent,
            room,
            value: count as f64 / counted_requests.max(1) as f64,
            unit: "share",
        };
        if !column.filters.is_empty() {
            shares.push(share("seen", "any", 0, column.seen));
        }
        let hits =
            column.stores.iter().map(|store| share("hits", store.policy.name(), store.room, store.hits));
        shares.extend(hits);
    }
    Ok(shares)
}

/// Plays all exponents, each on a thread.
pub fn measure(options: &Options) -> Result<Vec<Share>, String> {
    let mut shares = Vec::new();
    thread::scope(|scope| {
        let plays: Vec<_> =
            options.exponents.iter().map(|exponent| scope.spawn(|| play(options, *exponent))).collect();
        for play in plays {
            let played = play.join().map_err(|_| "a play ended early".to_owned())?;
            shares.extend(played?);
        }
        Ok(shares)
    })
}
