//! Routing decisions of a director in front of tiers of caches, with one origin behind them.
//!
//! The library does no I/O (sans-IO): pass [`Event`]s to [`Director::handle`] and carry out the [`Action`]s
//! it appends. The same seed, settings and events always give the same actions.
//!
//! Admission to the caches is LRU-AC with ageing sets: a fill is stored at the edge cache if this
//! director has seen a request for its object recently. Otherwise it is passed through or, where several
//! directors share a location, stored at the lowest rank with about the probability that another of them has
//! seen the object. See `docs/design.md`.
//!
//! ```
//! use bitternhold::*;
//!
//! let mut settings = Settings::default();
//! settings.classes.push(Class { deadline: 1_000_000, ..Class::default() });
//! let mut director = Director::new(7, settings);
//! let mut actions = Vec::new();
//! let cache = Member { id: MemberId(1), zone: 0, kind: 0, weight: 1.0, ..Member::default() };
//! director.handle(0, Event::Members { kind: ListKind::Full, members: vec![cache] }, &mut actions);
//! director.handle(
//!     1_000,
//!     Event::Request(Request {
//!         id: RequestId(42),
//!         class: 0,
//!         object: "video-7".into(),
//!         part: 0,
//!         group: 3,
//!         size_kb: Some(640.0),
//!         write: false,
//!         valid_until: 900_000,
//!         own_copy: None,
//!     }),
//!     &mut actions,
//! );
//! assert!(matches!(actions[0], Action::Fetch { member: MemberId(1), .. }));
//! ```

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

pub mod choice;
mod hashing;
pub mod interface;
pub mod settings;

pub use choice::{AgeingFilter, Director};
pub use interface::*;
