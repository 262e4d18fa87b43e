//! The own list against others' words: the ranks one by one, then all of three instances, a coordinator and one
//! box, by a model checker over the real list and the real store.

use std::hash::{Hash, Hasher};

use silverspindle_knowledge::list::{Listed, OwnList, SETTLE};
use silverspindle_knowledge::store::{CLOCK_START, HalfLives, Store};
use silverspindle_knowledge::*;
use stateright::{Checker, Model, Property};

const SECOND: Micros = 1_000_000;
const BOX: u64 = 7;
/// A step of the model's time: two are more than it takes to settle.
const TICK: Micros = 2 * SECOND;

fn list(lifecycle: Lifecycle, started: Micros, current: Option<Micros>) -> OwnList {
    let mut list = OwnList::default();
    list.told(true, [(BOX, Listed { lifecycle, started })].into_iter());
    current.into_iter().for_each(|at| list.heard(at));
    list
}

fn effective(list: &OwnList, words: &[(Lifecycle, Micros, Micros)]) -> Listed {
    let words = words.iter().map(|(lifecycle, started, seen)| (BOX, *lifecycle, *started, *seen));
    list.effective(words)[&BOX]
}

use Lifecycle::{Draining, Gone, Ready};

#[test]
fn a_drain_by_hearsay_is_heeded_until_the_own_list_is_current_past_it() {
    let word = [(Draining, 0, 10 * SECOND)];
    for (current, expected) in [
        (None, Draining),
        (Some(9 * SECOND), Draining),
        (Some(10 * SECOND + SETTLE - 1), Draining),
        (Some(10 * SECOND + SETTLE), Ready),
    ] {
        assert_eq!(effective(&list(Ready, 0, current), &word).lifecycle, expected, "{current:?}");
    }
}

#[test]
fn ready_by_hearsay_lifts_nothing() {
    for own in [Draining, Gone] {
        for current in [None, Some(SECOND)] {
            let words = [(Ready, 0, 99 * SECOND), (Ready, 5, 99 * SECOND)];
            assert_eq!(effective(&list(own, 0, current), &words).lifecycle, own);
        }
    }
    // Nor does one donor's lift another's drain.
    let words = [(Draining, 0, 10 * SECOND), (Ready, 0, 30 * SECOND)];
    assert_eq!(effective(&list(Ready, 0, None), &words).lifecycle, Draining);
}

#[test]
fn a_word_is_about_one_process() {
    // The own list has a later one: what was said of the earlier is past.
    assert_eq!(effective(&list(Ready, 5, None), &[(Gone, 3, SECOND)]).lifecycle, Ready);
    // Another has a later one: the box is cold, and what was said of the earlier is past.
    let words = [(Draining, 3, 20 * SECOND), (Ready, 5, SECOND)];
    let told = effective(&list(Ready, 3, None), &words);
    assert_eq!((told.lifecycle, told.started), (Ready, 5));
}

#[test]
fn members_of_others_lists_alone_stay_out() {
    let words = [(8, Ready, 0, SECOND), (9, Draining, 0, SECOND)];
    assert_eq!(list(Ready, 0, None).effective(words.into_iter()).len(), 1);
}

#[test]
fn tombstones_are_bounded() {
    let mut list = OwnList::default();
    for n in 0..20_000u64 {
        list.told(true, [(n, Listed::default())].into_iter());
    }
    assert_eq!(list.entries().count(), 1025);
}

/// A store in a state: hashed by what it gives, as figures are no keys.
#[derive(Clone, Debug, PartialEq)]
struct Known(Store);

impl Eq for Known {}

impl Hash for Known {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for item in self.0.give(at(99)) {
            let Item::Fact(Record { source, seq, age, hops, value, .. }) = item else { continue };
            let Value::Listed { lifecycle, started } = value else { continue };
            (source, seq, age, hops, lifecycle, started).hash(state);
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    known: Known,
    list: OwnList,
    /// Events of the coordinator that its own list has, and that it has by any way.
    told: usize,
    heard: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// In ticks.
    now: u64,
    /// When each event of the script came to be.
    events: Vec<u64>,
    instances: Vec<Instance>,
    exchanges: u8,
    restarts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// The coordinator says the next thing.
    Say,
    /// An instance hears the coordinator: all there is, then that there is no more.
    Hear(usize),
    /// What one instance knew when asked reaches another a second later.
    Give(usize, usize),
    Restart(usize),
}

/// Three instances and a box that drains, goes, comes back and drains again.
struct Fleet {
    script: Vec<(Lifecycle, Micros)>,
    last: u64,
    exchanges: u8,
    restarts: u8,
}

fn at(now: u64) -> Micros {
    CLOCK_START + now * TICK
}

impl Fleet {
    fn fresh(i: usize, incarnation: u64) -> Known {
        let me = Source { instance: InstanceId(i as u64 + 1), incarnation };
        Known(Store::new(me, HalfLives::default(), 6 * SECOND))
    }

    /// The coordinator's word as of an event.
    fn word(&self, events: usize) -> Listed {
        let (lifecycle, started) = self.script[events - 1];
        Listed { lifecycle, started }
    }

