//! Surroundings of a single actor under test: the state that actors share, the test in place of the director, and a
//! scripted cache.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bitternhold::settings::SiteSettings;
use bitternhold::{FillMode, Keep, MemberId, Micros, Status};
use bytes::Bytes;
use silverspindle::clock;
use silverspindle::drain::Drain;
use silverspindle::front::Front;
use silverspindle::traffic::{
    Attempt, BodyReservation, Call, ClientHandle, Descriptors, FetchOptions, Message, RoutingState, Shared,
    Verdict,
};
use silverspindle::upstream::{Peer, PeerMessage};
use silverspindle_wire::memory::MemoryBudget;

use super::*;

/// The member whose actor is under test.
pub const PEER: MemberId = MemberId(1);
/// The source of the fills that the test's attempts ask for.
pub const SOURCE: MemberId = MemberId(2);

/// A client that waits for its answers until the test marks it as gone.
#[derive(Debug, Default)]
pub struct WaitingClient {
    pub gone: Cell<bool>,
    /// Number of its connection.
    pub number: u64,
}

impl ClientHandle for WaitingClient {
    fn id(&self) -> u64 {
        self.number
    }
    fn answer(&self, _: i32, _: Verdict) {}
    fn drop_request(&self) {}
    fn is_gone(&self) -> bool {
        self.gone.get()
    }
}

/// Surroundings of the actor under test.
pub struct ActorHarness {
    pub shared: Rc<Shared>,
    /// Messages to the director.
    pub messages: async_channel::Receiver<Message>,
    pub cache: Cache,
    /// The client that waits for the attempts of this test.
    pub client: Rc<WaitingClient>,
}

impl ActorHarness {
    pub fn new(tasks: &Tasks, descriptors: usize) -> Self {
        Self::with(tasks, descriptors, &settings())
    }

    /// As [`Self::new`], with these settings.
    pub fn with(tasks: &Tasks, descriptors: usize, options: &serde_json::Value) -> Self {
        let (director, messages) = async_channel::bounded(1024);
        let site = Rc::new(SiteSettings::parse(options.as_object().unwrap()));
        let state = Rc::new(RoutingState::default());
        [PEER, SOURCE].into_iter().for_each(|id| state.set_ready(id, true));
        let descriptors = Descriptors::new(descriptors);
        let answer_memory = MemoryBudget::new(64_000_000);
        let shared =
            Rc::new(Shared { site, state, descriptors, answer_memory, director, tasks: tasks.clone() });
        Self { shared, messages, cache: Cache::start(tasks), client: Rc::default() }
    }

    /// Starts the actor of the member [`PEER`]; returns its mailbox.
    pub fn peer(&self) -> async_channel::Sender<PeerMessage> {
        Peer::start(PEER, self.cache.address, &self.shared)
    }

    /// An attempt at the member, decided now, of a new call with this id.
    pub fn attempt(&self, ticket: u64, rid: &str) -> Rc<Attempt> {
        self.attempt_for(self.client.clone(), ticket, rid)
    }

    /// As [`Self::attempt`], for this client.
    pub fn attempt_for(&self, client: Rc<dyn ClientHandle>, ticket: u64, rid: &str) -> Rc<Attempt> {
        let call = Call {
            rid: rid.to_owned(),
            class: 0,
            object: "7f3a9c21e0b4d655".to_owned(),
            part: 3,
            group: 17,
            size_kb: None,
            idempotency_key: None,
            client_tag: None,
            deadline: clock::now() + 60_000_000,
            body: Bytes::new(),
            body_reservation: BodyReservation::default(),
            finished: Cell::new(false),
            used_connections: RefCell::default(),
        };
        Rc::new(Attempt {
            ticket,
            client,
            write_by: call.deadline,
            connection: Cell::new(0),
            deadline: call.deadline,
            call: Rc::new(call),
            options: FetchOptions {
                source: Some(SOURCE),
                keep: Keep::Middle,
                max_age: Some(900),
                mode: FillMode { join: true, held_only: true, parent_pass: true, renew: true },
            },
            purge_seq: self.shared.state.purge_seq(),
            written: Cell::new(false),
            abandoned: Cell::new(false),
            is_first: true,
            without_source: Cell::new(false),
            tokens: Cell::new(0),
        })
    }

    /// Starts a front with this drain state that passes its requests to the test; returns it with its address.
    pub async fn front(&self, tasks: &Tasks, drain: &Rc<RefCell<Drain>>) -> (Rc<Front>, SocketAddr) {
        let (listener, address) = listen();
        (self.front_at(tasks, drain, listener), address)
    }

    /// As [`Self::front`], with a listener of the test.
    pub fn front_at(
        &self,
        tasks: &Tasks,
        drain: &Rc<RefCell<Drain>>,
        listener: Async<TcpListener>,
    ) -> Rc<Front> {
        self.front_listening_since(tasks, drain, listener, clock::now())
    }

    /// As [`Self::front_at`], with a listener that has listened since this time.
    pub fn front_listening_since(
        &self,
        tasks: &Tasks,
        drain: &Rc<RefCell<Drain>>,
        listener: Async<TcpListener>,
        listening_since: Micros,
    ) -> Rc<Front> {
        let (site, director) = (self.shared.site.clone(), self.shared.director.clone());
        let front = Front::new(site, director, 192_000_000, 64, drain.clone());
        tasks.spawn(front.clone().accept(listener, listening_since, tasks.clone())).detach();
        front
    }

    /// The next request that the front passes on.
    pub async fn request(&self) -> (Rc<dyn ClientHandle>, i32, Call) {
        loop {
            match self.messages.recv().await.unwrap() {
                Message::Request { client, seq, call } => return (client, seq, call),
                Message::Disconnected { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// Receives that the answer to this attempt has begun to arrive, without its body.
    pub async fn answer_begun(&self, ticket: u64) {
        match self.messages.recv().await.unwrap() {
            Message::AnswerBegun(begun) => {
                assert_eq!((begun.ticket, begun.status, begun.body), (ticket, Status::Ok, None));
            }
            other => panic!("{other:?}"),
        }
    }

    /// Ticket and status of the next attempt that ends.
    pub async fn end(&self) -> (u64, Status) {
        match self.messages.recv().await.unwrap() {
            Message::Ended(end) => (end.ticket, end.status),
            other => panic!("{other:?}"),
        }
    }
}
