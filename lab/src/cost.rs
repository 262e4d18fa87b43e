//! What the cores above the agreement cost: a plan over a whole fleet, what routers tell, a change of rules.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Instant;

use silverspindle_rules::{Rules, State};
use silverspindle_work::{Bid, Heard, Machine, Order, Seen, Sight, State as Is, Told, Watch, Work, plan};

/// Milliseconds that a thing takes, the median of eleven times.
fn median(mut what: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..11)
        .map(|_| {
            let began = Instant::now();
            what();
            began.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[5]
}

/// The figures in words for a person.
pub fn all(routers: u32, boxes: u32, entries: u32) -> String {
    let mut out = String::new();
    let place = |id: u32| id % 10;
    let seen = |id| Seen { place: place(id), capacity: 100_000, state: Is::Up, load: 30_000 };
    let heard = Heard { number: 9, open: BTreeSet::new() };
    let sight = Sight {
        machines: (0..boxes).map(|id| (Machine::Box(id), seen(id))).collect(),
        routers: (0..routers).map(|n| (format!("n{n}"), Some(heard.clone()))).collect(),
        ..Sight::default()
    };
    let rules = silverspindle_work::Rules::new(250, 2, 2_000_000, 5_000_000, 1000);
    let machines: Vec<Machine> = (0..boxes).map(Machine::Box).collect();
    let order = Order { id: 1, machines, together: false, reason: String::new(), by: "staff".to_owned() };
    let Ok(work) = Work::default().order_seen(order, &sight, &rules) else { return "no order".to_owned() };
    let step = median(|| drop(Watch::default().next(0, 9, &work, &sight, &rules)));
    let (turns, _) = plan(&work, &sight, &rules);
    let whole = median(|| drop(plan(&work, &sight, &rules)));
    let bids = (0..boxes / 10).map(|id| Bid { id, load: 30_000, limit: 100_000, aside: false });
    let told = Told {
        life: 1 << 50,
        zone: 1,
        number: 1 << 20,
        serves: true,
        bids: bids.collect(),
        ..Told::default()
    };
    let _ = writeln!(
        out,
        "{routers} routers, {boxes} boxes in ten places: a step {step:.2} ms, the whole plan ({} turns) {whole:.1} ms; the agreed \
         text {} bytes; a router tells {} bytes a question for the places of one order in ten",
        turns.len(),
        work.spell().len(),
        told.spell(4096).len()
    );
    let lists = |from: u32| Rules { deny_member: (from..from + entries).collect(), ..Rules::default() };
    let (one, two) = (lists(100_000), lists(100_000 + entries / 2));
    let state = State::default().propose(one, ("staff", ""), 0, None).map(|state| state.settled());
    let next = state.and_then(|state| state.propose(two, ("staff", ""), 1, None));
    match next {
        Ok(state) => {
            let bytes = state.spell();
            let read = median(|| drop(State::read(&bytes)));
            let reading = median(|| drop(state.reading("n1", true)));
            let _ = writeln!(
                out,
                "{entries} entries: a change's text {} bytes, twice through the log; a router reads it in {read:.2} ms and makes what \
                 both allow in {reading:.2} ms",
                bytes.len()
            );
        }
        Err(refused) => {
            let _ = writeln!(out, "{entries} entries: refused: {refused}");
        }
    }
    out
}