    fn acts_by(&self, instance: &Instance) -> Listed {
        instance.list.effective(instance.known.0.hearsay())[&BOX]
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let instance = |i| Instance {
            known: Self::fresh(i, 1),
            list: list(self.script[0].0, self.script[0].1, None),
            told: 1,
            heard: 1,
        };
        let instances = (0..3).map(instance).collect();
        vec![World { now: 0, events: vec![0], instances, exchanges: 0, restarts: 0 }]
    }

    fn actions(&self, world: &World, out: &mut Vec<Step>) {
        if world.now < self.last {
            out.push(Step::Tick);
        }
        if world.events.len() < self.script.len() {
            out.push(Step::Say);
        }
        for i in 0..3 {
            let instance = &world.instances[i];
            // Those who run on hear what is new and no more: when they heard it last makes no other case.
            let hears_on = i == 2 && instance.list.current() != Some(at(world.now));
            if instance.told < world.events.len() || instance.list.current().is_none() || hears_on {
                out.push(Step::Hear(i));
            }
            // A router that was never told anything current knows no more than its own old list.
            let worth = instance.list.current().is_some() || !instance.known.0.is_empty();
            // Round the ring, and to the newcomer from both.
            let ways = [(0, 1), (1, 2), (2, 0), (0, 2)].into_iter().filter(|(from, _)| *from == i);
            out.extend(
                ways.filter(|_| worth && world.exchanges < self.exchanges).map(|(i, j)| Step::Give(i, j)),
            );
        }
        if world.restarts < self.restarts {
            out.push(Step::Restart(2));
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        let now = at(world.now);
        match step {
            Step::Tick => world.now += 1,
            Step::Say => world.events.push(world.now),
            Step::Hear(i) => {
                let (all, word) = (world.events.len(), self.word(world.events.len()));
                let instance = &mut world.instances[i];
                instance.list.told(false, [(BOX, word)].into_iter());
                instance.list.heard(now);
                (instance.told, instance.heard) = (all, all);
            }
            Step::Give(i, j) => {
                world.exchanges += 1;
                let giver = &mut world.instances[i];
                if let Some(current) = giver.list.current() {
                    let Listed { lifecycle, started } = giver.list.entries().next()?.1;
                    let subject = Subject::Member(BOX, Aspect::Listed);
                    giver.known.0.observe(current, 0, subject, 1, Value::Listed { lifecycle, started });
                }
                let (items, heard) = (giver.known.0.give(now), giver.heard);
                let taker = &mut world.instances[j];
                // Asked a second ago, for all that the taker knows.
                taker.known.0.take(now, 0, SECOND, items);
                taker.heard = taker.heard.max(heard);
            }
            Step::Restart(i) => {
                world.restarts += 1;
                let instance = &mut world.instances[i];
                // It comes back with the list that it had, and nothing else.
                let old = self.word(instance.told);
                instance.known = Self::fresh(i, 2 + world.now);
                instance.list = list(old.lifecycle, old.started, None);
                instance.heard = instance.told;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a notice of one's own is lifted by the coordinator alone",
                |fleet: &Fleet, world: &World| {
                    world.instances.iter().all(|i| {
                        let own = fleet.word(i.told).lifecycle;
                        own == Ready || fleet.acts_by(i).lifecycle != Ready
                    })
                },
            ),
            Property::always(
                "who has heard that the box drains, by any way, sends it nothing",
                |fleet: &Fleet, world: &World| {
                    let now = fleet.word(world.events.len());
                    world.instances.iter().all(|i| {
                        let heard_of = i.heard == world.events.len() && now.lifecycle != Ready;
                        !heard_of || fleet.acts_by(i).lifecycle != Ready
                    })
                },
            ),
            Property::always(
                "once its list has settled a router acts by it",
                |fleet: &Fleet, world: &World| {
                    let all = world.events.len();
                    let settled = at(world.events[all - 1]) + SETTLE + SECOND;
                    world.instances.iter().all(|i| {
                        let current = i.told == all && i.list.current().is_some_and(|at| at >= settled);
                        !current || fleet.acts_by(i) == fleet.word(all)
                    })
                },
            ),
            Property::sometimes(
                "a newcomer heeds what it has by hearsay alone",
                |fleet: &Fleet, world: &World| {
                    world.instances.iter().any(|i| {
                        fleet.word(i.told).lifecycle == Ready && fleet.acts_by(i).lifecycle == Draining
                    })
                },
            ),
        ]
    }
}

fn check(script: Vec<(Lifecycle, Micros)>, exchanges: u8, restarts: u8) {
    let fleet = Fleet { script, last: 3, exchanges, restarts };
    let checker = fleet.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.is_done() && checker.unique_state_count() > 10_000);
}

#[test]
fn three_instances_and_one_box_keep_the_ranks_in_every_order() {
    check(vec![(Ready, 0), (Draining, 0), (Ready, 4_000_000)], 2, 0);
}

/// The box goes, and an instance restarts with the list that it had, in every order.
#[test]
fn a_restart_with_an_old_list_keeps_the_ranks() {
    check(vec![(Ready, 0), (Draining, 0), (Gone, 0)], 1, 1);
}

/// A drain that is taken back: whoever heard of it by another's word sends again once its list has settled.
#[test]
fn a_drain_taken_back_is_not_heeded_for_ever() {
    check(vec![(Ready, 0), (Draining, 0), (Ready, 0)], 1, 0);
}
